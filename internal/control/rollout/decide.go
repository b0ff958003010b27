package rollout

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// stepFractions holds the fraction of the goal at each step. The last step leaves
// the old version enough traffic for the comparison.
var stepFractions = [...]float64{0, 0.01, 0.03, 0.1, 0.25, 0.5, 0.75}

const (
	lastStep = len(stepFractions) - 1
	// maxFirstStep is the highest step at which a rollout may start. Services
	// with little traffic start there to gather evidence before the deadline.
	maxFirstStep = 3
	// minStepTrials is the number of attempts that a step should get.
	minStepTrials = 60
	// rateMeasureTime is how long the service's rate is measured before the
	// first step, where the deadline leaves enough time.
	rateMeasureTime = 10 * time.Second
	// minDwell is the minimum time on a step.
	minDwell = 5 * time.Second
	// lastStepReserve is the fraction of the rollout's time that is reserved for
	// the decision at the last step.
	lastStepReserve = 0.05
	// maxLoad is the load of the new version's upstreams, as a fraction of their
	// slots, that the next step must not be expected to exceed.
	maxLoad = 0.9
	// decisionMargin is how long before the deadline an unproved version is
	// rolled back, so that the decision is in the log in time.
	decisionMargin = 2 * time.Second
)

// ReasonNotProved is the reason for the rollback of a version in which no test
// found a regression.
const ReasonNotProved = "not proved by the set time"

// proposal is a change of a status to be appended to the log.
type proposal struct {
	phase  control.RolloutPhase
	to     int
	reason string
}

// decisionInput is what a decision depends on.
type decisionInput struct {
	status Status
	// regression is why the version is bad; empty if no test found a regression.
	regression string
	// proved is set when the evidence proves that the version is good at the
	// current step.
	proved bool
	// rate is the number of the service's attempts per second over the time
	// measuredFor.
	rate        float64
	measuredFor time.Duration
	// available is set when the version has upstreams that may get new requests;
	// load is the mean of the load that they report, as a fraction of their slots.
	available bool
	load      float64
}

// decide returns the next change of a rollout, or nil. It is a pure function of
// its arguments.
func decide(now time.Time, s decisionInput) *proposal {
	status := s.status
	left := status.Target.Deadline.Sub(now)
	switch {
	case status.Phase != control.RolloutInProgress:
		return nil
	case s.regression != "":
		return &proposal{phase: control.RolloutRolledBack, reason: s.regression}
	case status.Target.Goal <= status.StartShare && left > 0:
		return &proposal{phase: control.RolloutDone}
	case status.Step == lastStep && s.proved && left > 0 && now.Sub(status.SteppedAt) >= dwell(status):
		return &proposal{phase: control.RolloutDone}
	case left <= min(decisionMargin, status.Target.Deadline.Sub(status.StartedAt)/10):
		return &proposal{phase: control.RolloutRolledBack, reason: ReasonNotProved}
	case status.Step == 0 && s.available && s.measuredFor >= min(rateMeasureTime, left/10):
		return &proposal{phase: control.RolloutInProgress, to: firstStep(left, s.rate*status.Target.Goal)}
	case status.Step > 0 && status.Step < lastStep && s.available && s.proved && now.Sub(status.SteppedAt) >= dwell(status) && !s.nextStepOverloads():
		return &proposal{phase: control.RolloutInProgress, to: status.Step + 1}
	}
	return nil
}

// nextStepOverloads reports whether the next step would raise the load of the
// new version's upstreams above maxLoad.
func (s decisionInput) nextStepOverloads() bool {
	next := stepFractions[s.status.Step+1] / stepFractions[s.status.Step]
	return s.load > maxLoad/next
}

// dwell returns how long a rollout stays on its step if nothing delays it: an
// equal part of the time that was left when it reached the step.
func dwell(status Status) time.Duration {
	window := status.Target.Deadline.Sub(status.StartedAt)
	end := status.Target.Deadline.Add(-time.Duration(float64(window) * lastStepReserve))
	steps := lastStep - status.Step + 1
	return max(minDwell, end.Sub(status.SteppedAt)/time.Duration(steps))
}

// firstStep returns the lowest step, at most maxFirstStep, that gets
// minStepTrials attempts in its part of the time left.
func firstStep(left time.Duration, rate float64) int {
	for step := 1; step < maxFirstStep; step++ {
		part := left.Seconds() / float64(lastStep-step+1)
		if rate*stepFractions[step]*part >= minStepTrials {
			return step
		}
	}
	return maxFirstStep
}

// finite replaces NaN and infinities by the largest finite number.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return math.MaxFloat64
	}
	return v
}
