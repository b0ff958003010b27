// Package console serves the operators' console: forms whose output is one
// validated document, which is put in force through the administration API's
// checks. It works without scripts and keeps nothing on the host: a draft
// travels in the pages.
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
	// maxBody bounds what a page may send, in bytes: two documents and a form.
	maxBody = 3*admin.MaxDocument + 1<<20
	// contentPolicy lets pages load nothing and send forms to this host only.
	contentPolicy = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'"
	realm         = `Basic realm="marigoldmux", charset="UTF-8"`
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
	group.GET("", m.as(m.overview))
	group.GET("/status", m.as(m.status))
	group.GET("/report", m.as(m.report))
	group.POST("/edit", m.as(m.edit))
	group.POST("/save", m.as(m.save))
	group.POST("/put", m.as(m.put))
}

// as runs a handler for an identified caller.
func (m *Module) as(handler func(echo.Context, access.Identity) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Response().Header()
		header.Set("Content-Security-Policy", contentPolicy)
		header.Set(echo.HeaderCacheControl, "no-store")
		id, err := m.service.Identify(c.Request())
		if err != nil {
			header.Set(echo.HeaderWWWAuthenticate, realm)
			return c.String(http.StatusUnauthorized, err.Error())
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
		err = handler(c, id)
		if errors.Is(err, ErrDraft) {
			return c.String(http.StatusBadRequest, err.Error())
		}
		return err
	}
}

// page holds what all pages show.
type page struct {
	Title string
	LogUp bool
	// Message is a notice; Good tells that it is good news.
	Message string
	Good    bool
	// Refresh is the number of seconds after which the browser asks again.
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
