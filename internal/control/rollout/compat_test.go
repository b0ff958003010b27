package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/rollout"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerEntries are the entries in testdata/compat/records.jsonl. They leave
// each phase in the state.
func formerEntries() []rollout.Entry {
	half := rollout.Move{Goal: 0.5, By: testcompat.Start.Add(time.Hour)}
	whole := rollout.Move{Goal: 1, By: testcompat.Start.Add(2*time.Hour + 5*time.Millisecond)}
	return []rollout.Entry{
		{Service: "chat", Version: "v2", Move: half, Config: 7, Phase: control.RolloutInProgress, From: 0, To: 3},
		{Service: "chat", Version: "v2", Move: half, Config: 7, Phase: control.RolloutDone, From: 3, To: 4},
		{Service: "chat", Version: "v2", Move: whole, Config: 8, Phase: control.RolloutInProgress, From: 0, To: 2},
		{Service: "chat", Version: "v3", Move: half, Config: 9, Phase: control.RolloutDone, From: 0, To: 1},
		{Service: "embed", Version: "v4", Move: whole, Config: 10, Phase: control.RolloutInProgress, From: 0, To: 5},
		{Service: "embed", Version: "v4", Move: whole, Config: 10, Phase: control.RolloutRolledBack, From: 5, To: 6, Reason: "too slow"},
	}
}

func TestReadsFormerData(t *testing.T) {
	entries := formerEntries()
	state := testcompat.Fold(t, rollout.Apply, entries)
	at := func(offset int) time.Time { return testcompat.Start.Add(time.Duration(offset) * time.Second) }
	require.Equal(t, map[string]map[string]rollout.Status{
		"chat": {
			"v2": {
				Move: entries[2].Move, Config: 8, Phase: control.RolloutInProgress, Step: 2, Proved: 0.5,
				Began: at(2), Stepped: at(2),
			},
			"v3": {Move: entries[3].Move, Config: 9, Phase: control.RolloutDone, Began: at(3)},
		},
		"embed": {"v4": {
			Move: entries[5].Move, Config: 10, Phase: control.RolloutRolledBack, Step: 5, Reason: "too slow",
			Began: at(4), Stepped: at(4),
		}},
	}, state.Moves)
}
