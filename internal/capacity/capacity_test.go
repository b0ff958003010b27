package capacity_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/capacity"
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
)

// The budgets of control on one host in bytes a second and bytes of memory, and
// the time in seconds within which a configuration must be in effect on every host.
const (
	budgetBytes = 6e3
	budgetHeap  = 128e6
	budgetApply = 17.0
)

// TestControlStaysInBudget checks the counted costs of a small deployment. It
// does not check processor time, which the capacity command measures.
func TestControlStaysInBudget(t *testing.T) {
	sample, err := capacity.Measure(capacity.Scaled(60), 1)
	require.NoError(t, err)
	require.Less(t, sample.Mean.Bytes, budgetBytes)
	require.Less(t, sample.Max.Bytes, budgetBytes)
	require.Less(t, sample.Heap, budgetHeap)
	require.LessOrEqual(t, sample.TimeToApply.Seconds(), budgetApply)
}

func TestFitOfALine(t *testing.T) {
	var samples []capacity.Sample
	for _, hosts := range []int{9, 30, 90} {
		samples = append(samples, capacity.Sample{Size: capacity.Size{Hosts: hosts}, Heap: 5 + 2*float64(hosts)})
	}
	line := capacity.Fit(samples, func(s capacity.Sample) float64 { return s.Heap })
	require.InDelta(t, 5, line.Base, 1e-9)
	require.InDelta(t, 2, line.Slope, 1e-9)
	require.InDelta(t, 1425, line.At(710), 1e-6)
}
