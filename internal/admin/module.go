package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/survey"
)

const (
	// bodyOverhead bounds the fields besides the document in the body of a change,
	// in bytes. jsonStringGrowth is the factor by which a document may grow when
	// it is encoded as a JSON string.
	bodyOverhead      = 64 << 10
	jsonStringGrowth  = 2
	defaultAuditLimit = 50
	maxAuditLimit     = 1000
)

func init() { kernel.Register(&Module{}) }

// Module serves the administration API.
type Module struct {
	// Operators are the accounts that authenticate with a token. Without any,
	// only teams and callers from the loopback address of the host have access.
	Operators []access.Account `json:"operators,omitempty"`

	service *Service
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "http.admin", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) error {
	loop, err := kernel.Lookup[*control.Loop](ctx)
	if err != nil {
		return err
	}
	log, err := kernel.Lookup[logsvc.Log](ctx)
	if err != nil {
		return err
	}
	surveyor, err := kernel.Lookup[*survey.Surveyor](ctx)
	if err != nil {
		return err
	}
	m.service = &Service{
		snapshot: loop.Snapshot, surveyor: surveyor, events: ctx.Events, accounts: m.Operators,
		publisher: &publish.Publisher{Log: log, Snapshot: loop.Snapshot},
		trail:     &auditTrail{log: log, host: ctx.Self.ID, events: ctx.Events},
	}
	kernel.Provide(ctx, m.service)
	return nil
}

// Validate implements kernel.Validator.
func (m *Module) Validate() error {
	for _, account := range m.Operators {
		known := account.Role == access.RoleOperator || account.Role == access.RoleViewer
		if account.Name == "" || !known || len(account.TokenHash) != len(access.HashToken("")) {
			return eris.Errorf("operator %q needs a name, the role operator or viewer, and the SHA-256 of a token", account.Name)
		}
	}
	return nil
}

// Routes implements kernel.Router.
func (m *Module) Routes(e *echo.Echo) {
	protection := http.NewCrossOriginProtection()
	group := e.Group("/admin/v1", echo.WrapMiddleware(protection.Handler))
	group.GET("/config", m.withIdentity(m.getConfig))
	group.POST("/config", m.withIdentity(m.putConfig))
	group.POST("/config/check", m.withIdentity(m.checkConfig))
	group.GET("/puts/:id", m.withIdentity(m.putOutcome))
	group.POST("/zones/:zone", m.withIdentity(m.setZone))
	group.GET("/status", m.withIdentity(m.status))
	group.GET("/rollouts", m.withIdentity(m.rollouts))
	group.GET("/report", m.withIdentity(m.report))
	group.GET("/audit", m.withIdentity(m.audit))
}

// Problem is the body of a response that is not a success.
type Problem struct {
	Detail string `json:"detail"`
}

// withIdentity returns a handler that authenticates the caller before it calls
// handler.
func (m *Module) withIdentity(handler func(echo.Context, access.Identity) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		id, err := m.service.Identify(c.Request())
		if err != nil {
			return c.JSON(http.StatusUnauthorized, Problem{Detail: err.Error()})
		}
		return handler(c, id)
	}
}

func (m *Module) getConfig(c echo.Context, _ access.Identity) error {
	current, err := m.service.Current()
	if err != nil {
		return c.JSON(http.StatusNotFound, Problem{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, current)
}

func readBody(c echo.Context, out any) error {
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, jsonStringGrowth*MaxDocument+bodyOverhead)
	data, err := io.ReadAll(limited)
	if err != nil {
		return fmt.Errorf("the body is too long or broke off: %w", err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("the body is not the JSON wanted: %w", err)
	}
	return nil
}

func (m *Module) putConfig(c echo.Context, id access.Identity) error {
	var change Change
	if err := readBody(c, &change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	return writePutResponse(c, m.service.Put(c.Request().Context(), id, change))
}

func (m *Module) checkConfig(c echo.Context, id access.Identity) error {
	var change Change
	if err := readBody(c, &change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	if faults := m.service.Check(id, change.Document); len(faults) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, PutResponse{Status: publish.NotAccepted, Faults: faults})
	}
	return c.NoContent(http.StatusNoContent)
}

func writePutResponse(c echo.Context, resp PutResponse) error {
	return c.JSON(putStatusCode(resp), resp)
}

func putStatusCode(resp PutResponse) int {
	switch {
	case resp.Status == publish.Accepted:
		return http.StatusOK
	case resp.Status == publish.LostRace:
		return http.StatusConflict
	case len(resp.Faults) > 0:
		return http.StatusUnprocessableEntity
	case resp.Status == publish.NotAccepted:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

func (m *Module) putOutcome(c echo.Context, _ access.Identity) error {
	outcome, found := m.service.PutOutcome(c.Param("id"))
	if !found {
		return c.JSON(http.StatusNotFound, Problem{Detail: "the log has not given back such an entry lately"})
	}
	return c.JSON(http.StatusOK, outcome)
}

// ZoneChange is the body of a request that changes the state of an availability
// zone.
type ZoneChange struct {
	State document.ZoneState `json:"state"`
}

func (m *Module) setZone(c echo.Context, id access.Identity) error {
	var change ZoneChange
	if err := readBody(c, &change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	resp, err := m.service.SetZone(c.Request().Context(), id, c.Param("zone"), change.State)
	switch {
	case errors.Is(err, ErrNoZone), errors.Is(err, ErrNoDocument):
		return c.JSON(http.StatusNotFound, Problem{Detail: err.Error()})
	case err != nil:
		return err
	}
	return writePutResponse(c, resp)
}

func (m *Module) status(c echo.Context, _ access.Identity) error {
	return c.JSON(http.StatusOK, m.service.Status(c.Request().Context()))
}

func (m *Module) rollouts(c echo.Context, _ access.Identity) error {
	return c.JSON(http.StatusOK, rollouts(m.service.snapshot()))
}

func (m *Module) report(c echo.Context, _ access.Identity) error {
	report := m.service.Burn(c.Request().Context())
	if c.QueryParam("format") != "text" {
		return c.JSON(http.StatusOK, report)
	}
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	c.Response().WriteHeader(http.StatusOK)
	return report.WriteText(c.Response())
}

func (m *Module) audit(c echo.Context, id access.Identity) error {
	if id.Role == access.RoleTeam {
		return c.JSON(http.StatusForbidden, Problem{Detail: "only operators and viewers read the audit trail"})
	}
	limit := defaultAuditLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditLimit {
			return c.JSON(http.StatusBadRequest, Problem{Detail: fmt.Sprintf("want a limit from 1 to %d", maxAuditLimit)})
		}
		limit = n
	}
	entries, err := m.service.trail.newest(c.Request().Context(), limit)
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, Problem{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, entries)
}
