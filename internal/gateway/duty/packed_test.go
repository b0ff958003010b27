package duty

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxRecordBytes is the largest record that the log accepts.
const maxRecordBytes = 256 << 10

// Scenario: 195 hosts start again at once, twice within the open windows, and serve
// nineteen customers.
func TestLedgerOfALargeFleetFitsInARecord(t *testing.T) {
	l := Ledger{Holder: "h", Token: 7, NextWindow: 355774610, OpenCounts: map[int64]map[uint64]Counts{}}
	for window := range int64(4) {
		l.OpenCounts[355774610+window] = map[uint64]Counts{}
		for process := range uint64(3 * 195) {
			counts := Counts{}
			for customer := range 19 {
				counts[fmt.Sprint("customer-", customer)] = int64(customer * 7)
			}
			l.OpenCounts[355774610+window][1<<51+process] = counts
		}
	}
	data, err := l.Encode()
	require.NoError(t, err)
	require.Less(t, len(data), maxRecordBytes)
	require.Empty(t, l.Packed, "the ledger itself is not changed")
	got, err := ParseLedger(data)
	require.NoError(t, err)
	require.Equal(t, l, got)
}

func TestSmallLedgerIsNotPacked(t *testing.T) {
	l := Ledger{OpenCounts: map[int64]map[uint64]Counts{3: {1: {"c": 2}}}}
	data, err := l.Encode()
	require.NoError(t, err)
	require.Contains(t, string(data), `"open":{"3":{"1":{"c":2}}}`)
}

func TestOddPackedCountsAreRejected(t *testing.T) {
	for _, p := range []packedProcess{{Counts: []int64{1, 5}}, {Counts: []int64{-1, 5}}, {Counts: []int64{0}}} {
		data, err := packCounts(nil)
		require.NoError(t, err)
		_, err = unpackCounts(data)
		require.NoError(t, err)
		data, err = marshalPacked(packedCounts{Customers: []string{"c"}, Processes: []packedProcess{p}})
		require.NoError(t, err)
		_, err = unpackCounts(data)
		require.ErrorIs(t, err, ErrLedger)
	}
	_, err := unpackCounts([]byte{0xdd, 0xff})
	require.ErrorIs(t, err, ErrLedger)
}
