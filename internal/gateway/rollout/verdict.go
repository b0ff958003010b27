package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// Thresholds for the verdict on a version.
const (
	// minResponses is the number of responses below which no verdict is given.
	minResponses = 8
	// minHealthyResponses is the number of responses that a healthy version must
	// have before it gets all traffic.
	minHealthyResponses = 12
	// minFailures is the smallest number of failures that can make a version bad.
	minFailures = 4
	// A version fails too often if its failure rate exceeds failureFactor times
	// the rate of the baseline plus failureMargin.
	failureFactor = 2.0
	failureMargin = 0.1
	// Failures are blamed on single upstreams if these are at most maxFaultyShare
	// of all upstreams but one, and the failure rate of the others is below
	// spreadFactor times that of all. With more than maxExcusedFailures failures
	// the version is blamed.
	maxFaultyShare     = 1.0 / 3
	spreadFactor       = 0.5
	maxExcusedFailures = 25
)

// slowLimits bounds a time of the target relative to that of the baseline. The target is
// too slow if its mean exceeds factor times that of the baseline plus margin, and the mean
// less its standard error exceeds confidentFactor times that of the baseline plus half of
// the margin.
type slowLimits struct {
	factor, confidentFactor float64
	margin                  time.Duration
}

// The limits of the time to the response or first event, and of the pace of streams. While
// the target gets a small share, its engines run fewer requests, so the streams of a sound
// one are rather faster.
var (
	latencyLimits = slowLimits{factor: 1.8, confidentFactor: 1.3, margin: 40 * time.Millisecond}
	paceLimits    = slowLimits{factor: 1.3, confidentFactor: 1.15, margin: 2 * time.Millisecond}
)

// Evidence holds what a verdict is based on: the responses of the target and of
// all other versions since the run started. Route is the route that the verdict is
// based on; it is empty if all routes together gave it or if the verdict is
// Healthy.
type Evidence struct {
	Verdict          Verdict
	Target, Baseline members.VersionStats
	Route            string
}

// Verdict is the result of comparing a target with its baseline; larger is worse.
type Verdict uint8

// The verdicts.
const (
	Healthy Verdict = iota
	// Inconclusive means that failures are limited to few upstreams of the
	// target, or that the latency is high only because of a few responses.
	Inconclusive
	Bad
)

// String returns the verdict as it is written in logs.
func (v Verdict) String() string { return [...]string{"sound", "disturbed", "bad"}[v] }

// Compare returns the worst verdict on a target, on one route or over all routes,
// with its evidence. baseline holds the other versions; upstreams holds the
// responses of the target's upstreams. Failures that are limited to few upstreams
// are not blamed on the version. fullShare is set when the target gets all requests: its
// streams are not compared with earlier ones then, as the pace depends on the load.
func Compare(target, baseline map[string]members.VersionStats, upstreams []members.UpstreamStats, fullShare bool) Evidence {
	c := criteria{failuresSpread: failuresSpread(upstreams), judgePace: !fullShare}
	worst := c.evaluate(total(target), total(baseline))
	for _, route := range slices.Sorted(maps.Keys(target)) {
		if routeEvidence := c.evaluate(target[route], baseline[route]); routeEvidence.Verdict > worst.Verdict {
			worst = routeEvidence
			worst.Route = route
		}
	}
	return worst
}

// criteria are what a target is judged by.
type criteria struct {
	// failuresSpread is set when failures are not limited to few upstreams of the target.
	failuresSpread bool
	// judgePace is set when the pace of streams counts.
	judgePace bool
}

// evaluate compares the responses of a target with those of the baseline.
func (c criteria) evaluate(target, baseline members.VersionStats) Evidence {
	e := Evidence{Target: target, Baseline: baseline}
	if target.Responses >= minResponses {
		e.Verdict = max(
			failureVerdict(target, baseline, c.failuresSpread),
			latencyLimits.verdict(target.Latency(), baseline.Latency()),
		)
		if c.judgePace {
			e.Verdict = max(e.Verdict, paceLimits.verdict(target.Pace, baseline.Pace))
		}
	}
	return e
}

func failureVerdict(target, baseline members.VersionStats, spread bool) Verdict {
	switch {
	case !failsMore(target, baseline):
		return Healthy
	case !spread:
		return Inconclusive
	}
	return Bad
}

func (l slowLimits) verdict(target, baseline members.Timing) Verdict {
	enough := target.Count >= minResponses && baseline.Count >= minResponses
	switch {
	case !enough || target.Mean() <= scaled(baseline.Mean(), l.factor)+l.margin:
		return Healthy
	case target.Mean()-target.MeanError() <= scaled(baseline.Mean(), l.confidentFactor)+l.margin/2:
		return Inconclusive
	}
	return Bad
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

func failsMore(target, baseline members.VersionStats) bool {
	baselineRate := 0.0
	if baseline.Responses > 0 {
		baselineRate = float64(baseline.Failures) / float64(baseline.Responses)
	}
	targetRate := float64(target.Failures) / float64(target.Responses)
	return target.Failures >= minFailures && targetRate > baselineRate*failureFactor+failureMargin
}

// failuresSpread reports whether failures are not limited to few upstreams:
// without the upstreams that failed most, the others still fail about as often.
// It also reports true if the others have too few responses to tell, or if there
// are more than maxExcusedFailures failures.
func failuresSpread(upstreams []members.UpstreamStats) bool {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b members.UpstreamStats) int { return cmp.Compare(b.Failures, a.Failures) })
	maxFaulty := int(math.Ceil(maxFaultyShare * float64(len(sorted)-1)))
	var all, others members.UpstreamStats
	for i, u := range sorted {
		all = all.Plus(u)
		if i >= maxFaulty {
			others = others.Plus(u)
		}
	}
	if others.Responses < minResponses || all.Failures > maxExcusedFailures {
		return true
	}
	share := float64(others.Failures) * float64(all.Responses)
	return share >= spreadFactor*float64(all.Failures)*float64(others.Responses)
}

func total(byRoute map[string]members.VersionStats) members.VersionStats {
	var sum members.VersionStats
	for _, s := range byRoute {
		sum = sum.Plus(s)
	}
	return sum
}
