// Package slowstart limits the concurrent requests to one upstream during its
// cold start. An upstream that is new, was unavailable or whose responses become
// slow starts at its cold limit; the limit then doubles in steps that each require
// successful attempts.
package slowstart

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// stepInterval is the minimum time between two steps up.
	stepInterval = time.Second
	// relapseWindow is the time after the end of a wait at the cold limit up to
	// which another reset doubles the wait.
	relapseWindow = time.Minute
	// maxBackoff is the maximum number of doublings of a wait.
	maxBackoff = 4
	// evidenceHalfLife is the time after which an outcome has half of its weight.
	evidenceHalfLife = 2 * time.Second
	// minSlow and minFailed are the least weights of slow or failed attempts
	// that reset or eject an upstream, if badFactor times their weight is
	// more than the weight of the good ones.
	minSlow   = 1.5
	minFailed = 2.5
	badFactor = 2
	// baseEjection is the first wait before a failing upstream is probed.
	baseEjection = time.Second
	// maxMissedReports is the number of consecutive missing load reports after
	// which an upstream counts as unresponsive.
	maxMissedReports = 2
	// cacheShrinkFactor is the factor between two reports of the cache size that
	// indicates a restart. Caches below minCacheTokens are not considered.
	cacheShrinkFactor = 4
	minCacheTokens    = 64
)

// Params describes how many requests an upstream can handle.
type Params struct {
	// Cold and Warm are the numbers of concurrent requests that it can handle
	// in cold start and after it.
	Cold, Warm int
	// ColdStart is the usual duration of its cold start.
	ColdStart time.Duration
}

// Outcomes counts finished attempts.
type Outcomes struct {
	Good, Slow, Failed int
}

// Ramp holds the limit of one upstream and the recent outcomes that determine it.
type Ramp struct {
	params Params
	level  int
	// successes counts, since the last step or reset, good attempts and load reports
	// that show the upstream near its limit without a queue.
	successes int
	// nextStep is the earliest time of the next step.
	nextStep time.Time
	// good, slow and failed are the weights of recent attempts at decayedAt.
	good, slow, failed float64
	decayedAt          time.Time
	// wasReset is set after the first reset or ejection, coldUntil is the end of
	// the last wait at the cold limit, and backoff the number of doublings of
	// that wait.
	wasReset  bool
	coldUntil time.Time
	backoff   int
	// ejectedUntil is the time until which a failing upstream gets no requests;
	// probing is set while it may then get one request at a time.
	ejectedUntil time.Time
	probing      bool
	// missedReports counts the consecutive load reports that are missing.
	missedReports int
	hasReport     bool
	lastReport    engine.Load
}

// New returns the ramp of an upstream that was first seen at now. The level is the
// recent one at another coordinator, or 0; above the cold limit it is adopted, up
// to the warm limit.
func New(now time.Time, params Params, level int) *Ramp {
	params.Cold = max(1, params.Cold)
	params.Warm = max(params.Cold, params.Warm)
	r := &Ramp{params: params, level: params.Cold, nextStep: now.Add(params.ColdStart), decayedAt: now}
	if level > params.Cold {
		r.level = min(level, params.Warm)
		r.nextStep = now.Add(stepInterval)
	}
	return r
}

// Level returns the number of concurrent requests that the upstream can handle:
// none while it is ejected or its load reports are missing, one while it is probed.
func (r *Ramp) Level(now time.Time) int {
	switch {
	case r.missedReports >= maxMissedReports || now.Before(r.ejectedUntil):
		return 0
	case r.probing:
		return 1
	default:
		return r.level
	}
}

// Cold reports whether the upstream is in cold start: its level is at most the
// cold limit, which is below the warm one.
func (r *Ramp) Cold(now time.Time) bool {
	return r.Level(now) <= r.params.Cold && r.params.Cold < r.params.Warm
}

// Observe records the outcomes of attempts by all hosts that send to the upstream.
func (r *Ramp) Observe(now time.Time, o Outcomes) {
	r.decay(now)
	r.good += float64(o.Good)
	r.slow += float64(o.Slow)
	r.failed += float64(o.Failed)
	switch {
	case r.probing && o.Failed > 0, r.failed >= minFailed && badFactor*r.failed > r.good:
		r.eject(now)
	case r.probing && o.Good > 0:
		r.probing = false
		r.restart(now)
	case r.slow >= minSlow && badFactor*r.slow > r.good && r.level > r.params.Cold:
		r.Reset(now)
	default:
		r.successes += o.Good
		r.step(now)
	}
}

func (r *Ramp) decay(now time.Time) {
	for now.Sub(r.decayedAt) >= evidenceHalfLife {
		r.good, r.slow, r.failed = r.good/2, r.slow/2, r.failed/2
		r.decayedAt = r.decayedAt.Add(evidenceHalfLife)
		if r.good+r.slow+r.failed < 0.01 {
			r.decayedAt = now
		}
	}
}

// Report records a load report. The ramp is reset if reports were missing, or if
// the version or the cache size shows that the upstream was restarted.
func (r *Ramp) Report(now time.Time, load engine.Load) {
	wasUnresponsive := r.missedReports >= maxMissedReports
	r.missedReports = 0
	previous, hasReport := r.lastReport, r.hasReport
	r.lastReport, r.hasReport = load, true
	switch {
	case wasUnresponsive:
		r.Reset(now)
	case !hasReport:
		r.adoptRunning(load)
	case load.Version != previous.Version:
		r.Reset(now)
	case previous.CacheTokens >= minCacheTokens && load.CacheTokens*cacheShrinkFactor < previous.CacheTokens:
		r.Reset(now)
	case load.AsOf.After(previous.AsOf) && load.Running*4 >= r.level*3 && load.Queued == 0:
		r.successes++
		r.step(now)
	}
}

// adoptRunning raises the level to the number of running requests, if the
// upstream handled more than its level without a queue when first seen.
func (r *Ramp) adoptRunning(load engine.Load) {
	if load.Running > r.level && load.Queued == 0 {
		r.level = min(load.Running, r.params.Warm)
	}
}

// ReportMissed records that a load report is missing.
func (r *Ramp) ReportMissed() { r.missedReports++ }

// Alive reports whether the upstream may be sent requests.
func (r *Ramp) Alive(now time.Time) bool { return r.Level(now) > 0 }

// Resume resets an upstream that comes back into use to its cold limit, from
// which successful attempts raise it without a wait.
func (r *Ramp) Resume(now time.Time) {
	r.level = r.params.Cold
	r.successes = 0
	r.nextStep = now
}

// Reset resets an upstream that became cold to its cold limit for at least the
// duration of a cold start. The wait doubles, up to maxBackoff times, with each
// reset during the previous wait or within relapseWindow after it.
func (r *Ramp) Reset(now time.Time) {
	r.updateBackoff(now)
	r.restart(now)
}

func (r *Ramp) restart(now time.Time) {
	r.level = r.params.Cold
	r.successes = 0
	r.good, r.slow, r.failed = 0, 0, 0
	r.nextStep = now.Add(r.params.ColdStart << r.backoff)
	r.coldUntil = r.nextStep
}

func (r *Ramp) updateBackoff(now time.Time) {
	if r.wasReset && now.Sub(r.coldUntil) < relapseWindow {
		r.backoff = min(r.backoff+1, maxBackoff)
	} else {
		r.backoff = 0
	}
	r.wasReset = true
}

func (r *Ramp) eject(now time.Time) {
	r.updateBackoff(now)
	r.restart(now)
	r.probing = true
	r.ejectedUntil = now.Add(baseEjection << r.backoff)
}

// step doubles the level after enough successes.
func (r *Ramp) step(now time.Time) {
	if r.level >= r.params.Warm || now.Before(r.nextStep) || r.successes < max(2, r.level/4) {
		return
	}
	r.level = min(2*r.level, r.params.Warm)
	r.successes = 0
	r.nextStep = now.Add(stepInterval)
}
