package prefix

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

func TestHashUsesFirstWords(t *testing.T) {
	require.Equal(t, Hash("a b c d e f g h i"), Hash("a b c d e f g h and more"))
	require.NotEqual(t, Hash("a b c d e f g h"), Hash("a b c d e f g x"))
	require.NotEqual(t, Hash("a b"), Hash("a b c"))
	require.Zero(t, Hash("  "))
}

func TestSetIsEmptiedAfterGapOrRestart(t *testing.T) {
	var s Set
	require.True(t, s.Apply([]engine.CacheEvent{{Sequence: 1, Prefix: 7}, {Sequence: 2, Prefix: 8}}))
	require.False(t, s.Apply([]engine.CacheEvent{{Sequence: 2, Prefix: 9}}), "event applied twice")
	require.True(t, s.Apply([]engine.CacheEvent{{Sequence: 3, Prefix: 7, Evicted: true}}))
	require.Equal(t, map[uint64]struct{}{8: {}}, s.Snapshot())
	require.True(t, s.Apply([]engine.CacheEvent{{Sequence: 5, Prefix: 9}}))
	require.Equal(t, map[uint64]struct{}{9: {}}, s.Snapshot())
	require.True(t, s.Apply([]engine.CacheEvent{{Sequence: 1, Prefix: 3}}), "restarted engine")
	require.Equal(t, map[uint64]struct{}{3: {}}, s.Snapshot())
}
