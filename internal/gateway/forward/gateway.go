// Package forward carries callers' requests to upstreams and the answers back.
// It sends a request that must not run twice to one upstream only, and says
// "not run" only where that is certain.
package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/cold"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
	"github.com/marigoldmux/marigoldmux/internal/gateway/retry"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

// Freshness of belief.
const (
	// keyMargin is kept between the age up to which keys are used and the bound
	// on the use of revoked keys.
	keyMargin = 500 * time.Millisecond
	// denyAge is the age of the configuration up to which the gateway says
	// that a route or key does not exist.
	denyAge = 1600 * time.Millisecond
)

// Defaults where the configuration does not say.
const (
	// defaultWait bounds requests whose caller does not say how long it waits.
	defaultWait = 15 * time.Second
	// maxBody bounds bodies while no configuration says it, in bytes.
	maxBody = 4 << 20
)

// Deps are what a gateway works with.
type Deps struct {
	Codec     exchange.Codec
	Snapshots interface{ Snapshot() *control.Snapshot }
	InFlight  *inflight.Tracker
	Pool      *upconn.Pool
	Quota     *quota.Limiter
	Cold      *cold.Limiter
	Retry     *retry.Budget
	Poison    *poison.Table
	Usage     *usage.Counter
	Events    *event.Logger
	// Versions says what part of a service's requests a rollout's target gets.
	Versions interface {
		Share(service, target string) float64
	}
	// Zone is the availability zone of this host.
	Zone string
	// RevokeWithin is the longest time that a revoked key may be used.
	RevokeWithin time.Duration
	Stats        *Stats
}

// Handler is the handler of callers' requests.
type Handler struct {
	Deps
	stopping atomic.Pointer[StopDeadlines]
	active   atomic.Int64
	lastAt   atomic.Int64
}

// StopDeadlines says what a host that stops still takes.
type StopDeadlines struct {
	// StreamsUntil and UntilAll are the boot times until which streams and any
	// requests are taken.
	StreamsUntil, UntilAll time.Duration
}

// New returns a gateway.
func New(deps Deps) *Handler { return &Handler{Deps: deps} }

// Stop makes the gateway end callers' connections and take less and less.
func (g *Handler) Stop(s StopDeadlines) { g.stopping.Store(&s) }

// Active returns the number of requests in progress.
func (g *Handler) Active() int64 { return g.active.Load() }

// LastAt returns the boot time of the latest request.
func (g *Handler) LastAt() time.Duration { return time.Duration(g.lastAt.Load()) }

// pass is the way of one call through the gateway.
type pass struct {
	g        *Handler
	w        http.ResponseWriter
	r        *http.Request
	call     *exchange.Call
	route    *catalog.Route
	customer *catalog.Customer
	service  string
	// end is the boot time at which the caller stops waiting or the route's
	// timeout ends, whichever is first.
	end time.Duration
	// amount is what was taken of the customer's quota.
	amount float64
	// configured is the version of the configuration that admitted the call,
	// and configAge the age of its proof then.
	configured int64
	configAge  time.Duration

	// tried are the upstreams that the call was tried at; tries counts them,
	// sends those that were reached, and runs those that may have run it.
	tried              map[string]bool
	tries, sends, runs int
	// reserved tells that the retry budget has paid for the next send.
	reserved bool
	// committed tells that the caller has the head of an answer.
	committed bool
	// lastEvent is the ID of the last event that reached the caller.
	lastEvent string
	// firstEvent is the time from the call's arrival to the first event of its
	// stream, and longestPause the longest time between two events, of which the
	// latest came at previousEvent.
	firstEvent, longestPause, previousEvent time.Duration
	// counted tells that the call is counted in the usage of its customer.
	counted bool
	// upstream is the latest that was tried, and failure why it did not answer.
	upstream, failure string
	// best is a whole answer that is kept while a better one is sought.
	best *answered
}

// ServeHTTP implements http.Handler.
func (g *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	call, err := g.Codec.DecodeCall(r)
	p := &pass{g: g, w: w, r: r, call: call, tried: map[string]bool{}}
	g.lastAt.Store(int64(call.Arrived))
	if stop := g.stopping.Load(); stop != nil {
		w.Header().Set("Connection", "close")
	}
	if err != nil {
		p.refuse(http.StatusBadRequest, "malformed", 0)
		return
	}
	if p.admit() && p.readBody() && p.checkAgain() && p.takeQuota() {
		p.serve()
	}
}

// admit finds the route and the customer.
func (p *pass) admit() bool {
	snapshot := p.g.Snapshots.Snapshot()
	view := snapshot.View
	now := boottime.Now()
	if view.Document == nil {
		p.refuse(http.StatusServiceUnavailable, "no configuration", jitter(retryUnconfigured))
		return false
	}
	age := now - view.ConfirmedAt
	p.configured, p.configAge = view.Document.Version, age
	p.route = view.Route(p.call.Host, p.call.Path)
	if p.route == nil {
		return p.deny(http.StatusNotFound, "no route", age)
	}
	p.customer = nil
	if !p.route.Public && len(view.Document.Customers) > 0 {
		if age > p.g.RevokeWithin-keyMargin {
			p.refuse(http.StatusServiceUnavailable, "keys unproven", jitter(retryUnproven))
			return false
		}
		if p.customer = view.Customer(p.call.Key); p.customer == nil {
			return p.deny(http.StatusUnauthorized, "unknown key", age)
		}
	}
	p.end = p.call.Arrived + p.wait()
	return p.takenWhileStopping(now)
}

// takenWhileStopping refuses what a stopping host may not finish.
func (p *pass) takenWhileStopping(now time.Duration) bool {
	stop := p.g.stopping.Load()
	if stop == nil {
		return true
	}
	until := stop.UntilAll
	if p.route.Kind == catalog.Stream {
		until = stop.StreamsUntil
	}
	if now < until {
		return true
	}
	p.refuse(http.StatusServiceUnavailable, "host stops", jitter(retryUnproven))
	return false
}

// deny says that something does not exist, or that this host cannot know.
func (p *pass) deny(status int, reason string, age time.Duration) bool {
	if age > denyAge {
		p.refuse(http.StatusServiceUnavailable, reason+", configuration unproven", jitter(retryUnproven))
		return false
	}
	p.refuse(status, reason, 0)
	return false
}

func (p *pass) wait() time.Duration {
	wait := p.call.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if p.route.Timeout > 0 {
		wait = min(wait, p.route.Timeout)
	}
	return wait
}

// checkAgain repeats the admission after the body came, which may have taken
// long.
func (p *pass) checkAgain() bool {
	if boottime.Now()-p.call.Arrived < publishLag {
		return true
	}
	return p.admit()
}

// publishLag is the time in which beliefs do not change enough to matter.
const publishLag = 50 * time.Millisecond

func (p *pass) takeQuota() bool {
	p.service = pickBackend(p.route)
	if p.customer == nil {
		return true
	}
	p.amount = amountOf(p.call, p.customer)
	ok, wait := p.g.Quota.Take(p.customer, p.amount, boottime.Now())
	if !ok {
		reason := fmt.Sprintf("quota of %.0f a second is used up, %.0f asked", p.customer.Rate, p.amount)
		p.refuse(http.StatusTooManyRequests, reason, jitter(wait))
		p.amount = 0
	}
	return ok
}

func amountOf(call *exchange.Call, customer *catalog.Customer) float64 {
	switch {
	case !customer.InTokens:
		return 1
	case call.Prompt == nil:
		return customer.PlainTokens
	}
	return float64(call.Prompt.InputTokens + call.Prompt.MaxOutputTokens)
}

// pickBackend chooses a service by the weights of the route's backends.
func pickBackend(route *catalog.Route) string {
	total := 0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	if total <= 0 {
		return route.Backends[0].Service
	}
	n := rand.IntN(total)
	for _, backend := range route.Backends {
		if n -= backend.Weight; n < 0 {
			return backend.Service
		}
	}
	return route.Backends[0].Service
}
