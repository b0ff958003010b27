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

// TestRegionIsSurveyedThroughItsZones asks one of 9 hosts for its region, also
// while one host is dead and another is cut off from the one asked.
func TestRegionIsSurveyedThroughItsZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 9, Seed: 1, Engine: standin.EngineOptions{Between: time.Millisecond},
		})
		defer bed.Close()
		for _, n := range bed.Nodes {
			answer := n.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 3}`, map[string]string{"X-Customer": "web-chat"})
			require.Equal(t, http.StatusOK, answer.Code)
		}
		ask := func() (reached int, requests int64) {
			resp, err := bed.Nodes[0].Peer().Inspect(context.Background(),
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
		reached, requests := ask()
		require.Equal(t, 9, reached)
		require.Equal(t, int64(9), requests)

		// A host that stops hands its account to a peer.
		require.NoError(t, bed.Nodes[8].Stop(context.Background()))
		bed.Nodes[8].Kill()
		reached, requests = ask()
		require.Equal(t, 8, reached)
		require.Equal(t, int64(9), requests)

		// entry-1 and entry-5 share a zone: the second relays for the first.
		bed.SetPartition("entry-0", "entry-1", true)
		reached, _ = ask()
		require.Equal(t, 8, reached)
		bed.Nodes[2].Kill()
		reached, requests = ask()
		require.Equal(t, 7, reached)
		require.Equal(t, int64(8), requests)
	})
}
