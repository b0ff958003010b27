// Package inflight tracks the requests that a host has in flight at each
// upstream, and the upstream's recent failures and latency.
package inflight

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

// How long observations count.
const (
	// decayTime is the time in which the weight of an observation falls to 1/e.
	decayTime = 2 * time.Second
	// silentAfter is how long an upstream with requests in flight may send
	// nothing before it is suspected to be down. It is extended by the time to
	// process the queued prompts, up to maxPrefillTime.
	silentAfter    = 700 * time.Millisecond
	maxPrefillTime = 1500 * time.Millisecond
	// suspectFor is how long an upstream is suspected after a failed connection.
	suspectFor = time.Second
)

// Hash returns the hash of an upstream's ID that stands for it in digests.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// upstream is what this host has observed of one upstream.
type upstream struct {
	service          string
	requests, tokens int
	// receivedAt is when bytes last came from the upstream, or when a request was
	// sent to it while it had none in flight.
	receivedAt   time.Duration
	suspectUntil time.Duration
	// failures, responses and lag are exponentially decayed sums as of decayedAt.
	failures, responses, lag float64
	decayedAt                time.Duration
	// outcomes counts the responses since the upstream was first tracked.
	outcomes members.UpstreamStats
}

func (u *upstream) decay(now time.Duration) {
	if now <= u.decayedAt {
		return
	}
	factor := math.Exp(-(now - u.decayedAt).Seconds() / decayTime.Seconds())
	u.failures *= factor
	u.responses *= factor
	u.lag *= factor
	u.decayedAt = now
}

// Tracker tracks the requests of one host. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	demand    map[string]members.Demand
	versions  map[string]members.VersionStats
	// speeds holds what is known of the speed of each service's engines.
	speeds map[string]*place.Speed
	// remoteTokens returns the prompt tokens of other hosts that an upstream has
	// yet to process.
	remoteTokens func(id string) int
}

// NewTracker returns an empty tracker. remoteTokens returns the prompt tokens of
// other hosts that an upstream has yet to process.
func NewTracker(remoteTokens func(id string) int) *Tracker {
	return &Tracker{
		upstreams: map[string]*upstream{}, demand: map[string]members.Demand{},
		versions: map[string]members.VersionStats{}, speeds: map[string]*place.Speed{}, remoteTokens: remoteTokens,
	}
}

// CountDemand counts a request for a service and the prompt tokens to be
// processed for it.
func (t *Tracker) CountDemand(service string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.demand[service]
	d.Requests++
	d.Tokens += uint64(max(tokens, 0))
	t.demand[service] = d
}

// Outcome is the outcome of a request at an upstream.
type Outcome struct {
	Failed bool
	// Latency is the time to the response or first event, and Pace the mean time between
	// two events of the stream, 0 if it had fewer.
	Latency, Pace time.Duration
}

// RecordOutcome counts the response of an upstream to a request on a route.
func (t *Tracker) RecordOutcome(m *catalog.Member, route string, o Outcome, now time.Duration) {
	s := members.VersionStats{
		Service: m.Service, Version: m.Version, Route: route,
		Responses: 1, LatencySum: o.Latency, LatencySquares: o.Latency.Seconds() * o.Latency.Seconds(),
	}
	if o.Failed {
		s.Failures = 1
	}
	if o.Pace > 0 {
		s.Pace = members.TimingOf(o.Pace)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions[s.Key()] = s.Plus(t.versions[s.Key()])
	u := t.get(m.ID, now)
	u.outcomes = u.outcomes.Plus(members.UpstreamStats{Responses: s.Responses, Failures: s.Failures})
}

// TargetStats returns the counts of the upstreams of rollout targets.
func (t *Tracker) TargetStats(v *catalog.View) []members.UpstreamStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stats []members.UpstreamStats
	for service, spec := range v.Rollouts {
		for _, m := range v.Members[service] {
			u := t.upstreams[m.ID]
			if m.Version != spec.Target || u == nil || u.outcomes.Responses == 0 {
				continue
			}
			upstreamStats := u.outcomes
			upstreamStats.Upstream = Hash(m.ID)
			stats = append(stats, upstreamStats)
		}
	}
	return stats
}

// VersionStats returns the counts of the given services since the process
// started.
func (t *Tracker) VersionStats(services map[string]catalog.Rollout) []members.VersionStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stats []members.VersionStats
	for _, s := range t.versions {
		if _, wanted := services[s.Service]; wanted {
			stats = append(stats, s)
		}
	}
	return stats
}

// Demand returns the requests for each service since the process started.
func (t *Tracker) Demand() map[string]members.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.demand)
}

func (t *Tracker) get(id string, now time.Duration) *upstream {
	u := t.upstreams[id]
	if u == nil {
		u = &upstream{decayedAt: now, receivedAt: now}
		t.upstreams[id] = u
	}
	return u
}

// Request is one request in flight. It is not safe for concurrent use.
type Request struct {
	tracker *Tracker
	id      string
	tokens  int
	ended   bool
}

// Begin records a request that is sent to an upstream of a service.
func (t *Tracker) Begin(id, service string, tokens int, now time.Duration) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.get(id, now)
	u.service = service
	if u.requests == 0 {
		u.receivedAt = now
	}
	u.requests++
	u.tokens += tokens
	return &Request{tracker: t, id: id, tokens: tokens}
}

// Received records that bytes came from the upstream.
func (r *Request) Received(now time.Duration) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	u := r.tracker.get(r.id, now)
	u.receivedAt = now
	u.suspectUntil = 0
	u.tokens -= r.tokens
	r.tokens = 0
}

// End records that the request is finished.
func (r *Request) End(now time.Duration) {
	if r.ended {
		return
	}
	r.ended = true
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	u := r.tracker.get(r.id, now)
	u.requests--
	u.tokens -= r.tokens
	r.tokens = 0
}

// RecordFirstEvent records the time from the send of a prompt, of which an engine of a
// service had to read a number of tokens, to the first event.
func (t *Tracker) RecordFirstEvent(service string, tokens int, latency, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	speed := t.speeds[service]
	if speed == nil {
		speed = &place.Speed{}
		t.speeds[service] = speed
	}
	speed.Record(tokens, latency, now)
}

// PrefillRate returns the number of prompt tokens that an engine of a service
// processes per millisecond, as far as this host has learned it.
func (t *Tracker) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefillRate(service)
}

func (t *Tracker) prefillRate(service string) float64 {
	if speed := t.speeds[service]; speed != nil {
		return speed.Rate()
	}
	return place.DefaultPrefillRate
}

// RecordLatency records a response that was later than expected by lag.
func (t *Tracker) RecordLatency(id string, lag time.Duration, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.get(id, now)
	u.decay(now)
	u.responses++
	u.lag += max(lag.Seconds(), 0)
}

// RecordFailure records a failure of an upstream.
func (t *Tracker) RecordFailure(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.get(id, now)
	u.decay(now)
	u.responses++
	u.failures++
}

// MarkSuspect records that an upstream cannot be reached.
func (t *Tracker) MarkSuspect(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id, now).suspectUntil = now + suspectFor
}

// State is what this host has observed of an upstream.
type State struct {
	// Requests is the number of requests in flight, and Tokens the number of
	// prompt tokens of those for which no bytes have come yet.
	Requests, Tokens int
	// ExtraLatency is how much later than expected the upstream responded lately.
	ExtraLatency time.Duration
	// Failures is the fraction of responses that were failures lately.
	Failures float64
	// Suspect is set when the upstream cannot be reached or is silent.
	Suspect bool
}

// State returns what this host has observed of an upstream.
func (t *Tracker) State(id string, now time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.upstreams[id]
	if tracked == nil {
		return State{}
	}
	u := *tracked // a read leaves the sums as of decayedAt
	u.decay(now)
	state := State{Requests: u.requests, Tokens: u.tokens, Suspect: t.isSuspect(id, &u, now)}
	if u.responses > 0 {
		// The prior of one good response keeps a single failure from ruling out
		// an upstream.
		state.Failures = u.failures / (u.responses + 1)
		state.ExtraLatency = time.Duration(u.lag / (u.responses + 1) * float64(time.Second))
	}
	return state
}

// isSuspect reports whether an upstream cannot be reached or is silent.
//
// Load pattern: prompts queue at engines for longer than silentAfter. Requests
// that are then sent to other engines are processed twice, and the queues grow.
func (t *Tracker) isSuspect(id string, u *upstream, now time.Duration) bool {
	silence := now - u.receivedAt
	if now < u.suspectUntil || u.requests == 0 || silence <= silentAfter {
		return now < u.suspectUntil
	}
	prefill := place.PrefillTime(u.tokens+t.remoteTokens(id), t.prefillRate(u.service))
	return silence > silentAfter+min(prefill, maxPrefillTime)
}

// Unresponsive reports whether an upstream is suspected, be it silent with requests in
// flight or unreachable.
func (t *Tracker) Unresponsive(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[id]
	return u != nil && t.isSuspect(id, u, now)
}

// InFlight returns the load at each upstream and the hashes of the suspected
// ones, for a digest.
func (t *Tracker) InFlight(now time.Duration) ([]members.UpstreamLoad, []uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []members.UpstreamLoad
	var suspects []uint32
	for id, u := range t.upstreams {
		if t.isSuspect(id, u, now) {
			suspects = append(suspects, Hash(id))
		}
		if u.requests > 0 {
			loads = append(loads, members.UpstreamLoad{
				Upstream: Hash(id), Requests: uint16(min(u.requests, math.MaxUint16)), Tokens: uint32(max(u.tokens, 0)),
			})
		}
	}
	return loads, suspects
}

// Retain drops the upstreams that have no requests in flight and are not listed.
func (t *Tracker) Retain(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.upstreams {
		if u.requests == 0 && !listed[id] {
			delete(t.upstreams, id)
		}
	}
}
