// Package rollout moves a service's traffic to a new version as far as the
// version proves healthy. It does no I/O.
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

// The target's share of the service's requests until the version has proven
// healthy.
const (
	// canaryShare is the share after the first requests.
	canaryShare = 0.06
	// initialShare is the share until the target has initialRequests responses, so
	// that there is evidence soon.
	initialShare    = 0.25
	initialRequests = 25
)

// Timing of the move. Upstreams of the old version are stopped without notice
// once the move is completed, so the requests there must have ended.
const (
	// streamDrainTime and plainDrainTime are how long to wait for requests to the
	// old version, with and without streams.
	streamDrainTime = 3 * time.Second
	plainDrainTime  = 700 * time.Millisecond
	// deadlineMargin is the time between the end of the move and its deadline,
	// for writing first the ledger and then the operator's record.
	deadlineMargin = time.Second
	// earliestMove is the fraction of the rollout's time before which traffic
	// does not move.
	earliestMove = 0.5
)

// Progress is the state of a rollout as decided by the holder of the duties.
type Progress struct {
	Target string `json:"target"`
	State  State  `json:"state"`
	// Share is the fraction of the service's requests for the target.
	Share float64 `json:"share"`
	// Acknowledged is set when the state is in the operator's record.
	Acknowledged bool `json:"told"`
	// StartedAtMillis is the time of day of the first decision, in Unix
	// milliseconds.
	StartedAtMillis int64 `json:"began"`
}

// Run is a rollout in progress at the holder of the duties.
type Run struct {
	Progress
	startedAt time.Duration
	movedAt   time.Duration
	// baseline holds the counts of all versions at the start of the run.
	baseline map[string]members.VersionStats
	// Evidence is what the last step was based on.
	Evidence Evidence
}

// New starts a run, given the current counts of all versions, the boot time and
// the time of day.
func New(target string, stats map[string]members.VersionStats, now time.Duration, wall time.Time) *Run {
	move := Progress{Target: target, State: Running, Share: initialShare, StartedAtMillis: wall.UnixMilli()}
	return &Run{Progress: move, startedAt: now, baseline: stats}
}

// Resume continues the rollout of another holder. The baseline is empty, since
// all requests to the target belong to the rollout.
func Resume(m Progress, now time.Duration, wall time.Time) *Run {
	run := &Run{Progress: m, startedAt: now - wall.Sub(time.UnixMilli(m.StartedAtMillis))}
	if m.Share >= 1 {
		run.movedAt = now
	}
	return run
}

// StartedAt returns the boot time at which the first holder started the rollout.
func (r *Run) StartedAt() time.Duration { return r.startedAt }

// Stats are the counts of all hosts: by version and route, and by upstream of the
// target.
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
	r.Evidence = Compare(target, baseline, stats.Upstreams)
	if r.Evidence.Verdict == Bad {
		r.State, r.Share, r.Acknowledged = RolledBack, 0, false
		return
	}
	drainTime := plainDrainTime
	if streams {
		drainTime = streamDrainTime
	}
	elapsed := now - r.startedAt
	earliestAt := max(spec.Within-drainTime-deadlineMargin, time.Duration(earliestMove*float64(spec.Within)))
	sum := total(target)
	switch {
	case r.movedAt == 0 && elapsed >= earliestAt && sum.Responses >= minHealthyResponses && r.Evidence.Verdict == Healthy:
		r.Share, r.movedAt = 1, now
	case r.movedAt > 0 && (now-r.movedAt >= drainTime || elapsed >= spec.Within-deadlineMargin):
		r.State, r.Acknowledged = Completed, false
	case r.movedAt == 0 && sum.Responses >= initialRequests:
		r.Share = canaryShare
	}
}

// sinceStart returns the counts since the start of the run by route, for the
// target and for all other versions.
func (r *Run) sinceStart(stats map[string]members.VersionStats) (target, baseline map[string]members.VersionStats) {
	target, baseline = map[string]members.VersionStats{}, map[string]members.VersionStats{}
	for key, now := range stats {
		delta := now.Minus(r.baseline[key])
		if now.Version == r.Target {
			target[now.Route] = target[now.Route].Plus(delta)
		} else {
			baseline[now.Route] = baseline[now.Route].Plus(delta)
		}
	}
	return target, baseline
}
