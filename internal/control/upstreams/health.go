package upstreams

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	// A latency counts as slow above slowFactor times the average; latencies up
	// to minSlow never do.
	slowFactor = 4
	minSlow    = 50 * time.Millisecond
	// baselineGain is the weight of a new sample in a route's average latencies.
	baselineGain = 0.1
	// badShareGain is the weight of a new sample in the share of bad attempts, and
	// badVersionShare the share from which a version counts as bad.
	badShareGain    = 0.1
	badVersionShare = 0.4
	// tripFailures is the number of consecutive failures that open the breaker:
	// this host sends nothing to the upstream for tripTime, which doubles with
	// each further trip, up to maxTrips times.
	tripFailures = 3
	tripTime     = time.Second
	maxTrips     = 4
	// suspectAttempts is the least number of bad attempts that make an upstream
	// suspect.
	suspectAttempts = 2
	// stallTimeout is the time without a token after which an attempt that was
	// canceled or timed out counts as failed.
	stallTimeout = 2 * time.Second
)

// baseline holds moving averages over all upstreams of a version on one route.
type baseline struct {
	// first is the time to the first token, between the time between tokens.
	first, between time.Duration
	// bad is the recent share of slow and faulted attempts.
	bad float64
}

// baselineKey identifies the attempts that are compared with each other.
type baselineKey struct {
	service, route, version string
}

// record updates the share of bad attempts and reports whether a bad attempt
// counts against its upstream: a version that is bad on all its upstreams is not
// the fault of each of them.
func (b *baseline) record(bad bool) bool {
	sample := 0.0
	if bad {
		sample = 1
	}
	b.bad += badShareGain * (sample - b.bad)
	return bad && b.bad < badVersionShare
}

// slow reports whether a latency is far above the moving average, and adds it to
// the average. A latency of 0 is ignored.
func slow(average *time.Duration, latency time.Duration) bool {
	if latency == 0 {
		return false
	}
	if *average == 0 {
		*average = latency
		return false
	}
	isSlow := latency > slowFactor**average && latency > minSlow
	*average += time.Duration(baselineGain * float64(latency-*average))
	return isSlow
}

// breaker is a circuit breaker for this host's attempts at one upstream.
type breaker struct {
	failures, trips int
	// until is the time until which the breaker is open.
	until time.Time
}

func (b *breaker) reset() { *b = breaker{} }

func (b *breaker) recordFailure(now time.Time) {
	b.failures++
	if b.failures < tripFailures {
		return
	}
	b.until = now.Add(tripTime << b.trips)
	b.trips = min(b.trips+1, maxTrips)
	b.failures = tripFailures - 1
}

// attemptEnded records the outcome of an attempt by this host.
func (m *Machine) attemptEnded(now time.Time, in control.AttemptEnded) {
	e := m.entries[in.Upstream]
	if e == nil {
		return
	}
	base := m.baseline(in)
	if in.Failure != nil {
		m.attemptFailed(now, e, base, in)
		return
	}
	if e.breaker.failures > 0 {
		e.breaker.reset()
		m.changed = true
	}
	first := in.FirstToken
	if first == 0 {
		first = in.Took
	}
	slowFirst := slow(&base.first, first)
	slowBetween := slow(&base.between, in.Between)
	switch isSlow := slowFirst || slowBetween; {
	case base.record(isSlow):
		e.outcomes.Slow++
		m.updateSuspect(e)
	case !isSlow:
		e.outcomes.Good++
	}
}

func (m *Machine) baseline(in control.AttemptEnded) *baseline {
	key := baselineKey{in.Service, in.Route, in.Version}
	base := m.baselines[key]
	if base == nil {
		base = &baseline{}
		m.baselines[key] = base
	}
	return base
}

// updateSuspect marks an upstream as suspect once bad attempts outnumber good
// ones: until the next grant, this host's limit is its part of the cold limit,
// but at least one request.
func (m *Machine) updateSuspect(e *entry) {
	bad := e.outcomes.Slow + e.outcomes.Failed
	if bad >= suspectAttempts && bad > e.outcomes.Good {
		e.suspect = true
		m.changed = true
	}
}

func (m *Machine) attemptFailed(now time.Time, e *entry, base *baseline, in control.AttemptEnded) {
	if !upstreamAtFault(in) {
		return
	}
	if in.Failure.Kind == upstream.Faulted && !base.record(true) {
		return
	}
	e.outcomes.Failed++
	m.updateSuspect(e)
	e.breaker.recordFailure(now)
	m.changed = true
}

// upstreamAtFault reports whether an attempt failed because of the upstream, not
// because its caller disconnected or its deadline passed. An attempt that produced
// no token for stallTimeout counts against the upstream even then.
func upstreamAtFault(in control.AttemptEnded) bool {
	switch in.Failure.Kind {
	case upstream.Invalid, upstream.Mismatched:
		return false
	default:
	}
	abandoned := errors.Is(in.Failure.Err, context.Canceled) || errors.Is(in.Failure.Err, context.DeadlineExceeded)
	return !abandoned || (in.Tokens == 0 && in.Took >= stallTimeout)
}
