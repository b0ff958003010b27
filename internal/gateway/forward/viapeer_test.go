package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// Load pattern: most hosts are isolated, and each forwards all its requests to the few others.
func TestForwardedRequestsAreSpreadOverPeersAndBounded(t *testing.T) {
	pool := newPeerPool()
	var peers []*members.Peer
	for incarnation := range uint64(3) {
		peers = append(peers, &members.Peer{Digest: members.Digest{Incarnation: incarnation}})
	}
	require.Nil(t, pool.take(nil))
	for n := range maxForwardedPerPeer * len(peers) {
		require.NotNil(t, pool.take(peers))
		for _, peer := range peers {
			require.InDelta(t, n/len(peers), pool.inFlight[peer.Incarnation], 1)
		}
	}
	require.Nil(t, pool.take(peers))
	pool.release(peers[1])
	require.Equal(t, peers[1], pool.take(peers))
	for _, peer := range peers {
		for range maxForwardedPerPeer {
			pool.release(peer)
		}
	}
	require.Empty(t, pool.inFlight)
}
