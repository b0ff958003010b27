package upstreams

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	// slowFactor is the number of times that an answer must take longer than
	// usual to count as slow, and leastSlow the time that is never slow.
	slowFactor = 4
	leastSlow  = 50 * time.Millisecond
	// baselineGain is the weight of a new sample in a route's usual times.
	baselineGain = 0.1
	// badGain is the weight of a new sample in the share of bad attempts, and
	// badVersion the share from which on a version counts as bad.
	badGain    = 0.1
	badVersion = 0.4
	// tripFailures is the number of failures in a row after which this host
	// sends nothing to an upstream for a while, from tripTime on.
	tripFailures = 3
	tripTime     = time.Second
	maxTrips     = 4
	// suspectAttempts is the number of bad attempts that make a host doubt.
	suspectAttempts = 2
	// stallTime is the time without a token from which on an attempt that was
	// given up counts as failed.
	stallTime = 2 * time.Second
)

// baseline is what is usual on a route of a version over all its upstreams.
type baseline struct {
	first, between time.Duration
	// bad is the recent share of slow and faulted attempts.
	bad float64
}

// baselineKey names the attempts that are compared with each other.
type baselineKey struct {
	service, route, version string
}

// count records an attempt and reports whether it was out of the ordinary: a
// version that is bad on all its upstreams is not the fault of each of them.
func (b *baseline) count(bad bool) bool {
	sample := 0.0
	if bad {
		sample = 1
	}
	b.bad += badGain * (sample - b.bad)
	return bad && b.bad < badVersion
}

// slow reports whether a latency is far above a usual one, and moves that.
func slow(usual *time.Duration, latency time.Duration) bool {
	if latency == 0 {
		return false
	}
	if *usual == 0 {
		*usual = latency
		return false
	}
	isSlow := latency > slowFactor**usual && latency > leastSlow
	*usual += time.Duration(baselineGain * float64(latency-*usual))
	return isSlow
}

// breaker keeps this host from an upstream that fails it.
type breaker struct {
	failures, trips int
	until           time.Time
}

func (b *breaker) ok() { *b = breaker{} }

func (b *breaker) failed(now time.Time) {
	b.failures++
	if b.failures < tripFailures {
		return
	}
	b.until = now.Add(tripTime << b.trips)
	b.trips = min(b.trips+1, maxTrips)
	b.failures = tripFailures - 1
}

// attemptEnded learns from an attempt by this host.
func (m *Machine) attemptEnded(now time.Time, in control.AttemptEnded) {
	e := m.entries[in.Upstream]
	if e == nil {
		return
	}
	usual := m.baseline(in)
	if in.Failure != nil {
		m.attemptFailed(now, e, usual, in)
		return
	}
	if e.breaker.failures > 0 {
		e.breaker.ok()
		m.changed = true
	}
	first := in.FirstToken
	if first == 0 {
		first = in.Took
	}
	slowFirst := slow(&usual.first, first)
	slowBetween := slow(&usual.between, in.Between)
	switch isSlow := slowFirst || slowBetween; {
	case usual.count(isSlow):
		e.evidence.Slow++
		m.suspect(e)
	case !isSlow:
		e.evidence.Good++
	}
}

func (m *Machine) baseline(in control.AttemptEnded) *baseline {
	key := baselineKey{in.Service, in.Route, in.Version}
	usual := m.baselines[key]
	if usual == nil {
		usual = &baseline{}
		m.baselines[key] = usual
	}
	return usual
}

// suspect cuts this host's use of an upstream to its part of the cold limit, or
// one request, once bad attempts outweigh good ones, until the coordinator has heard
// of them.
func (m *Machine) suspect(e *entry) {
	bad := e.evidence.Slow + e.evidence.Failed
	if bad >= suspectAttempts && bad > e.evidence.Good {
		e.suspect = true
		m.changed = true
	}
}

func (m *Machine) attemptFailed(now time.Time, e *entry, usual *baseline, in control.AttemptEnded) {
	if !blamed(in) {
		return
	}
	if in.Failure.Kind == upstream.Faulted && !usual.count(true) {
		return
	}
	e.evidence.Failed++
	m.suspect(e)
	e.breaker.failed(now)
	m.changed = true
}

// blamed reports whether an attempt failed because of the upstream, not
// because its caller left or its time was up.
func blamed(in control.AttemptEnded) bool {
	switch in.Failure.Kind {
	case upstream.Invalid, upstream.Mismatched:
		return false
	default:
	}
	given := errors.Is(in.Failure.Err, context.Canceled) || errors.Is(in.Failure.Err, context.DeadlineExceeded)
	return !given || (in.Tokens == 0 && in.Took >= stallTime)
}
