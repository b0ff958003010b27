package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

func TestRankIsIndexInOrder(t *testing.T) {
	var candidates []string
	for i := range 20 {
		candidates = append(candidates, fmt.Sprint("host-", i))
	}
	order := rendezvous.Order("key", candidates)
	require.Equal(t, rendezvous.First("key", candidates), order[0])
	for rank, candidate := range order {
		require.Equal(t, rank, rendezvous.Rank("key", candidate, candidates))
	}
}
