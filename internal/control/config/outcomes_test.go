package config_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

// TestPutOutcomes checks that the outcome of each put is accepted exactly if it
// became active, that the first outcome of an ID is final, and that the offset
// of the active document never falls.
func TestPutOutcomes(t *testing.T) {
	text, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		fold := logfold.New(config.Apply)
		verdicts := map[string]control.PutOutcome{}
		current := int64(config.NoBase)
		for offset := range int64(30) {
			put := config.Put{
				ID:       fmt.Sprintf("put-%d", rapid.IntRange(0, 20).Draw(t, "id")),
				Base:     rapid.Int64Range(max(config.NoBase, current-2), current+1).Draw(t, "base"),
				Document: string(text),
			}
			if rapid.Bool().Draw(t, "invalid") {
				put.Document = "{}"
			}
			data, err := logfold.EncodeEntry(put)
			require.NoError(t, err)
			fold.ApplyRecord(logsvc.Record{Offset: offset, ID: put.ID, Data: data})
			state := fold.State()
			require.GreaterOrEqual(t, state.Offset, int64(0))
			if state.Put.Document != "" {
				require.GreaterOrEqual(t, state.Offset, current)
			}
			for _, outcome := range state.Recent {
				if known, ok := verdicts[outcome.ID]; ok {
					require.Equal(t, known, outcome)
				}
				verdicts[outcome.ID] = outcome
			}
			active := state.Put.Document != "" && state.Offset == offset
			accepted := verdicts[put.ID].Verdict == control.PutAccepted && verdicts[put.ID].Offset == offset
			require.Equal(t, active, accepted)
			if state.Put.Document != "" {
				current = state.Offset
			}
		}
	})
}
