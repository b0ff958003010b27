package duty_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
)

// The ledger is far behind the time of day: a former holder's clock was wrong, or all
// hosts were down for long.
func TestLedgerThatIsFarBehindIsFinalizedAtOnce(t *testing.T) {
	const window = 1_000_000
	ledger := duty.Ledger{NextWindow: 1, OpenCounts: map[int64]map[uint64]duty.Counts{
		1: {7: {"acme": 2}}, window - 1: {7: {"acme": 3}},
	}}
	var finalized duty.Ledger
	allocations := testing.AllocsPerRun(1, func() { finalized = ledger.FinalizeReports(window) })
	require.Less(t, allocations, 1000.0)
	require.EqualValues(t, window, finalized.NextWindow)
	require.Equal(t, duty.Counts{"acme": 3}, finalized.Reports[window-1])
	require.Empty(t, finalized.OpenCounts)
}

// The ledger is ahead of the time of day, or at the end of all windows.
func TestLedgerThatIsAheadIsNotTakenBack(t *testing.T) {
	for _, next := range []int64{5, math.MaxInt64} {
		ledger := duty.Ledger{NextWindow: next, Reports: map[int64]duty.Counts{next - 1: {"acme": 3}}}
		finalized := ledger.FinalizeReports(4)
		require.Equal(t, next, finalized.NextWindow)
		require.Equal(t, ledger.Reports, finalized.Reports)
	}
}
