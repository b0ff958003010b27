// Package forward proxies callers' requests to upstreams. It lets at most one
// upstream run a request that must not run twice, and responds with a status
// that means "not run" only where that is certain.
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/brittle"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/cold"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/observation"
	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reach"
	"github.com/marigoldmux/marigoldmux/internal/gateway/retry"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

// Limits on the age of the configuration.
const (
	// keyMargin is the safety margin below RevokeWithin: keys are accepted only
	// while the configuration is younger than RevokeWithin by this margin.
	keyMargin = 500 * time.Millisecond
	// maxDenyAge is the age of the configuration up to which a missing route or
	// key is reported as such; a host with an older one refuses with 503. Views
	// of healthy hosts are younger: see members.FreshViewAge.
	maxDenyAge = 1600 * time.Millisecond
)

// Defaults for limits that are not set.
const (
	// defaultTimeout applies to requests without a deadline of the caller.
	defaultTimeout = 15 * time.Second
	// writeGrace is how long after its deadline a response may still be written to
	// a slow caller.
	writeGrace = 2 * time.Second
	// defaultMaxBodyBytes bounds bodies while the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// Deps are the dependencies of a Handler.
type Deps struct {
	Codec     exchange.Codec
	Snapshots interface{ Snapshot() *control.Snapshot }
	InFlight  *inflight.Tracker
	Pool      *upconn.Pool
	Quota     *quota.Limiter
	Cold      *cold.Limiter
	Retry     *retry.Budget
	Poison    *poison.Table
	// Advisories holds what upstreams say about the requests that they want.
	Advisories *advisory.Table
	// Brittle bounds what is sent to upstreams that say that they are brittle.
	Brittle *brittle.Limiter
	// Observed holds what all hosts observe of engines.
	Observed *observation.Recorder
	Usage    *usage.Counter
	Events   *event.Logger
	// Reach knows whether this host is cut off from all upstreams.
	Reach *reach.Monitor
	// IndirectProber finds out, through peers, whether upstreams that this host does not reach
	// have crashed.
	IndirectProber *reach.IndirectProber
	// VersionShares returns the share, from 0 to 1, of a service's requests that
	// go to the target version of a rollout.
	VersionShares interface {
		Share(service, target string) float64
	}
	// Host is the name of this host, and Zone its availability zone.
	Host, Zone string
	// RevokeWithin is the longest time for which a revoked key may still be
	// accepted.
	RevokeWithin time.Duration
	Stats        *Stats
}

// Handler serves callers' requests.
type Handler struct {
	Deps
	// bodies is the memory that the bodies of all requests may take.
	bodies   *bodybuf.Memory
	lost     lostStreams
	peers    *peerPool
	liveness *upconn.LivenessConns
	stopping atomic.Pointer[StopDeadlines]
	// ending is done when the process is about to end.
	ending        context.Context
	end           context.CancelFunc
	active        atomic.Int64
	lastRequestAt atomic.Int64
}

// StopDeadlines are the times up to which a stopping host accepts requests.
type StopDeadlines struct {
	// StreamsUntil is the boot time up to which streams are accepted, and
	// OthersUntil that for other requests. EndsAt is the time by which requests that
	// were accepted meanwhile end.
	StreamsUntil, OthersUntil, EndsAt time.Duration
}

// New returns a Handler with the given dependencies.
func New(deps Deps) *Handler {
	h := &Handler{Deps: deps, bodies: bodybuf.NewMemory(maxBufferedBytes), peers: newPeerPool(), liveness: upconn.NewLivenessConns()}
	h.ending, h.end = context.WithCancel(context.Background())
	return h
}

// Stop starts the shutdown: connections of callers are closed after their
// response, and requests are refused from the given deadlines on. A later call replaces
// the deadlines; when it returns, Active counts all requests that the earlier ones let in.
func (h *Handler) Stop(s StopDeadlines) { h.stopping.Store(&s) }

// End ends the requests in progress: those without a response are answered, and streams
// are broken off.
func (h *Handler) End() { h.end() }

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// LastRequestAt returns the boot time at which the latest request arrived, 0
// before the first.
func (h *Handler) LastRequestAt() time.Duration { return time.Duration(h.lastRequestAt.Load()) }

// proxyRequest is the state of one caller's request.
type proxyRequest struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	call     *exchange.Call
	route    *catalog.Route
	customer *catalog.Customer
	service  string
	// forwardedBy is the name of the host that forwarded the request to this one, "" if it
	// came from its caller. peersTried holds the incarnations of the peers to which this host
	// forwarded it, and peer is the name of the latest.
	forwardedBy string
	peersTried  map[uint64]bool
	peer        string
	// buffers holds the bodies of the request and its responses. bodyRead is set when the
	// body of the request was read whole.
	buffers  []*bodybuf.Buffers
	bodyRead bool
	// deadline is the boot time at which the caller's timeout, or defaultTimeout
	// if it states none, or the route's timeout ends, whichever is first.
	deadline time.Duration
	// quotaTaken is the amount taken from the customer's quota, in requests or
	// tokens.
	quotaTaken float64
	// configVersion is the version of the configuration that admitted the
	// request, and configAge its age at that time.
	configVersion int64
	configAge     time.Duration

	// attempted holds the IDs of the upstreams of earlier attempts. attempts
	// counts the attempts, sends those that got a connection, and runs those in
	// which the upstream may have run the request.
	attempted map[string]bool
	// closedIdle is the ID of an upstream of an earlier attempt that may only have closed
	// an idle connection; it is tried again if there is no other.
	closedIdle string
	// unreached counts the attempts in which the upstream was out of reach.
	attempts, unreached, sends, runs int
	// retryReserved is set when the next send is already counted against the
	// retry budget.
	retryReserved bool
	// headerSent is set when the header of a streamed response was sent to the
	// caller.
	headerSent bool
	// lastEventID is the ID of the last event sent to the caller that has one, and
	// behindLastID is set when events without an ID were sent since, so that no other
	// upstream can resume the stream.
	lastEventID  string
	behindLastID bool
	// firstEvent is the time from the arrival of the request to the first event
	// of its stream, and longestPause the longest time between two events.
	// lastEventAt is the boot time of the latest event.
	firstEvent, longestPause, lastEventAt time.Duration
	// usageCounted is set when the request was counted in the usage of its
	// customer.
	usageCounted bool
	// upstream is the ID of the upstream of the latest attempt, which may be in
	// progress, and failure the reason for which the latest finished attempt
	// failed: after a successful retry, that of the attempt before.
	upstream, failure string
	// upstreamPause is the shortest remaining pause of the upstreams that wanted no
	// requests when one was chosen last, 0 if there were none.
	upstreamPause time.Duration
	// placed is how the request was placed if that was by the expected wait.
	placed enginePlacement
	// trial is set while the request is a trial of held parts that no upstream has run.
	trial poison.Verdict
	// fallback is an error response of an upstream, sent to the caller if no
	// further attempt succeeds.
	fallback *bufferedResponse
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	deletePeerHeaders(r.Header)
	h.handle(w, r, origin{})
}

// handle serves a request of a caller, or one that a host has forwarded.
func (h *Handler) handle(w http.ResponseWriter, r *http.Request, from origin) {
	h.active.Add(1)
	defer h.active.Add(-1)
	call, err := h.Codec.DecodeCall(r)
	p := &proxyRequest{h: h, w: w, r: r, call: call, forwardedBy: from.host, usageCounted: from.usageCounted, attempted: map[string]bool{}}
	defer p.releaseBuffers()
	defer p.boundRest()
	p.boundWrites(call.Arrived + defaultTimeout)
	h.lastRequestAt.Store(int64(call.Arrived))
	if err != nil {
		p.refuse(http.StatusBadRequest, "malformed", 0)
		return
	}
	if !p.admit() || !p.readBody() || !p.readmit() {
		return
	}
	p.service = pickService(p.route)
	if h.Reach.Avoid() && p.serveByPeer() {
		return
	}
	if p.takeQuota() {
		p.serve()
	}
}

// newBuffers returns the buffers of a response of an upstream, or of the request's body if
// upstream is empty. They are released at the end of the request.
func (p *proxyRequest) newBuffers(upstream string) *bodybuf.Buffers {
	b := p.h.bodies.Buffers(upstream)
	p.buffers = append(p.buffers, b)
	return b
}

func (p *proxyRequest) releaseBuffers() {
	for _, b := range p.buffers {
		b.Release()
	}
}

// admit finds the route and the customer and sets the deadline. It reports
// whether the request is admitted; otherwise it has been refused.
func (p *proxyRequest) admit() bool {
	snapshot := p.h.Snapshots.Snapshot()
	view := snapshot.View
	now := boottime.Now()
	if view.Document == nil {
		p.refuse(http.StatusServiceUnavailable, "no configuration", jitter(retryNoConfig))
		return false
	}
	age := now - view.ConfirmedAt
	p.configVersion, p.configAge = view.Document.Version, age
	p.route = view.Route(p.call.Host, p.call.Path)
	if p.route == nil {
		return p.deny(http.StatusNotFound, "no route", age)
	}
	p.customer = nil
	if needsKey(view, p.route) {
		if !p.h.keysProven(view, now) {
			p.refuse(http.StatusServiceUnavailable, "keys unproven", jitter(retryOtherHost))
			return false
		}
		if p.customer = view.Customer(p.call.Key); p.customer == nil {
			return p.deny(http.StatusUnauthorized, "unknown key", age)
		}
	}
	p.deadline = p.call.Arrived + p.timeout()
	p.boundWrites(p.deadline)
	return p.admitWhileStopping(now)
}

// needsKey reports whether requests on a route need the key of a customer.
func needsKey(view *catalog.View, route *catalog.Route) bool {
	return !route.Public && (view.Document.NeedsKeys || len(view.Document.Customers) > 0)
}

// boundWrites makes writes to the caller fail from writeGrace after a deadline on, so
// that a caller that does not read holds nothing longer. The bound stays on the
// connection until its next request.
func (p *proxyRequest) boundWrites(deadline time.Duration) {
	until := time.Now().Add(deadline - boottime.Now() + writeGrace)
	// Without deadlines, as in tests, only the caller's own time limits apply.
	_ = http.NewResponseController(p.w).SetWriteDeadline(until)
}

// admitWhileStopping refuses requests that a stopping host might not finish in
// time. It reports whether the request is admitted.
func (p *proxyRequest) admitWhileStopping(now time.Duration) bool {
	if p.fitsStop(now) {
		return true
	}
	p.refuse(http.StatusServiceUnavailable, reasonStops, jitter(retryOtherHost))
	return false
}

// reasonStops is the reason of a refusal by a stopping host.
const reasonStops = "host stops"

// fitsStop reports whether the request can be finished before the host stops, and brings its
// deadline forward to that time.
func (p *proxyRequest) fitsStop(now time.Duration) bool {
	stop := p.h.stopping.Load()
	if stop == nil {
		return true
	}
	accepted := now < stop.OthersUntil && p.expectedEnd(now) <= stop.EndsAt
	if p.route.Kind == catalog.Stream {
		accepted = now < stop.StreamsUntil
	}
	if accepted {
		// The caller gets an answer, whatever the upstream does, before the process ends.
		p.deadline = min(p.deadline, stop.EndsAt)
	}
	return accepted
}

// latencyMargin is the multiple of the longest latency of a route for which a stopping
// host leaves time.
const latencyMargin = 2

// expectedEnd returns the time by which a request will have ended: its deadline, or less
// if responses of its route have taken less.
func (p *proxyRequest) expectedEnd(now time.Duration) time.Duration {
	longest := p.h.Stats.LongestLatency(p.routeName())
	if longest == 0 {
		return p.deadline
	}
	return min(p.deadline, now+latencyMargin*longest)
}

// deny refuses a request whose route or key is unknown: with status if the
// configuration is recent, else with 503, since a newer one may contain it.
func (p *proxyRequest) deny(status int, reason string, age time.Duration) bool {
	if age > maxDenyAge {
		p.refuse(http.StatusServiceUnavailable, reason+", configuration unproven", jitter(retryOtherHost))
		return false
	}
	p.refuse(status, reason, 0)
	return false
}

func (p *proxyRequest) timeout() time.Duration {
	wait := p.call.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if p.route.Timeout > 0 {
		wait = min(wait, p.route.Timeout)
	}
	return wait
}

// readmit repeats the admission if the configuration may have changed while the
// body was read. It reports whether the request is admitted.
func (p *proxyRequest) readmit() bool {
	if boottime.Now()-p.call.Arrived < readmitAfter {
		return true
	}
	return p.admit()
}

// readmitAfter is the time after the arrival of a request from which its
// admission is repeated. In less time, the view hardly changes.
const readmitAfter = 50 * time.Millisecond

// quotaRank returns the rank of the request among those of its customer, 0 for the most
// urgent ones.
func (p *proxyRequest) quotaRank() int {
	return min(max(p.route.Priority, 0), ranksPerCustomerPriority-1)
}

// takeQuota takes the cost of the request from the quota of its customer. It
// reports whether the quota allows the request; otherwise it has been refused.
func (p *proxyRequest) takeQuota() bool {
	if p.customer == nil {
		return true
	}
	if p.lacksFleet() {
		p.refuse(http.StatusServiceUnavailable, "fleet unknown", jitter(retryOtherHost))
		return false
	}
	p.quotaTaken = quotaCost(p.call, p.customer)
	ok, wait := p.h.Quota.TakeRanked(p.customer, p.quotaTaken, p.quotaRank(), boottime.Now())
	if !ok {
		p.refuse(http.StatusTooManyRequests, quotaReason(p.customer, p.quotaTaken), jitter(wait))
		p.quotaTaken = 0
	}
	return ok
}

// lacksFleet reports whether the request's customer has a quota, but this host does not know
// the hosts that share it.
func (p *proxyRequest) lacksFleet() bool {
	return p.customer.Rate > 0 && !p.h.Snapshots.Snapshot().FleetKnown()
}

// quotaReason returns the reason of a refusal by the quota of a customer.
func quotaReason(customer *catalog.Customer, amount float64) string {
	return fmt.Sprintf("quota of %.0f a second is used up, %.0f asked", customer.Rate, amount)
}

func quotaCost(call *exchange.Call, customer *catalog.Customer) float64 {
	switch {
	case !customer.InTokens:
		return 1
	case call.Prompt == nil:
		return customer.PlainTokens
	}
	return float64(call.Prompt.InputTokens + call.Prompt.MaxOutputTokens)
}

// pickService picks the service of one of the route's backends, at random by
// their weights.
func pickService(route *catalog.Route) string {
	total := totalWeight(route)
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

// totalWeight returns the sum of the weights of a route's backends.
func totalWeight(route *catalog.Route) int {
	total := 0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	return total
}
