package rollout

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// ladder holds the shares of the goal at each step. The last leaves the old
// version enough traffic to be compared with.
var ladder = [...]float64{0, 0.01, 0.03, 0.1, 0.25, 0.5, 0.75}

const (
	lastStep = len(ladder) - 1
	// maxFirstStep is the highest step at which a move may begin; quiet
	// services begin there to gather evidence in time.
	maxFirstStep = 3
	// wantTrials is the number of attempts that a step should see.
	wantTrials = 60
	// measureTime is how long the service's rate is measured before the first
	// step.
	measureTime = 10 * time.Second
	// minDwell is the least time on a step.
	minDwell = 5 * time.Second
	// lastWindow is the share of the time from begin to end that is kept for
	// the decision at the last step.
	lastWindow = 0.05
	// maxLoad is the load of the new version's upstreams above which the
	// share does not rise.
	maxLoad = 0.9
	// decisionMargin is how long before the set time a move that is not
	// proved is taken back, so that the decision is in the log in time.
	decisionMargin = 2 * time.Second
)

// ReasonNotProved is why a version is taken back that no test showed to be bad.
const ReasonNotProved = "not proved by the set time"

// proposal is a change of a status to be put into the log.
type proposal struct {
	phase  control.RolloutPhase
	to     int
	reason string
}

// situation is what a decision depends on.
type situation struct {
	status Status
	// shown is why the version is bad, empty if nothing shows it.
	shown string
	// proved tells that the step's evidence is complete.
	proved bool
	// rate is the number of the service's attempts a second, measured over a
	// time.
	rate     float64
	measured time.Duration
	// open tells that the version has upstreams that may get work; load is
	// the share of their slots in use.
	open bool
	load float64
}

// decide returns the next change of a move, or nil. It looks at nothing but
// its arguments.
func decide(now time.Time, s situation) *proposal {
	status := s.status
	left := status.Move.By.Sub(now)
	switch {
	case status.Phase != control.RolloutInProgress:
		return nil
	case s.shown != "":
		return &proposal{phase: control.RolloutRolledBack, reason: s.shown}
	case status.Move.Goal <= status.Proved && left > 0:
		return &proposal{phase: control.RolloutDone}
	case status.Step == lastStep && s.proved && left > 0 && now.Sub(status.Stepped) >= dwell(status):
		return &proposal{phase: control.RolloutDone}
	case left <= min(decisionMargin, status.Move.By.Sub(status.Began)/10):
		return &proposal{phase: control.RolloutRolledBack, reason: ReasonNotProved}
	case status.Step == 0 && s.open && s.measured >= min(measureTime, left/10):
		return &proposal{phase: control.RolloutInProgress, to: firstStep(left, s.rate*status.Move.Goal)}
	case status.Step > 0 && status.Step < lastStep && s.open && s.proved && now.Sub(status.Stepped) >= dwell(status) && !s.crowded():
		return &proposal{phase: control.RolloutInProgress, to: status.Step + 1}
	}
	return nil
}

// crowded reports whether the next step would overload the new version's
// upstreams.
func (s situation) crowded() bool {
	next := ladder[s.status.Step+1] / ladder[s.status.Step]
	return s.load > maxLoad/next
}

// dwell returns how long a move stays on its step when nothing delays it: an
// equal part of the time that was left when it came there.
func dwell(status Status) time.Duration {
	window := status.Move.By.Sub(status.Began)
	end := status.Move.By.Add(-time.Duration(float64(window) * lastWindow))
	steps := lastStep - status.Step + 1
	return max(minDwell, end.Sub(status.Stepped)/time.Duration(steps))
}

// firstStep returns the lowest step that sees enough attempts in its part of
// the time that is left.
func firstStep(left time.Duration, rate float64) int {
	for step := 1; step < maxFirstStep; step++ {
		part := left.Seconds() / float64(lastStep-step+1)
		if rate*ladder[step]*part >= wantTrials {
			return step
		}
	}
	return maxFirstStep
}

// finite keeps a number out of NaN and infinity.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return math.MaxFloat64
	}
	return v
}
