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
	// bodySlack is the room for all but the text in the body of a change, and
	// bodyFactor the growth of a text that is encoded as a JSON string.
	bodySlack    = 64 << 10
	bodyFactor   = 2
	defaultAudit = 50
	maxAudit     = 1000
)

func init() { kernel.Register(&Module{}) }

// Module serves the administration API.
type Module struct {
	// Operators may administrate by a token. Without any, callers on the
	// host's own loopback address may, and nobody else but teams.
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
		trail:     &trail{log: log, host: ctx.Self.ID, events: ctx.Events},
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
	group.GET("/config", m.as(m.getConfig))
	group.POST("/config", m.as(m.putConfig))
	group.POST("/config/check", m.as(m.checkConfig))
	group.GET("/puts/:id", m.as(m.putOutcome))
	group.POST("/zones/:zone", m.as(m.setZone))
	group.GET("/status", m.as(m.status))
	group.GET("/rollouts", m.as(m.rollouts))
	group.GET("/report", m.as(m.report))
	group.GET("/audit", m.as(m.audit))
}

// Problem is the body of an answer that is not a success.
type Problem struct {
	Detail string `json:"detail"`
}

// as runs a handler for an identified caller.
func (m *Module) as(handler func(echo.Context, access.Identity) error) echo.HandlerFunc {
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

func readBody(c echo.Context, into any) error {
	limited := http.MaxBytesReader(c.Response(), c.Request().Body, bodyFactor*MaxDocument+bodySlack)
	data, err := io.ReadAll(limited)
	if err != nil {
		return fmt.Errorf("the body is too long or broke off: %w", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("the body is not the JSON wanted: %w", err)
	}
	return nil
}

func (m *Module) putConfig(c echo.Context, id access.Identity) error {
	var change Change
	if err := readBody(c, &change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	return answerPut(c, m.service.Put(c.Request().Context(), id, change))
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

func answerPut(c echo.Context, answer PutResponse) error {
	return c.JSON(putStatus(answer), answer)
}

func putStatus(answer PutResponse) int {
	switch {
	case answer.Status == publish.Accepted:
		return http.StatusOK
	case answer.Status == publish.LostRace:
		return http.StatusConflict
	case len(answer.Faults) > 0:
		return http.StatusUnprocessableEntity
	case answer.Status == publish.NotAccepted:
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

// ZoneChange is the body of a change of an availability zone.
type ZoneChange struct {
	State document.ZoneState `json:"state"`
}

func (m *Module) setZone(c echo.Context, id access.Identity) error {
	var change ZoneChange
	if err := readBody(c, &change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Detail: err.Error()})
	}
	answer, err := m.service.SetZone(c.Request().Context(), id, c.Param("zone"), change.State)
	switch {
	case errors.Is(err, ErrNoZone), errors.Is(err, ErrNoDocument):
		return c.JSON(http.StatusNotFound, Problem{Detail: err.Error()})
	case err != nil:
		return err
	}
	return answerPut(c, answer)
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
	limit := defaultAudit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAudit {
			return c.JSON(http.StatusBadRequest, Problem{Detail: fmt.Sprintf("want a limit from 1 to %d", maxAudit)})
		}
		limit = n
	}
	entries, err := m.service.trail.newest(c.Request().Context(), limit)
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, Problem{Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, entries)
}
