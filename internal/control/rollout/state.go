package rollout

import (
	"encoding/json"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Ref names a version of a service.
type Ref struct {
	Service, Version string
}

// Target is what a configuration requires of a version. A version whose goal or
// deadline changes gets a new rollout.
type Target struct {
	// Goal is the share of new requests, 0 to 1, at the end of the rollout.
	Goal float64 `json:"goal"`
	// Deadline is the wall-clock time by which the rollout must be done.
	Deadline time.Time `json:"by"`
}

// Same reports whether two targets are equal.
func (t Target) Same(other Target) bool {
	return t.Goal == other.Goal && t.Deadline.Equal(other.Deadline)
}

// Status is the progress of a rollout.
type Status struct {
	Target Target `json:"move"`
	// ConfigOffset is the log offset of the configuration in which the host that
	// started the rollout found the target.
	ConfigOffset int64                `json:"config"`
	Phase        control.RolloutPhase `json:"phase"`
	// Step is an index into stepFractions; at 0 the rollout adds no requests yet.
	Step   int    `json:"step"`
	Reason string `json:"reason,omitempty"`
	// StartShare is the share, reached by an earlier rollout of the version, from
	// which this one starts.
	StartShare float64 `json:"proved,omitempty"`
	// StartedAt and SteppedAt are the log times of the rollout's first entry and
	// of the entry that set Step.
	StartedAt time.Time `json:"began,omitzero"`
	SteppedAt time.Time `json:"stepped,omitzero"`
}

// share returns the share of new requests that the status allows.
func (s Status) share() float64 {
	switch s.Phase {
	case control.RolloutDone:
		return s.Target.Goal
	case control.RolloutRolledBack:
		return 0
	}
	floor := min(s.StartShare, s.Target.Goal)
	return floor + (s.Target.Goal-floor)*stepFractions[s.Step]
}

// next returns the largest share that the rollout may get at its next step.
func (s Status) next() float64 {
	if s.Phase != control.RolloutInProgress {
		return s.share()
	}
	if s.Step == lastStep {
		return s.Target.Goal
	}
	s.Step = max(maxFirstStep, s.Step+1)
	return s.share()
}

// nextStartShare returns the share from which the next rollout of the version
// starts.
func (s Status) nextStartShare() float64 {
	switch s.Phase {
	case control.RolloutDone:
		return s.Target.Goal
	case control.RolloutRolledBack:
		return 0
	}
	return s.StartShare
}

// Entry is the log entry of one decision. It takes effect if the rollout is in
// progress and, unless the entry rolls the version back, is at the step From and
// not past the rollout's deadline; a step must go up. The order in the log
// decides between concurrent proposals.
type Entry struct {
	Service      string               `json:"service"`
	Version      string               `json:"version"`
	Target       Target               `json:"move"`
	ConfigOffset int64                `json:"config"`
	Phase        control.RolloutPhase `json:"phase"`
	From         int                  `json:"from"`
	To           int                  `json:"to"`
	Reason       string               `json:"reason,omitempty"`
}

// State is built from the entries of the stream: the status of the newest
// rollout of each version, by service and version.
type State struct {
	Rollouts map[string]map[string]Status `json:"moves"`
}

// Status returns the status of a version's rollout to a target, also of one
// that has not started.
func (s *State) Status(ref Ref, target Target, configOffset int64) Status {
	known, found := s.Rollouts[ref.Service][ref.Version]
	if found && known.Target.Same(target) {
		return known
	}
	return Status{Target: target, ConfigOffset: configOffset, Phase: control.RolloutInProgress, StartShare: known.nextStartShare()}
}

// Apply applies an Entry to the state. Entries that are malformed, have another
// target without a newer configuration, or do not take effect (see Entry) are
// ignored.
func Apply(state *State, rec logsvc.Record, data json.RawMessage) {
	var e Entry
	if json.Unmarshal(data, &e) != nil || e.To < 0 || e.To >= len(stepFractions) {
		return
	}
	ref := Ref{Service: e.Service, Version: e.Version}
	known, found := state.Rollouts[e.Service][e.Version]
	if found && !known.Target.Same(e.Target) && e.ConfigOffset <= known.ConfigOffset {
		return
	}
	status := state.Status(ref, e.Target, e.ConfigOffset)
	if status.Phase != control.RolloutInProgress || !e.takesEffect(status, rec.Time) {
		return
	}
	if status.StartedAt.IsZero() {
		status.StartedAt = rec.Time
	}
	status.Phase = e.Phase
	status.Reason = e.Reason
	if e.Phase == control.RolloutInProgress {
		status.Step = e.To
		status.SteppedAt = rec.Time
	}
	state.set(ref, status)
}

// takesEffect reports whether the entry, logged at the given time, takes effect on
// a status in progress.
func (e *Entry) takesEffect(status Status, at time.Time) bool {
	if e.Phase == control.RolloutRolledBack {
		return true
	}
	if e.From != status.Step || at.After(e.Target.Deadline) {
		return false
	}
	return e.Phase == control.RolloutDone || e.Phase == control.RolloutInProgress && e.To > e.From
}

func (s *State) set(ref Ref, status Status) {
	if s.Rollouts == nil {
		s.Rollouts = map[string]map[string]Status{}
	}
	if s.Rollouts[ref.Service] == nil {
		s.Rollouts[ref.Service] = map[string]Status{}
	}
	s.Rollouts[ref.Service][ref.Version] = status
}
