package merge3_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/merge3"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

func TestMergeConcurrentChanges(t *testing.T) {
	base := `{
		"zones": [{"name": "a", "state": "in"}, {"name": "b", "state": "in"}],
		"share": 1, // the usual
		"limit": 5
	}`
	cases := []struct {
		name, mine, theirs, want string
		conflicts                []merge3.Conflict
	}{
		{
			name:   "different values",
			mine:   `{"zones": [{"name": "a", "state": "out"}, {"name": "b", "state": "in"}], "share": 1, "limit": 5}`,
			theirs: `{"zones": [{"name": "a", "state": "in"}, {"name": "b", "state": "in"}], "share": 2, "limit": 5}`,
			want:   `{"zones": [{"name": "a", "state": "out"}, {"name": "b", "state": "in"}], "share": 2, "limit": 5}`,
		},
		{
			name:   "elements shifted by a removal",
			mine:   `{"zones": [{"name": "a", "state": "in"}, {"name": "b", "state": "out"}], "share": 1, "limit": 5}`,
			theirs: `{"zones": [{"name": "b", "state": "in"}, {"name": "c", "state": "in"}], "share": 1, "limit": 5}`,
			want:   `{"zones": [{"name": "b", "state": "out"}, {"name": "c", "state": "in"}], "share": 1, "limit": 5}`,
		},
		{
			name:      "same value",
			mine:      `{"zones": [], "share": 3, "limit": 5}`,
			theirs:    `{"zones": [{"name": "a", "state": "in"}, {"name": "b", "state": "in"}], "share": 2}`,
			want:      `{"zones": [], "share": 3}`,
			conflicts: []merge3.Conflict{{Path: "/share", Mine: "3", Theirs: "2"}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			merged, conflicts, err := merge3.Merge([]byte(base), []byte(c.mine), []byte(c.theirs))
			require.NoError(t, err)
			require.JSONEq(t, c.want, string(merged))
			require.Equal(t, c.conflicts, conflicts)
		})
	}
}

// TestMergeWithUnchangedSide checks that merging with an unchanged side gives the
// other side, without conflicts.
func TestMergeWithUnchangedSide(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		zones := []map[string]any{}
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "names") {
			zones = append(zones, map[string]any{"name": name, "share": rapid.IntRange(0, 2).Draw(t, "share")})
		}
		data, err := json.Marshal(map[string]any{"zones": zones, "limit": rapid.IntRange(0, 2).Draw(t, "limit")})
		require.NoError(t, err)
		return string(data)
	})
	rapid.Check(t, func(t *rapid.T) {
		base, changed := text.Draw(t, "base"), text.Draw(t, "changed")
		merged, conflicts, err := merge3.Merge([]byte(base), []byte(changed), []byte(base))
		require.NoError(t, err)
		require.Empty(t, conflicts)
		require.JSONEq(t, changed, string(merged))
		merged, conflicts, err = merge3.Merge([]byte(base), []byte(base), []byte(changed))
		require.NoError(t, err)
		require.Empty(t, conflicts)
		require.JSONEq(t, changed, string(merged))
	})
}
