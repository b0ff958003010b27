package jsonc_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

func value(depth int) *rapid.Generator[any] {
	leaf := rapid.OneOf(
		rapid.Map(rapid.IntRange(0, 3), func(n int) any { return n }),
		rapid.Map(rapid.SampledFrom([]string{"", "a", "/b", "~c"}), func(s string) any { return s }),
	)
	if depth == 0 {
		return leaf
	}
	child := value(depth - 1)
	keys := rapid.SampledFrom([]string{"x", "y", "a/b", "c~d"})
	return rapid.OneOf(
		leaf,
		rapid.Map(rapid.SliceOfN(child, 0, 4), func(list []any) any { return list }),
		rapid.Map(rapid.MapOfN(keys, child, 0, 4), func(m map[string]any) any { return m }),
	)
}

func document() *rapid.Generator[map[string]any] {
	return rapid.MapOfN(rapid.SampledFrom([]string{"x", "y", "a/b", "c~d"}), value(2), 0, 4)
}

func TestPatchAppliesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, err := json.Marshal(document().Draw(t, "from"))
		require.NoError(t, err)
		to, err := json.Marshal(document().Draw(t, "to"))
		require.NoError(t, err)
		patch, err := jsonc.Diff(from, to)
		require.NoError(t, err)
		got, err := jsonc.Patch(from, patch)
		require.NoError(t, err)
		require.JSONEq(t, string(to), string(got))
	})
}

func TestPatchKeepsComments(t *testing.T) {
	text := "{\n  // the share of each zone\n  \"zones\": [1, 2], // two\n  \"name\": \"x\",\n}"
	patch, err := jsonc.Diff([]byte(text), []byte(`{"zones": [1, 2], "name": "y"}`))
	require.NoError(t, err)
	got, err := jsonc.Patch([]byte(text), patch)
	require.NoError(t, err)
	require.Equal(t, "{\n  // the share of each zone\n  \"zones\": [1, 2], // two\n  \"name\": \"y\",\n}", string(got))
}
