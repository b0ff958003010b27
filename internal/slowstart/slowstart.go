// Package slowstart follows how much one upstream bears. An upstream that is
// new, that was away or whose answers turn slow counts as cold: it gets its
// cold limit, and more in steps that each need good answers.
package slowstart

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// stepTime is the shortest time between two steps up.
	stepTime = time.Second
	// relapseTime is the time after a wait at the cold limit within which
	// another step back doubles the wait.
	relapseTime = time.Minute
	// maxStrikes bounds the doublings.
	maxStrikes = 4
	// evidenceHalfLife is the time after which evidence has lost half of its weight.
	evidenceHalfLife = 2 * time.Second
	// leastSlow and leastFailed are the weights of slow or failed attempts
	// that count when badFactor times them outweighs the good ones.
	leastSlow   = 1.5
	leastFailed = 2.5
	badFactor   = 2
	// ejection is the first wait before an upstream that fails is probed.
	ejection = time.Second
	// lostReports is the number of load reports in a row whose absence makes an
	// upstream count as dead.
	lostReports = 2
	// cacheCollapse is the factor by which a cache shrinks at a restart, and
	// leastCache the size, in tokens, from which on a cache is watched.
	cacheCollapse = 4
	leastCache    = 64
)

// Params say what the upstream bears.
type Params struct {
	// Cold and Warm are the requests that it bears at once.
	Cold, Warm int
	// ColdStart is the time that it usually takes to become warm.
	ColdStart time.Duration
}

// Outcomes counts attempts that ended.
type Outcomes struct {
	Good, Slow, Failed int
}

// Ramp is what is believed of one upstream.
type Ramp struct {
	traits Params
	level  int
	// proven counts good answers since the last step.
	proven int
	// hold is the earliest time of the next step up.
	hold time.Time
	// good, slow and failed are recent evidence with its weight at decayed.
	good, slow, failed float64
	decayed            time.Time
	// strikes counts the steps back that followed closely on another; struck
	// tells that there was one, and free is the end of the wait after it.
	struck  bool
	free    time.Time
	strikes int
	// ejected is the time until which a failing upstream gets nothing; probing
	// tells that it then gets one request.
	ejected time.Time
	probing bool
	// lost counts the reports in a row that did not come.
	lost     int
	reported bool
	report   engine.Load
}

// New returns the ramp of an upstream that was first seen at a time. A level
// above 0 is what another coordinator believed of it lately.
func New(now time.Time, traits Params, level int) *Ramp {
	traits.Cold = max(1, traits.Cold)
	traits.Warm = max(traits.Cold, traits.Warm)
	r := &Ramp{traits: traits, level: traits.Cold, hold: now.Add(traits.ColdStart), decayed: now}
	if level > traits.Cold {
		r.level = min(level, traits.Warm)
		r.hold = now.Add(stepTime)
	}
	return r
}

// Level returns the number of requests that the upstream is believed to bear.
func (r *Ramp) Level(now time.Time) int {
	switch {
	case r.lost >= lostReports || now.Before(r.ejected):
		return 0
	case r.probing:
		return 1
	default:
		return r.level
	}
}

// Cold reports whether the upstream is in cold start.
func (r *Ramp) Cold(now time.Time) bool {
	return r.Level(now) <= r.traits.Cold && r.traits.Cold < r.traits.Warm
}

// Observe takes the ends of attempts, by all hosts that send here.
func (r *Ramp) Observe(now time.Time, e Outcomes) {
	r.decay(now)
	r.good += float64(e.Good)
	r.slow += float64(e.Slow)
	r.failed += float64(e.Failed)
	switch {
	case r.probing && e.Failed > 0, r.failed >= leastFailed && badFactor*r.failed > r.good:
		r.eject(now)
	case r.probing && e.Good > 0:
		r.probing = false
		r.restart(now)
	case r.slow >= leastSlow && badFactor*r.slow > r.good && r.level > r.traits.Cold:
		r.Reset(now)
	default:
		r.proven += e.Good
		r.step(now)
	}
}

func (r *Ramp) decay(now time.Time) {
	for now.Sub(r.decayed) >= evidenceHalfLife {
		r.good, r.slow, r.failed = r.good/2, r.slow/2, r.failed/2
		r.decayed = r.decayed.Add(evidenceHalfLife)
		if r.good+r.slow+r.failed < 0.01 {
			r.decayed = now
		}
	}
}

// Report takes a load report.
func (r *Ramp) Report(now time.Time, load engine.Load) {
	wasLost := r.lost >= lostReports
	r.lost = 0
	previous, reported := r.report, r.reported
	r.report, r.reported = load, true
	switch {
	case wasLost:
		r.Reset(now)
	case !reported:
		r.adopt(load)
	case load.Version != previous.Version:
		r.Reset(now)
	case previous.CacheTokens >= leastCache && load.CacheTokens*cacheCollapse < previous.CacheTokens:
		r.Reset(now)
	case load.AsOf.After(previous.AsOf) && load.Running*4 >= r.level*3 && load.Queued == 0:
		r.proven++
		r.step(now)
	}
}

// adopt believes an upstream that bore more than a cold one when it was first seen.
func (r *Ramp) adopt(load engine.Load) {
	if load.Running > r.level && load.Queued == 0 {
		r.level = min(load.Running, r.traits.Warm)
	}
}

// ReportMissed tells that a load report did not come.
func (r *Ramp) ReportMissed() { r.lost++ }

// Alive reports whether the upstream answers.
func (r *Ramp) Alive(now time.Time) bool { return r.Level(now) > 0 }

// Return begins anew with an upstream that had no work for a while; good
// answers raise its limit without a wait.
func (r *Ramp) Return(now time.Time) {
	r.level = r.traits.Cold
	r.proven = 0
	r.hold = now
}

// Reset begins anew with an upstream that turned cold. Each reset that follows
// closely on another one doubles the wait.
func (r *Ramp) Reset(now time.Time) {
	r.strike(now)
	r.restart(now)
}

func (r *Ramp) restart(now time.Time) {
	r.level = r.traits.Cold
	r.proven = 0
	r.good, r.slow, r.failed = 0, 0, 0
	r.hold = now.Add(r.traits.ColdStart << r.strikes)
	r.free = r.hold
}

func (r *Ramp) strike(now time.Time) {
	if r.struck && now.Sub(r.free) < relapseTime {
		r.strikes = min(r.strikes+1, maxStrikes)
	} else {
		r.strikes = 0
	}
	r.struck = true
}

func (r *Ramp) eject(now time.Time) {
	r.strike(now)
	r.restart(now)
	r.probing = true
	r.ejected = now.Add(ejection << r.strikes)
}

// step doubles the level once it is proven.
func (r *Ramp) step(now time.Time) {
	if r.level >= r.traits.Warm || now.Before(r.hold) || r.proven < max(2, r.level/4) {
		return
	}
	r.level = min(2*r.level, r.traits.Warm)
	r.proven = 0
	r.hold = now.Add(stepTime)
}
