package duty_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
)

// formerLedger is what testdata/compat/ledger.json holds.
func formerLedger() duty.Ledger {
	return duty.Ledger{
		Holder: "host-a", Incarnation: 1<<63 + 1, Recent: []string{"host-b", "host-a"}, Token: 3, Write: 1<<52 - 4,
		Reports: map[int64]duty.Counts{5: {"acme": 6, "umbrella": 7}, 8: {}}, NextWindow: 9,
		Open: map[int64]map[uint64]duty.Counts{9: {1<<63 + 10: {"acme": 11}, 12: {"acme": 13}}},
		Rollouts: map[string]rollout.Progress{
			"chat":   {Target: "v2", State: rollout.Running, Share: 0.25, Acknowledged: true, StartedAtMillis: 1 << 41},
			"embed":  {Target: "v3", State: rollout.Completed, Share: 1, StartedAtMillis: 15},
			"search": {Target: "v4", State: rollout.RolledBack, StartedAtMillis: 16},
		},
	}
}

func TestReadsFormerData(t *testing.T) {
	for name, want := range map[string]duty.Ledger{
		"ledger": formerLedger(),
		// A ledger without a holder and without what may be left out.
		"released": {Token: 17, Write: 18, NextWindow: 19},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/compat/" + name + ".json")
			require.NoError(t, err)
			got, err := duty.ParseLedger(data)
			require.NoError(t, err)
			require.Equal(t, want, got)
			again, err := got.Encode()
			require.NoError(t, err)
			require.Equal(t, string(data), string(again))
		})
	}
}
