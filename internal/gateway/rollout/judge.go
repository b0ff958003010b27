package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// When a version is judged.
const (
	// leastAnswers is the number of answers without which nothing is judged.
	leastAnswers = 8
	// soundAnswers is the number of answers that prove a version sound enough.
	soundAnswers = 12
	// leastFailures is the number of failures that can condemn a version.
	leastFailures = 4
	// failureFactor and failureMargin say how much more than the version before
	// it may fail.
	failureFactor = 2.0
	failureMargin = 0.1
	// excusedPart is the part of its upstreams, but for one, that may be broken
	// by themselves; the others must fail spreadFactor times as often as all for
	// the version to be at fault. Beyond mostExcused failures it is.
	excusedPart  = 1.0 / 3
	spreadFactor = 0.5
	mostExcused  = 25
	// slowFactor and slowMargin say how much slower it may answer, sureFactor
	// and sureMargin how much slower even without the standard error of its mean.
	slowFactor = 1.8
	slowMargin = 40 * time.Millisecond
	sureFactor = 1.3
	sureMargin = 20 * time.Millisecond
)

// Evidence is what is known of a target and of the versions before it since the
// run began. Route names the route that condemned the target; it is empty where
// all routes together did or where none did.
type Evidence struct {
	Verdict          Verdict
	Target, Baseline members.VersionStats
	Route            string
}

// Verdict says what the answers of a target show; larger is worse.
type Verdict uint8

// The verdicts.
const (
	Healthy Verdict = iota
	// Inconclusive means that few upstreams of the target fail, or few answers are
	// very slow, so that the version is neither proven nor condemned.
	Inconclusive
	Bad
)

// String returns the verdict as logs name it.
func (v Verdict) String() string { return [...]string{"sound", "disturbed", "bad"}[v] }

// Compare tells whether a version is worse than the one before, on one route or
// over all, and what that is seen by. Failures of few of its upstreams are theirs,
// not the version's.
func Compare(target, before map[string]members.VersionStats, upstreams []members.UpstreamStats) Evidence {
	spread := spread(upstreams)
	worst := judge(total(target), total(before), spread)
	for _, route := range slices.Sorted(maps.Keys(target)) {
		if one := judge(target[route], before[route], spread); one.Verdict > worst.Verdict {
			worst = one
			worst.Route = route
		}
	}
	return worst
}

// judge compares the answers of a target with those of the versions before.
// Spread tells whether failures are those of all upstreams of the target.
func judge(target, before members.VersionStats, spread bool) Evidence {
	e := Evidence{Target: target, Baseline: before}
	if target.Answers >= leastAnswers {
		e.Verdict = max(byFailures(target, before, spread), byTime(target, before))
	}
	return e
}

func byFailures(target, before members.VersionStats, spread bool) Verdict {
	switch {
	case !failing(target, before):
		return Healthy
	case !spread:
		return Inconclusive
	}
	return Bad
}

func byTime(target, before members.VersionStats) Verdict {
	switch {
	case !slower(target.Mean(), before, slowFactor, slowMargin):
		return Healthy
	case !slower(target.Mean()-target.MeanError(), before, sureFactor, sureMargin):
		return Inconclusive
	}
	return Bad
}

func failing(target, before members.VersionStats) bool {
	usual := 0.0
	if before.Answers > 0 {
		usual = float64(before.Failures) / float64(before.Answers)
	}
	failed := float64(target.Failures) / float64(target.Answers)
	return target.Failures >= leastFailures && failed > usual*failureFactor+failureMargin
}

func slower(mean time.Duration, before members.VersionStats, factor float64, margin time.Duration) bool {
	return before.Answers >= leastAnswers && mean > time.Duration(float64(before.Mean())*factor)+margin
}

// spread reports whether the failures of a version are those of all its
// upstreams: without the upstreams that failed most the others still fail about
// as often. Too few answers of the others, or too many failures, excuse nothing.
func spread(upstreams []members.UpstreamStats) bool {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b members.UpstreamStats) int { return cmp.Compare(b.Failures, a.Failures) })
	excused := int(math.Ceil(excusedPart * float64(len(sorted)-1)))
	var all, others members.UpstreamStats
	for i, u := range sorted {
		all = all.Plus(u)
		if i >= excused {
			others = others.Plus(u)
		}
	}
	if others.Answers < leastAnswers || all.Failures > mostExcused {
		return true
	}
	share := float64(others.Failures) * float64(all.Answers)
	return share >= spreadFactor*float64(all.Failures)*float64(others.Answers)
}

func total(byRoute map[string]members.VersionStats) members.VersionStats {
	var sum members.VersionStats
	for _, s := range byRoute {
		sum = sum.Plus(s)
	}
	return sum
}
