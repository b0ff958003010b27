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

// Move is what a configuration wants of a version. A version whose goal or
// time changes gets a new move.
type Move struct {
	// Goal is the share of new requests that the version is to have.
	Goal float64 `json:"goal"`
	// By is when the move ends.
	By time.Time `json:"by"`
}

// Same reports whether two moves are the same.
func (m Move) Same(other Move) bool {
	return m.Goal == other.Goal && m.By.Equal(other.By)
}

// Status is how far a move is.
type Status struct {
	Move Move `json:"move"`
	// Config is the offset of the configuration in which the host that began
	// the move found it.
	Config int64                `json:"config"`
	Phase  control.RolloutPhase `json:"phase"`
	// Step is the position on the ladder of shares; 0 is before the first.
	Step   int    `json:"step"`
	Reason string `json:"reason,omitempty"`
	// Proved is the share that an earlier move of the version has proved.
	Proved float64 `json:"proved,omitempty"`
	// Began and Stepped are when the move began and came to its step.
	Began   time.Time `json:"began,omitzero"`
	Stepped time.Time `json:"stepped,omitzero"`
}

// share returns the share of new requests that the status allows.
func (s Status) share() float64 {
	switch s.Phase {
	case control.RolloutDone:
		return s.Move.Goal
	case control.RolloutRolledBack:
		return 0
	}
	floor := min(s.Proved, s.Move.Goal)
	return floor + (s.Move.Goal-floor)*ladder[s.Step]
}

// next returns the largest share that the move may get at its next step.
func (s Status) next() float64 {
	if s.Phase != control.RolloutInProgress {
		return s.share()
	}
	if s.Step == lastStep {
		return s.Move.Goal
	}
	s.Step = max(maxFirstStep, s.Step+1)
	return s.share()
}

// proved returns the share that the next move of the version starts from.
func (s Status) proved() float64 {
	switch s.Phase {
	case control.RolloutDone:
		return s.Move.Goal
	case control.RolloutRolledBack:
		return 0
	}
	return s.Proved
}

// Entry is the log entry of one decision. It takes effect if the move is
// undecided and, unless it takes the version back, is at the step From before
// the move's time has passed: racing proposals are settled by their order.
type Entry struct {
	Service string               `json:"service"`
	Version string               `json:"version"`
	Move    Move                 `json:"move"`
	Config  int64                `json:"config"`
	Phase   control.RolloutPhase `json:"phase"`
	From    int                  `json:"from"`
	To      int                  `json:"to"`
	Reason  string               `json:"reason,omitempty"`
}

// State is the fold of the stream: the newest move of each version, by
// service and version.
type State struct {
	Moves map[string]map[string]Status `json:"moves"`
}

// Status returns the status of a version's move, also of one that has not
// begun.
func (s *State) Status(ref Ref, move Move, config int64) Status {
	known, found := s.Moves[ref.Service][ref.Version]
	if found && known.Move.Same(move) {
		return known
	}
	return Status{Move: move, Config: config, Phase: control.RolloutInProgress, Proved: known.proved()}
}

// Apply folds an Entry.
func Apply(state *State, rec logsvc.Record, data json.RawMessage) {
	var e Entry
	if json.Unmarshal(data, &e) != nil || e.To < 0 || e.To >= len(ladder) {
		return
	}
	ref := Ref{Service: e.Service, Version: e.Version}
	known, found := state.Moves[e.Service][e.Version]
	if found && !known.Move.Same(e.Move) && e.Config <= known.Config {
		return
	}
	status := state.Status(ref, e.Move, e.Config)
	if status.Phase != control.RolloutInProgress || !e.advances(status, rec.Time) {
		return
	}
	if status.Began.IsZero() {
		status.Began = rec.Time
	}
	status.Phase = e.Phase
	status.Reason = e.Reason
	if e.Phase == control.RolloutInProgress {
		status.Step = e.To
		status.Stepped = rec.Time
	}
	state.set(ref, status)
}

// advances reports whether the entry may change a status at a time.
func (e *Entry) advances(status Status, at time.Time) bool {
	if e.Phase == control.RolloutRolledBack {
		return true
	}
	if e.From != status.Step || at.After(e.Move.By) {
		return false
	}
	return e.Phase == control.RolloutDone || e.Phase == control.RolloutInProgress && e.To > e.From
}

func (s *State) set(ref Ref, status Status) {
	if s.Moves == nil {
		s.Moves = map[string]map[string]Status{}
	}
	if s.Moves[ref.Service] == nil {
		s.Moves[ref.Service] = map[string]Status{}
	}
	s.Moves[ref.Service][ref.Version] = status
}
