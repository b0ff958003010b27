// Package inflight keeps what a host has in flight at each upstream and how the
// upstream answered lately.
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

// How long experience counts.
const (
	// decayTime is the time in which the weight of an observation falls to 1/e.
	decayTime = 2 * time.Second
	// silentAfter is the silence of an upstream with work in flight after which
	// it is suspected to be down, beyond the time for the prompts that it has to
	// read, which is at most maxReading.
	silentAfter = 700 * time.Millisecond
	maxPrefillTime  = 1500 * time.Millisecond
	// suspectFor is how long a failed connection keeps an upstream suspected.
	suspectFor = time.Second
)

// Hash returns the short name of an upstream in digests.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// upstream is what one host knows of one upstream by itself.
type upstream struct {
	requests, tokens int
	// receivedAt is when bytes last came, or work began after a pause.
	receivedAt      time.Duration
	suspectUntil time.Duration
	// failures, answers and lag are decayed sums as of at.
	failures, responses, lag float64
	decayedAt                     time.Duration
	// outcomes counts its answers since it was listed.
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

// Tracker holds the work of one host. It is safe for concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	demand    map[string]members.Demand
	versions  map[string]members.VersionStats
	// remoteTokens returns the prompt tokens of other hosts that an upstream has to
	// read.
	remoteTokens func(id string) int
}

// NewTracker returns an empty board. Remote returns the prompt tokens of other
// hosts that an upstream has to read.
func NewTracker(remote func(id string) int) *Tracker {
	return &Tracker{
		upstreams: map[string]*upstream{}, demand: map[string]members.Demand{},
		versions: map[string]members.VersionStats{}, remoteTokens: remote,
	}
}

// CountDemand counts a request for a service and the prompt tokens that it needs
// read.
func (b *Tracker) CountDemand(service string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.demand[service]
	d.Requests++
	d.Tokens += uint64(max(tokens, 0))
	b.demand[service] = d
}

// RecordOutcome counts the answer of an upstream on a route.
func (b *Tracker) RecordOutcome(m *catalog.Member, route string, failed bool, waited, now time.Duration) {
	s := members.VersionStats{
		Service: m.Service, Version: m.Version, Route: route,
		Answers: 1, LatencySum: waited, LatencySquares: waited.Seconds() * waited.Seconds(),
	}
	if failed {
		s.Failures = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions[s.Key()] = s.Plus(b.versions[s.Key()])
	u := b.get(m.ID, now)
	u.outcomes = u.outcomes.Plus(members.UpstreamStats{Answers: s.Answers, Failures: s.Failures})
}

// TargetStats returns the answers of the upstreams that rollouts move to.
func (b *Tracker) TargetStats(v *catalog.View) []members.UpstreamStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stats []members.UpstreamStats
	for service, order := range v.Rollouts {
		for _, m := range v.Members[service] {
			u := b.upstreams[m.ID]
			if m.Version != order.Target || u == nil || u.outcomes.Answers == 0 {
				continue
			}
			one := u.outcomes
			one.Upstream = Hash(m.ID)
			stats = append(stats, one)
		}
	}
	return stats
}

// VersionStats returns the answers of the services given, since the process began.
func (b *Tracker) VersionStats(services map[string]catalog.Rollout) []members.VersionStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var stats []members.VersionStats
	for _, s := range b.versions {
		if _, moving := services[s.Service]; moving {
			stats = append(stats, s)
		}
	}
	return stats
}

// Demand returns what was asked of services since the process began.
func (b *Tracker) Demand() map[string]members.Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.demand)
}

func (b *Tracker) get(id string, now time.Duration) *upstream {
	u := b.upstreams[id]
	if u == nil {
		u = &upstream{decayedAt: now, receivedAt: now}
		b.upstreams[id] = u
	}
	return u
}

// Request is one request in flight. Its methods are called by one goroutine.
type Request struct {
	tracker  *Tracker
	id     string
	tokens int
	ended  bool
}

// Begin counts a request that is sent to an upstream.
func (b *Tracker) Begin(id string, tokens int, now time.Duration) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.get(id, now)
	if u.requests == 0 {
		u.receivedAt = now
	}
	u.requests++
	u.tokens += tokens
	return &Request{tracker: b, id: id, tokens: tokens}
}

// Received notes that bytes came from the upstream.
func (w *Request) Received(now time.Duration) {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	u := w.tracker.get(w.id, now)
	u.receivedAt = now
	u.suspectUntil = 0
	u.tokens -= w.tokens
	w.tokens = 0
}

// End counts the request out.
func (w *Request) End(now time.Duration) {
	if w.ended {
		return
	}
	w.ended = true
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	u := w.tracker.get(w.id, now)
	u.requests--
	u.tokens -= w.tokens
	w.tokens = 0
}

// RecordLatency notes an answer that came later than expected by a lag.
func (b *Tracker) RecordLatency(id string, lag time.Duration, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.get(id, now)
	u.decay(now)
	u.responses++
	u.lag += max(lag.Seconds(), 0)
}

// RecordFailure notes a failure of an upstream.
func (b *Tracker) RecordFailure(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.get(id, now)
	u.decay(now)
	u.responses++
	u.failures++
}

// MarkSuspect notes that an upstream cannot be reached.
func (b *Tracker) MarkSuspect(id string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(id, now).suspectUntil = now + suspectFor
}

// State is what a host knows of an upstream by itself.
type State struct {
	Requests, Tokens int
	ExtraLatency     time.Duration
	// Failures is the share of failed answers.
	Failures float64
	Suspect  bool
}

// State returns what is known of an upstream.
func (b *Tracker) State(id string, now time.Duration) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return State{}
	}
	u.decay(now)
	state := State{Requests: u.requests, Tokens: u.tokens, Suspect: b.isSuspect(id, u, now)}
	if u.responses > 0 {
		// The prior of one sound answer keeps a single failure from
		// condemning an upstream.
		state.Failures = u.failures / (u.responses + 1)
		state.ExtraLatency = time.Duration(u.lag / (u.responses + 1) * float64(time.Second))
	}
	return state
}

// isSuspect reports whether an upstream cannot be reached or is silent.
//
// Load pattern: prompts queue at engines for longer than silentAfter. Requests
// that are sent to others then are read twice, and the queues grow.
func (b *Tracker) isSuspect(id string, u *upstream, now time.Duration) bool {
	silence := now - u.receivedAt
	if now < u.suspectUntil || u.requests == 0 || silence <= silentAfter {
		return now < u.suspectUntil
	}
	reading := place.PrefillTime(u.tokens + b.remoteTokens(id))
	return silence > silentAfter+min(reading, maxPrefillTime)
}

// Silent reports whether an upstream with work in flight has been silent.
func (b *Tracker) Silent(id string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u != nil && b.isSuspect(id, u, now)
}

// InFlight returns the work in flight and the suspected upstreams for a digest.
func (b *Tracker) InFlight(now time.Duration) ([]members.UpstreamLoad, []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var flights []members.UpstreamLoad
	var suspects []uint32
	for id, u := range b.upstreams {
		if b.isSuspect(id, u, now) {
			suspects = append(suspects, Hash(id))
		}
		if u.requests > 0 {
			flights = append(flights, members.UpstreamLoad{
				Upstream: Hash(id), Requests: uint16(min(u.requests, math.MaxUint16)), Tokens: uint32(max(u.tokens, 0)),
			})
		}
	}
	return flights, suspects
}

// Retain drops the upstreams without work that are not listed.
func (b *Tracker) Retain(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, u := range b.upstreams {
		if u.requests == 0 && !listed[id] {
			delete(b.upstreams, id)
		}
	}
}
