// Package rollout moves a service's traffic to a new version as far as the
// version proves sound. It does no I/O.
package rollout

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// State says how far a rollout is.
type State string

// The states of a rollout.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled back"
)

// How much a version that is not proven gets.
const (
	// canaryShare is its part of the service's requests.
	canaryShare = 0.06
	// firstShare is its part until it got firstRequests, so that evidence comes
	// soon.
	firstShare    = 0.25
	firstRequests = 25
)

// When traffic moves. Upstreams of the version before end without notice once
// the move is done, so what runs there must have ended.
const (
	// streamsNeed and plainNeed are the times for which runs of the version
	// before are waited for.
	streamsNeed = 3 * time.Second
	plainNeed   = 700 * time.Millisecond
	// doneBefore is kept between the end of the move and its deadline: the
	// ledger and then the operator's record are written in it.
	doneBefore = time.Second
	// earliest is the part of the time before which traffic does not move.
	earliest = 0.5
)

// Progress is a rollout as the holder of the duties decides it.
type Progress struct {
	Target string `json:"target"`
	State  State  `json:"state"`
	// Share is the part of the service's requests for the target.
	Share float64 `json:"share"`
	// Acknowledged tells that the operator knows the state.
	Acknowledged bool `json:"told"`
	// StartedAtMillis is the time of day of the first decision, in Unix milliseconds.
	StartedAtMillis int64 `json:"began"`
}

// Run is the progress of one move at its holder.
type Run struct {
	Progress
	since   time.Duration
	movedAt time.Duration
	// before holds what was known of versions when the run began.
	before map[string]members.VersionStats
	// Evidence is what the last step went by.
	Evidence Evidence
}

// New begins a run, given what is known of versions, the boot time and the time
// of day.
func New(target string, stats map[string]members.VersionStats, now time.Duration, wall time.Time) *Run {
	move := Progress{Target: target, State: Running, Share: firstShare, StartedAtMillis: wall.UnixMilli()}
	return &Run{Progress: move, since: now, before: stats}
}

// Resume goes on with the move of another holder. All that is known of the
// target happened in it.
func Resume(m Progress, now time.Duration, wall time.Time) *Run {
	run := &Run{Progress: m, since: now - wall.Sub(time.UnixMilli(m.StartedAtMillis))}
	if m.Share >= 1 {
		run.movedAt = now
	}
	return run
}

// StartedAt returns the boot time at which the move began, at whichever holder.
func (r *Run) StartedAt() time.Duration { return r.since }

// Stats are what all hosts know: of versions by version and route, and of the
// upstreams of the target.
type Stats struct {
	Versions  map[string]members.VersionStats
	Upstreams []members.UpstreamStats
}

// Step decides how to go on.
func (r *Run) Step(order catalog.Rollout, streams bool, answers Stats, now time.Duration) {
	if r.State != Running {
		return
	}
	target, rest := r.sinceBegin(answers.Versions)
	r.Evidence = Compare(target, rest, answers.Upstreams)
	if r.Evidence.Verdict == Bad {
		r.State, r.Share, r.Acknowledged = RolledBack, 0, false
		return
	}
	need := plainNeed
	if streams {
		need = streamsNeed
	}
	elapsed := now - r.since
	moveAt := max(order.Within-need-doneBefore, time.Duration(earliest*float64(order.Within)))
	sum := total(target)
	switch {
	case r.movedAt == 0 && elapsed >= moveAt && sum.Answers >= soundAnswers && r.Evidence.Verdict == Healthy:
		r.Share, r.movedAt = 1, now
	case r.movedAt > 0 && (now-r.movedAt >= need || elapsed >= order.Within-doneBefore):
		r.State, r.Acknowledged = Completed, false
	case r.movedAt == 0 && sum.Answers >= firstRequests:
		r.Share = canaryShare
	}
}

// sinceBegin returns what happened since the run began, by route, for the target
// and for all other versions.
func (r *Run) sinceBegin(stats map[string]members.VersionStats) (target, rest map[string]members.VersionStats) {
	target, rest = map[string]members.VersionStats{}, map[string]members.VersionStats{}
	for key, now := range stats {
		grown := now.Minus(r.before[key])
		if now.Version == r.Target {
			target[now.Route] = target[now.Route].Plus(grown)
		} else {
			rest[now.Route] = rest[now.Route].Plus(grown)
		}
	}
	return target, rest
}
