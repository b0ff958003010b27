// Package rollout moves a service's traffic to a new version, first a small share and
// all of it once the version has proven healthy, and back if the version is bad. It
// does no I/O. One host, the holder of the duties, decides on rollouts; it keeps their
// progress in the ledger (see package duty).
package rollout

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// State is the state of a rollout.
type State string

// The states of a rollout.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled back"
)

// The target's share of the service's requests until it gets all of them.
const (
	// canaryShare is the share after the first initialResponses responses.
	canaryShare = 0.06
	// initialShare is the share until the target has initialResponses responses,
	// so that there is evidence soon.
	initialShare     = 0.25
	initialResponses = 25
)

// Timing of a rollout. Upstreams of the old version are stopped without notice
// once the rollout is completed, so the requests there must have ended.
const (
	// streamDrainTime and plainDrainTime are how long to wait for requests to the
	// old version, with and without streams.
	streamDrainTime = 3 * time.Second
	plainDrainTime  = 700 * time.Millisecond
	// deadlineMargin is the time between the completion of a rollout and its
	// deadline, for writing first the ledger and then the record for operators.
	deadlineMargin = time.Second
	// earliestFullShare is the fraction of the rollout's time before which the
	// target does not get all traffic.
	earliestFullShare = 0.5
)

// Progress is the state of a rollout as decided by the holder of the duties.
type Progress struct {
	Target string `json:"target"`
	State  State  `json:"state"`
	// Share is the fraction of the service's requests for the target.
	Share float64 `json:"share"`
	// Acknowledged is set when the state is in the record for operators.
	Acknowledged bool `json:"told"`
	// StartedAtMillis is the time of day of the first decision, in Unix
	// milliseconds.
	StartedAtMillis int64 `json:"began"`
}

// WithShare returns the progress with a share that was decided later. Only a rollout that was
// rolled back gives its target no share.
func (p Progress) WithShare(share float64) Progress {
	p.Share = share
	if share == 0 {
		p.State = RolledBack
	}
	return p
}

// Run is a rollout as the holder of the duties decides on it.
type Run struct {
	Progress
	startedAt time.Duration
	// fullShareAt is the boot time from which the target gets all traffic, 0 before.
	fullShareAt time.Duration
	// initialStats holds the counts of all versions at the start of the run; it is
	// empty in a resumed one.
	initialStats map[string]members.VersionStats
	// Evidence is what the last step was based on.
	Evidence Evidence
}

// New starts a run, given the current counts of all versions, the boot time and
// the time of day.
func New(target string, stats map[string]members.VersionStats, now time.Duration, wall time.Time) *Run {
	progress := Progress{Target: target, State: Running, Share: initialShare, StartedAtMillis: wall.UnixMilli()}
	return &Run{Progress: progress, startedAt: now, initialStats: stats}
}

// Resume continues the rollout of another holder. Its counts start at zero: all
// responses of the target belong to the rollout, and earlier responses of the other
// versions show how they usually perform.
func Resume(progress Progress, now time.Duration, wall time.Time) *Run {
	run := &Run{Progress: progress, startedAt: now - wall.Sub(time.UnixMilli(progress.StartedAtMillis))}
	if progress.Share >= 1 {
		run.fullShareAt = now
	}
	return run
}

// StartedAt returns the boot time at which the first holder started the rollout.
func (r *Run) StartedAt() time.Duration { return r.startedAt }

// Stats are the counts of responses, summed over all hosts: by version and route, and
// by upstream of the target.
type Stats struct {
	Versions  map[string]members.VersionStats
	Upstreams []members.UpstreamStats
}

// Step decides on the state and the share of the target. spec is the operator's
// rollout; streams is set when the service has streams, which drain more slowly.
func (r *Run) Step(spec catalog.Rollout, streams bool, stats Stats, now time.Duration) {
	if r.State != Running {
		return
	}
	target, baseline := r.sinceStart(stats.Versions)
	r.Evidence = Compare(target, baseline, stats.Upstreams, r.fullShareAt > 0)
	if r.Evidence.Verdict == Bad {
		r.State, r.Share, r.Acknowledged = RolledBack, 0, false
		return
	}
	drainTime := plainDrainTime
	if streams {
		drainTime = streamDrainTime
	}
	elapsed := now - r.startedAt
	earliestAt := max(spec.Within-drainTime-deadlineMargin, time.Duration(earliestFullShare*float64(spec.Within)))
	sum := total(target)
	switch {
	case r.fullShareAt == 0 && elapsed >= earliestAt && sum.Responses >= minHealthyResponses && r.Evidence.Verdict == Healthy:
		r.Share, r.fullShareAt = 1, now
	case r.fullShareAt > 0 && (now-r.fullShareAt >= drainTime || elapsed >= spec.Within-deadlineMargin):
		r.State, r.Acknowledged = Completed, false
	case r.fullShareAt == 0 && sum.Responses >= initialResponses:
		r.Share = canaryShare
	}
}

// sinceStart returns the counts since the start of the run by route, for the
// target and for all other versions.
func (r *Run) sinceStart(stats map[string]members.VersionStats) (target, baseline map[string]members.VersionStats) {
	target, baseline = map[string]members.VersionStats{}, map[string]members.VersionStats{}
	for key, now := range stats {
		delta := now.Minus(r.initialStats[key])
		if now.Version == r.Target {
			target[now.Route] = target[now.Route].Plus(delta)
		} else {
			baseline[now.Route] = baseline[now.Route].Plus(delta)
		}
	}
	return target, baseline
}
