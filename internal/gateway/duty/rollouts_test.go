package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
)

// orderRollout orders a rollout to v2, which fails if bad is set.
func (sim *simulation) orderRollout(bad bool) {
	sim.rollouts = map[string]catalog.Rollout{"chat": {Service: "chat", Target: "v2", Within: time.Minute}}
	sim.badTarget = bad
}

// VersionStats returns counts of a host that grow with the time.
func (h *host) VersionStats(services map[string]catalog.Rollout) []members.VersionStats {
	if len(services) == 0 {
		return nil
	}
	responses := uint64(h.sim.now / (10 * time.Millisecond))
	target := members.VersionStats{Service: "chat", Version: "v2", Route: "r", Responses: responses}
	if h.sim.badTarget {
		target.Failures = responses
	}
	return []members.VersionStats{{Service: "chat", Version: "v1", Route: "r", Responses: responses}, target}
}

// TargetStats returns no counts.
func (h *host) TargetStats(*catalog.View) []members.UpstreamStats { return nil }

// PutRollout implements duty.RolloutReporter.
func (h *host) PutRollout(_ context.Context, _ string, progress rollout.Progress) error {
	h.sim.reported = append(h.sim.reported, progress.State)
	return nil
}

// share returns the share that a host has decided for the target.
func (h *host) share() float64 {
	for _, share := range h.driver.VersionShares() {
		return share.Share
	}
	return 0
}

// newRolledBackSimulation returns a simulation in which a version was just rolled back, and the
// holder that did so.
func newRolledBackSimulation(t *testing.T) (*simulation, *host) {
	sim := newSimulation(3, 1)
	sim.run(3 * time.Second)
	sim.orderRollout(false)
	sim.run(2 * time.Second)
	holder := sim.holder()
	require.Positive(t, holder.share())
	sim.badTarget = true
	sim.run(500 * time.Millisecond)
	require.Zero(t, holder.share())
	return sim, holder
}

// Guards against a second start of a version that was rolled back, since the copy shows its
// rollout as running, or lacks it, and the holder that rolled it back is gone.
func TestVersionThatWasRolledBackGetsNoSecondStartBehindADrill(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 20 * time.Second} {
		sim, holder := newRolledBackSimulation(t)
		holder.alive = false
		sim.badTarget = false
		sim.restoreCopy(age)
		for sim.now < 20*time.Second {
			sim.run(stepLength)
			for _, h := range sim.hosts {
				require.Zero(t, h.share(), "%s at %v", h.name, sim.now)
			}
		}
		require.NotNil(t, sim.holder())
		require.Equal(t, rollout.RolledBack, sim.reported[len(sim.reported)-1])
	}
}

// Guards against a second start of a version that was rolled back, since the host that claims the
// duties behind a copy has started after it, and those that remember it can't write the log.
func TestVersionThatWasRolledBackStaysSoForAClaimantWithoutMemory(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 20 * time.Second} {
		sim, holder := newRolledBackSimulation(t)
		sim.badTarget = false
		sim.restoreCopy(age)
		claimant := -1
		for i, h := range sim.hosts {
			h.logUnreachable = true
			if h != holder && claimant < 0 {
				claimant = i
			}
		}
		holder.alive = false
		sim.start(claimant)
		for sim.now < 20*time.Second {
			sim.run(stepLength)
			require.Zero(t, sim.hosts[claimant].share(), "at %v", sim.now)
		}
		require.Same(t, sim.hosts[claimant], sim.holder())
	}
}

// Guards against a status of a rollout that operators never get, since the copy lacks it.
func TestStatusOfARolloutIsReportedAgainBehindADrill(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.run(3 * time.Second)
	sim.orderRollout(true)
	sim.run(2 * time.Second)
	reports := len(sim.reported)
	require.Equal(t, rollout.RolledBack, sim.reported[reports-1])
	sim.restoreCopy(2 * time.Second)
	sim.run(2 * time.Second)
	require.Len(t, sim.reported, reports+1)
	require.Equal(t, rollout.RolledBack, sim.reported[reports])
}
