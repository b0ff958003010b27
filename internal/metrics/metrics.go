// Package metrics publishes the counters and gauges of the entry hosts in this
// process through expvar. docs/METRICS.md describes each.
package metrics

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
)

// published maps the ID of each host in this process to its metrics.
var published = expvar.NewMap("marigoldmux")

func init() { kernel.Register(&Module{}) }

// Metrics are the counters and gauges of a host.
type Metrics struct {
	Accepted             int64 `json:"accepted"`
	Refused              int64 `json:"refused"`
	Answered             int64 `json:"answered"`
	NotRun               int64 `json:"notRun"`
	Unknown              int64 `json:"unknown"`
	Retried              int64 `json:"retried"`
	Moved                int64 `json:"moved"`
	HandedOver           int64 `json:"handedOver"`
	Adopted              int64 `json:"adopted"`
	Copied               int64 `json:"copied"`
	Tokens               int64 `json:"tokens"`
	RecomputedTokens     int64 `json:"recomputedTokens"`
	Mismatched           int64 `json:"crossed"`
	Active               int   `json:"active"`
	ControlDropped       int64 `json:"controlDropped"`
	ControlAgeMs         int64 `json:"controlAgeMs"`
	ConfigOffset         int64 `json:"configOffset"`
	LogUp                bool  `json:"logUp"`
	Leaving              bool  `json:"leaving"`
	HostsLive            int   `json:"hostsLive"`
	UpstreamsAvailable   int   `json:"upstreamsOpen"`
	UpstreamsCold        int   `json:"upstreamsCold"`
	UpstreamsUnavailable int   `json:"upstreamsClosed"`
	RequestsHeld         int   `json:"requestsHeld"`
	RolloutsInProgress   int   `json:"rolloutsMoving"`
}

// Module publishes the metrics of a host and serves them at /debug/vars to
// callers of the administration API.
type Module struct {
	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	service    *admin.Service
	host       string
}

// ModuleInfo implements kernel.Module.
func (*Module) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "http.metrics", New: func() kernel.Module { return new(Module) }}
}

// Provision implements kernel.Provisioner.
func (m *Module) Provision(ctx *kernel.Context) (err error) {
	m.host = ctx.Self.ID
	if m.loop, err = kernel.Lookup[*control.Loop](ctx); err != nil {
		return err
	}
	if m.dispatcher, err = kernel.Lookup[*dispatch.Dispatcher](ctx); err != nil {
		return err
	}
	m.service, err = kernel.Lookup[*admin.Service](ctx)
	return err
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error {
	published.Set(m.host, expvar.Func(func() any { return m.Read(time.Now()) }))
	return nil
}

// Stop implements kernel.Stopper.
func (m *Module) Stop(context.Context) error {
	published.Delete(m.host)
	return nil
}

// Routes implements kernel.Router.
func (m *Module) Routes(e *echo.Echo) {
	vars := expvar.Handler()
	e.GET("/debug/vars", func(c echo.Context) error {
		if _, err := m.service.Identify(c.Request()); err != nil {
			return c.JSON(http.StatusUnauthorized, admin.Problem{Detail: err.Error()})
		}
		vars.ServeHTTP(c.Response(), c.Request())
		return nil
	})
}

// Read returns the metrics; now is the time to which ages refer.
func (m *Module) Read(now time.Time) Metrics {
	counters := m.dispatcher.Counters()
	snapshot := m.loop.Snapshot()
	metrics := Metrics{
		Accepted: counters.Accepted.Load(), Refused: counters.Refused.Load(),
		Answered: counters.Answered.Load(), NotRun: counters.NotRun.Load(), Unknown: counters.Unknown.Load(),
		Retried: counters.Retried.Load(), Tokens: counters.Tokens.Load(),
		Moved: counters.Moved.Load(), HandedOver: counters.HandedOver.Load(),
		Adopted: counters.Adopted.Load(), Copied: counters.Copied.Load(),
		RecomputedTokens: counters.Recomputed.Load(), Mismatched: counters.Mismatched.Load(),
		Active: m.dispatcher.Active(), ControlDropped: m.loop.Dropped(),
		ControlAgeMs: now.Sub(snapshot.At).Milliseconds(),
		ConfigOffset: snapshot.Offset, LogUp: snapshot.LogUp, Leaving: snapshot.Leaving,
		HostsLive: len(snapshot.Hosts), RequestsHeld: len(snapshot.Holds),
	}
	for _, rollout := range snapshot.Rollouts {
		if rollout.Phase == control.RolloutInProgress {
			metrics.RolloutsInProgress++
		}
	}
	metrics.countUpstreams(snapshot)
	return metrics
}

func (m *Metrics) countUpstreams(snapshot *control.Snapshot) {
	for _, list := range snapshot.Upstreams {
		for _, u := range list {
			switch {
			case !u.Available:
				m.UpstreamsUnavailable++
			case u.Cold:
				m.UpstreamsCold++
			default:
				m.UpstreamsAvailable++
			}
		}
	}
}
