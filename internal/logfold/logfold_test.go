package logfold_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

// register is a compare-and-set register, like the state of the configuration.
type register struct {
	Value int `json:"value"`
	// At is one past the offset of the last entry applied.
	At int64 `json:"at"`
}

// setEntry sets the register if Base equals its At.
type setEntry struct {
	Base  int64 `json:"base"`
	Value int   `json:"value"`
}

func apply(r *register, rec logsvc.Record, entry json.RawMessage) {
	var s setEntry
	if json.Unmarshal(entry, &s) != nil || s.Base != r.At {
		return
	}
	*r = register{Value: s.Value, At: rec.Offset + 1}
}

// TestLateReaderAgrees checks that a reader that starts after early records
// expired reaches the same state as one that read them all, also with stale
// checkpoints and conflicting entries.
func TestLateReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []logsvc.Record
		add := func(data []byte) {
			log = append(log, logsvc.Record{Offset: int64(len(log)), Time: time.Unix(int64(len(log)), 0), Data: data})
		}
		early := logfold.New(apply)
		lagging := logfold.New(apply)
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				data, err := lagging.Checkpoint()
				require.NoError(t, err)
				add(data)
			case 1:
				for _, rec := range log {
					lagging.ApplyRecord(rec)
				}
			default:
				base := rapid.SampledFrom([]int64{early.State().At, lagging.State().At, 7}).Draw(t, "base")
				data, err := logfold.EncodeEntry(setEntry{Base: base, Value: len(log)})
				require.NoError(t, err)
				add(data)
			}
			for _, rec := range log {
				early.ApplyRecord(rec)
			}
		}
		oldest := rapid.IntRange(0, len(log)).Draw(t, "oldest")
		late := logfold.New(apply)
		late.Truncate(int64(oldest))
		for _, rec := range log[oldest:] {
			late.ApplyRecord(rec)
		}
		if late.Complete() {
			require.Equal(t, *early.State(), *late.State())
		}
	})
}

// TestCheckpointCompletesState checks that a reader that missed the start of the
// stream loads the state from a checkpoint.
func TestCheckpointCompletesState(t *testing.T) {
	early := logfold.New(apply)
	data, err := logfold.EncodeEntry(setEntry{Base: 0, Value: 42})
	require.NoError(t, err)
	early.ApplyRecord(logsvc.Record{Offset: 0, Data: data})
	checkpoint, err := early.Checkpoint()
	require.NoError(t, err)

	late := logfold.New(apply)
	late.Truncate(1)
	require.False(t, late.Complete())
	late.ApplyRecord(logsvc.Record{Offset: 1, Data: checkpoint})
	require.True(t, late.Complete())
	require.Equal(t, register{Value: 42, At: 1}, *late.State())
}
