package testbed_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	// exclusionDelay bounds the time until a changed zone state is in effect.
	exclusionDelay  = 3 * time.Second
	requestInterval = 40 * time.Millisecond
)

// sendRequests sends requests to all hosts in turn for a duration.
func sendRequests(cluster *testbed.Cluster, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		node := cluster.Nodes[i%len(cluster.Nodes)]
		go node.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
			`{"prompt": "which cake travels well", "maxTokens": 12}`, map[string]string{"X-Customer": "web-chat"})
		time.Sleep(requestInterval)
	}
}

// TestExcludedZoneGetsNoNewRequests excludes a zone under load and includes it
// again: its engines start no requests from any host meanwhile.
func TestExcludedZoneGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := testbed.Start(t, options(t))
		defer cluster.Close()
		doc, err := document.Parse(options(t).Config)
		require.NoError(t, err)
		excluded := doc.AvailabilityZones[1].Name
		inZone := func() int {
			started := 0
			for id, engine := range cluster.Engines {
				if zoneOf(cluster, id) == excluded {
					started += engine.Started()
				}
			}
			return started
		}
		sendRequests(cluster, 5*time.Second)
		require.Positive(t, inZone())

		doc.AvailabilityZones[1].State = document.ZoneExcluded
		changed, err := json.Marshal(doc)
		require.NoError(t, err)
		cluster.Publish(cluster.Nodes[0].Loop().Snapshot().Offset, changed)
		sendRequests(cluster, exclusionDelay)
		before := inZone()
		sendRequests(cluster, 10*time.Second)
		require.Equal(t, before, inZone(), "new requests in the excluded zone")

		doc.AvailabilityZones[1].State = document.ZoneServing
		changed, err = json.Marshal(doc)
		require.NoError(t, err)
		cluster.Publish(cluster.Nodes[0].Loop().Snapshot().Offset, changed)
		sendRequests(cluster, 10*time.Second)
		require.Greater(t, inZone(), before)
		time.Sleep(10 * time.Second)
	})
}

// zoneOf returns the availability zone of a listed upstream.
func zoneOf(cluster *testbed.Cluster, id string) string {
	return cluster.Nodes[0].Loop().Snapshot().Upstream(id).Zone
}
