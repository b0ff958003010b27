package duty_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// proof is what duty.ProvenVersion returns.
type proof struct {
	version, epoch int64
	known          bool
}

func (sim *simulation) proof(t *testing.T) proof {
	version, epoch, known, err := duty.ProvenVersion(t.Context(), sim.hosts[0])
	require.NoError(t, err)
	return proof{version, epoch, known}
}

// Guards against a configuration that is taken for proven, since a copy of the log holds it.
func TestCopyProvesNoConfiguration(t *testing.T) {
	sim := newSimulation(2, 1)
	require.Equal(t, proof{}, sim.proof(t), "no ledger")
	for _, h := range sim.hosts {
		h.proven = 7
	}
	sim.run(3 * time.Second)
	require.Equal(t, proof{version: 7, known: true}, sim.proof(t))
	sim.restoreCopy(time.Second)
	require.Equal(t, proof{epoch: 1, known: true}, sim.proof(t), "the copy's ledger")
	for _, h := range sim.hosts {
		h.proven = 6
	}
	sim.run(2 * time.Second)
	require.Equal(t, proof{version: 6, epoch: 1, known: true}, sim.proof(t))
	sim.logDown = true
	_, _, _, err := duty.ProvenVersion(t.Context(), sim.hosts[0])
	require.ErrorIs(t, err, topic.ErrUnavailable)
}
