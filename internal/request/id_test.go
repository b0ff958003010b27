package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// TestIDsAreNotGuessable checks that the next ID cannot be derived from the last
// one, which would let a caller read requests of others: IDs are unique and
// consecutive ones are far apart.
func TestIDsAreNotGuessable(t *testing.T) {
	const minDistance = 1 << 32
	seen := map[string]bool{}
	last := request.NewID("entry-0", "a")
	for range 1000 {
		id := request.NewID("entry-0", "a")
		require.False(t, seen[id.String()])
		seen[id.String()] = true
		require.Greater(t, max(id.Nonce, last.Nonce)-min(id.Nonce, last.Nonce), uint64(minDistance))
		last = id
	}
}
