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
	half := rollout.Target{Goal: 0.5, Deadline: testcompat.Start.Add(time.Hour)}
	whole := rollout.Target{Goal: 1, Deadline: testcompat.Start.Add(2*time.Hour + 5*time.Millisecond)}
	return []rollout.Entry{
		{Service: "chat", Version: "v2", Target: half, ConfigOffset: 7, Phase: control.RolloutInProgress, From: 0, To: 3},
		{Service: "chat", Version: "v2", Target: half, ConfigOffset: 7, Phase: control.RolloutDone, From: 3, To: 4},
		{Service: "chat", Version: "v2", Target: whole, ConfigOffset: 8, Phase: control.RolloutInProgress, From: 0, To: 2},
		{Service: "chat", Version: "v3", Target: half, ConfigOffset: 9, Phase: control.RolloutDone, From: 0, To: 1},
		{Service: "embed", Version: "v4", Target: whole, ConfigOffset: 10, Phase: control.RolloutInProgress, From: 0, To: 5},
		{Service: "embed", Version: "v4", Target: whole, ConfigOffset: 10, Phase: control.RolloutRolledBack, From: 5, To: 6, Reason: "too slow"},
	}
}

func TestReadsFormerData(t *testing.T) {
	entries := formerEntries()
	state := testcompat.Fold(t, rollout.Apply, entries)
	at := func(offset int) time.Time { return testcompat.Start.Add(time.Duration(offset) * time.Second) }
	require.Equal(t, map[string]map[string]rollout.Status{
		"chat": {
			"v2": {
				Target: entries[2].Target, ConfigOffset: 8, Phase: control.RolloutInProgress, Step: 2, StartShare: 0.5,
				StartedAt: at(2), SteppedAt: at(2),
			},
			"v3": {Target: entries[3].Target, ConfigOffset: 9, Phase: control.RolloutDone, StartedAt: at(3)},
		},
		"embed": {"v4": {
			Target: entries[5].Target, ConfigOffset: 10, Phase: control.RolloutRolledBack, Step: 5, Reason: "too slow",
			StartedAt: at(4), SteppedAt: at(4),
		}},
	}, state.Rollouts)
}
