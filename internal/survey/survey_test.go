package survey_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

// TestInspectRegionThroughZoneRelays queries one of 9 hosts for its region, also
// while one host is dead and another is partitioned from the queried one.
func TestInspectRegionThroughZoneRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		cluster := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 9, Seed: 1, Engine: standin.EngineOptions{Between: time.Millisecond},
		})
		defer cluster.Close()
		for _, n := range cluster.Nodes {
			response := n.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 3}`, map[string]string{"X-Customer": "web-chat"})
			require.Equal(t, http.StatusOK, response.Code)
		}
		inspect := func() (reached int, requests int64) {
			resp, err := cluster.Nodes[0].Peer().Inspect(context.Background(),
				&peerv1.InspectRequest{Scope: peerv1.InspectRequest_SCOPE_REGION, Burn: true})
			require.NoError(t, err)
			require.Len(t, resp.GetHosts(), 9)
			for _, host := range resp.GetHosts() {
				if host.GetReached() {
					reached++
				}
			}
			for _, series := range resp.GetSeries() {
				requests += series.GetWindows()[0].GetTotal()
			}
			return reached, requests
		}
		reached, requests := inspect()
		require.Equal(t, 9, reached)
		require.Equal(t, int64(9), requests)

		// On Stop, a host hands its request counts over to a peer, so the total stays 9.
		require.NoError(t, cluster.Nodes[8].Stop(context.Background()))
		cluster.Nodes[8].Kill()
		reached, requests = inspect()
		require.Equal(t, 8, reached)
		require.Equal(t, int64(9), requests)

		// entry-1 and entry-5 share a zone: entry-5 relays for entry-1, so entry-1 is
		// still reached.
		cluster.SetPartition("entry-0", "entry-1", true)
		reached, _ = inspect()
		require.Equal(t, 8, reached)
		// entry-2 is killed and hands nothing over: its count is lost.
		cluster.Nodes[2].Kill()
		reached, requests = inspect()
		require.Equal(t, 7, reached)
		require.Equal(t, int64(8), requests)
	})
}
