// Package entry serves the HTTP API for callers.
package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// Header fields of the callers' API.
const (
	// HeaderCustomer carries the name of the customer for which a caller acts.
	HeaderCustomer = "X-Customer"
	// HeaderRequestID carries a request's ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the caller's key, or a ticket.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout carries the caller's timeout in milliseconds.
	HeaderTimeout = "X-Timeout-Ms"
	// HeaderOutcome carries the outcome of the request.
	HeaderOutcome = "X-Outcome"
	// HeaderLastEventID carries the offset at which to resume: the ID of the last
	// event that the caller received.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	// maxBodyBytes is the maximum length of a request body.
	maxBodyBytes = 8 << 20
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 256
	// hostsLifetime is how long callers may cache a HostsResponse.
	hostsLifetime = 2 * time.Second
	// maxHosts is the maximum number of hosts in a HostsResponse.
	maxHosts = 3
)

func init() { kernel.Register(&Module{}) }

// Module is the module that serves callers.
type Module struct {
	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	follower   Follower
	claims     *claim.Store
}

// Follower finds requests on this host and, through peers, on others.
type Follower interface {
	// Follow calls emit with the output of a request from an offset on, until the
	// request ends, emit fails or the context of r is done. It reports whether a
	// host knows the request.
	Follow(r *http.Request, id string, offset int, emit func(Part) error) (bool, error)
	// Cancel cancels a request and reports whether it was found.
	Cancel(r *http.Request, id string) bool
}

// Part is a piece of a request's output.
type Part struct {
	// Offset is the offset of the first token in Tokens.
	Offset int
	Tokens []string
	// Result is set in the last part of a request that ended.
	Result *request.Result
	// Moved is the host at which the caller must continue; nil if it need not
	// change hosts.
	Moved *control.EntryHost
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "http.entry", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) (err error) {
	if m.loop, err = kernel.Lookup[*control.Loop](ctx); err != nil {
		return err
	}
	if m.dispatcher, err = kernel.Lookup[*dispatch.Dispatcher](ctx); err != nil {
		return err
	}
	if m.claims, err = kernel.Lookup[*claim.Store](ctx); err != nil {
		return err
	}
	m.follower, err = kernel.Lookup[Follower](ctx)
	return err
}

// Routes implements kernel.Router.
func (m *Module) Routes(e *echo.Echo) {
	e.GET("/v1/hosts", m.hosts)
	e.POST("/v1/services/:service/routes/:route", m.submit)
	e.GET("/v1/requests/:id", m.outcome)
	e.GET("/v1/keys/:key", m.keyOutcome)
	e.GET("/v1/requests/:id/stream", m.resume)
	e.DELETE("/v1/requests/:id", m.cancel)
	e.GET("/healthz", m.health)
}

// ErrorResponse is the body of all error responses.
type ErrorResponse struct {
	RequestID string `json:"requestId,omitempty"`
	// Outcome is "not-run" or "unknown".
	Outcome string         `json:"outcome"`
	Reason  request.Reason `json:"reason"`
	Detail  string         `json:"detail,omitempty"`
	// RetryAfterMs is the time after which to retry; 0 if a retry cannot succeed.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// HostsResponse lists the hosts that a caller should use, in order of preference.
type HostsResponse struct {
	Hosts []NamedHost `json:"hosts"`
	// LifetimeMs is how long the response may be cached, in milliseconds.
	LifetimeMs int64 `json:"lifetimeMs"`
	// Ticket is an idempotency key for one call, which this host can run
	// without the log service. It is empty while the host is leaving.
	Ticket string `json:"ticket,omitempty"`
}

// NamedHost is a host that a caller may use.
type NamedHost struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"availabilityZone"`
}

func (m *Module) hosts(c echo.Context) error {
	snapshot := m.loop.Snapshot()
	resp := HostsResponse{LifetimeMs: hostsLifetime.Milliseconds()}
	if !snapshot.Leaving {
		resp.Ticket = m.claims.IssueTicket(time.Now())
	}
	for _, host := range chooseHosts(snapshot, c.QueryParam("service"), c.QueryParam("prefix"), maxHosts) {
		resp.Hosts = append(resp.Hosts, NamedHost{ID: host.ID, Address: host.Address, Zone: host.Zone})
	}
	return c.JSON(http.StatusOK, resp)
}

// EngineBody is the body of a request to a route of an engine service.
type EngineBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens,omitempty"`
}

func (m *Module) submit(c echo.Context) error {
	sub, err := m.submission(c)
	if err != nil {
		return writeRefusal(c, err)
	}
	call, err := m.dispatcher.Submit(sub)
	if err != nil {
		return writeRefusal(c, err)
	}
	id := call.Request.ID
	c.Response().Header().Set(HeaderRequestID, id)
	header := c.Request().Header
	switch {
	case strings.Contains(header.Get("Accept"), "text/event-stream"):
		return m.stream(c, id, 0)
	case strings.Contains(header.Get("Prefer"), "respond-async"):
		c.Response().Header().Set(echo.HeaderLocation, "/v1/requests/"+id)
		return c.JSON(http.StatusAccepted, map[string]string{"requestId": id})
	default:
		return m.respond(c, id)
	}
}

func (m *Module) submission(c echo.Context) (dispatch.Submission, error) {
	req := c.Request()
	sub := dispatch.Submission{
		Customer: req.Header.Get(HeaderCustomer),
		Service:  c.Param("service"),
		Route:    c.Param("route"),
		Key:      req.Header.Get(HeaderIdempotencyKey),
	}
	if len(sub.Key) > maxKeyBytes {
		return sub, invalid("the idempotency key is longer than %d bytes", maxKeyBytes)
	}
	if text := req.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return sub, invalid("%s is not a number of milliseconds above 0", HeaderTimeout)
		}
		sub.Timeout = time.Duration(ms) * time.Millisecond
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), req.Body, maxBodyBytes))
	if err != nil {
		return sub, invalid("the body is longer than %d bytes or broke off", maxBodyBytes)
	}
	doc := m.loop.Snapshot().Document
	if doc == nil {
		return sub, nil
	}
	if !authorised(doc, sub.Customer, req.Header.Get(echo.HeaderAuthorization)) {
		return sub, invalid("customer %q needs its bearer token", sub.Customer)
	}
	if service := doc.Service(sub.Service); service != nil && service.Kind == document.KindEngine {
		var engineBody EngineBody
		if err := json.Unmarshal(body, &engineBody); err != nil {
			return sub, invalid("the body is not a JSON object with a prompt: %v", err)
		}
		sub.Prompt, sub.MaxTokens = engineBody.Prompt, engineBody.MaxTokens
		return sub, nil
	}
	if len(body) > 0 && !json.Valid(body) {
		return sub, invalid("the body is not JSON")
	}
	sub.Body = body
	return sub, nil
}

// authorised reports whether the bearer token is valid for a customer. It also
// returns true for customers that are unknown or need no token.
func authorised(doc *document.Document, name, authorization string) bool {
	customer := doc.Customer(name)
	if customer == nil || customer.TokenHash == "" {
		return true
	}
	token, _ := strings.CutPrefix(authorization, "Bearer ")
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(customer.TokenHash)) == 1
}

func invalid(format string, args ...any) error {
	return &dispatch.RefusalError{Reason: request.ReasonInvalid, Detail: fmt.Sprintf(format, args...)}
}

// writeRefusal responds to a request that was not accepted.
func writeRefusal(c echo.Context, err error) error {
	var refused *dispatch.RefusalError
	if !errors.As(err, &refused) {
		return err
	}
	outcome := request.NotRun
	if refused.Outcome == request.Unknown {
		outcome = request.Unknown
	}
	resp := ErrorResponse{
		Outcome: outcome.String(), Reason: refused.Reason,
		Detail: refused.Detail, RetryAfterMs: refused.RetryAfter.Milliseconds(),
	}
	c.Response().Header().Set(HeaderOutcome, resp.Outcome)
	if refused.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int((refused.RetryAfter+time.Second-1)/time.Second)))
	}
	return c.JSON(refusalStatus(refused.Reason), resp)
}

func refusalStatus(reason request.Reason) int {
	switch reason {
	case request.ReasonInvalid:
		return http.StatusBadRequest
	case request.ReasonCustomerLimit, request.ReasonOverload:
		return http.StatusTooManyRequests
	case request.ReasonHeldBack:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

func (m *Module) health(c echo.Context) error {
	snapshot := m.loop.Snapshot()
	status := http.StatusOK
	if snapshot.Document == nil || snapshot.Leaving {
		status = http.StatusServiceUnavailable
	}
	return c.JSON(status, Health{
		Host: snapshot.Self.ID, Zone: snapshot.Self.Zone, ConfigOffset: snapshot.Offset,
		LogUp: snapshot.LogUp, Leaving: snapshot.Leaving, Active: m.dispatcher.Active(),
	})
}

// Health is the response of the health endpoint.
type Health struct {
	Host         string `json:"host"`
	Zone         string `json:"availabilityZone"`
	ConfigOffset int64  `json:"configOffset"`
	LogUp        bool   `json:"logUp"`
	Leaving      bool   `json:"leaving"`
	Active       int    `json:"active"`
}
