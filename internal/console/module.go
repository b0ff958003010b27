// Package console serves the operators' console: forms for editing the
// configuration, which is published as one validated document through the checks
// of the administration API. It works without scripts and keeps no state on the
// host: the pages carry the draft.
package console

import (
	"embed"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/form"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
)

//go:embed templates/*.html
var templateFiles embed.FS

const (
	// maxBodyBytes bounds the body of a request: the two documents of a draft, the
	// values of a form, for which the size of a third is allowed, and 1 MiB for the
	// other values.
	maxBodyBytes = 3*admin.MaxDocument + 1<<20
	// contentPolicy allows pages no external resources and forms only to this host.
	contentPolicy  = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'"
	basicChallenge = `Basic realm="marigoldmux", charset="UTF-8"`
)

func init() { kernel.Register(&Module{}) }

// Module serves the console.
type Module struct {
	service   *admin.Service
	templates *template.Template
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "http.console", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) (err error) {
	if m.service, err = kernel.Lookup[*admin.Service](ctx); err != nil {
		return err
	}
	functions := template.FuncMap{
		"countName": form.CountName,
		"percent":   func(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) },
	}
	m.templates, err = template.New("console").Funcs(functions).ParseFS(templateFiles, "templates/*.html")
	return err
}

// Routes implements kernel.Router.
func (m *Module) Routes(e *echo.Echo) {
	protection := http.NewCrossOriginProtection()
	group := e.Group("/console", echo.WrapMiddleware(protection.Handler))
	group.GET("", m.withIdentity(m.overview))
	group.GET("/status", m.withIdentity(m.status))
	group.GET("/report", m.withIdentity(m.report))
	group.POST("/edit", m.withIdentity(m.edit))
	group.POST("/save", m.withIdentity(m.save))
	group.POST("/put", m.withIdentity(m.put))
}

// withIdentity returns a handler that authenticates the caller before it calls
// handler. It also sets the security and cache headers, bounds the body and
// responds to ErrDraft with status 400.
func (m *Module) withIdentity(handler func(echo.Context, access.Identity) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Response().Header()
		header.Set("Content-Security-Policy", contentPolicy)
		header.Set(echo.HeaderCacheControl, "no-store")
		id, err := m.service.Identify(c.Request())
		if err != nil {
			header.Set(echo.HeaderWWWAuthenticate, basicChallenge)
			return c.String(http.StatusUnauthorized, err.Error())
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		err = handler(c, id)
		if errors.Is(err, ErrDraft) {
			return c.String(http.StatusBadRequest, err.Error())
		}
		return err
	}
}

// page holds the data that all pages show.
type page struct {
	Title string
	LogUp bool
	// Message is a notice. Good is set when it reports success.
	Message string
	Good    bool
	// Refresh is the number of seconds after which the browser reloads the page; 0
	// means never.
	Refresh int
}

func (m *Module) page(title string) page { return page{Title: title, LogUp: m.service.LogUp()} }

func (m *Module) render(c echo.Context, name string, data any) error {
	var out strings.Builder
	if err := m.templates.ExecuteTemplate(&out, name, data); err != nil {
		return err
	}
	return c.HTML(http.StatusOK, out.String())
}
