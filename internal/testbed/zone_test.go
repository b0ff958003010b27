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
	zoneOutLimit  = 3 * time.Second
	questionEvery = 40 * time.Millisecond
)

// questions sends questions to all hosts in turn for a while.
func questions(bed *testbed.Cluster, d time.Duration) {
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		node := bed.Nodes[i%len(bed.Nodes)]
		go node.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
			`{"prompt": "which cake travels well", "maxTokens": 12}`, map[string]string{"X-Customer": "web-chat"})
		time.Sleep(questionEvery)
	}
}

// TestZoneOutEndsNewWorkOnEveryHost takes a zone out while questions come and
// brings it back.
func TestZoneOutEndsNewWorkOnEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := testbed.Start(t, options(t))
		defer bed.Close()
		doc, err := document.Parse(options(t).Config)
		require.NoError(t, err)
		out := doc.AvailabilityZones[1].Name
		inZone := func() int {
			started := 0
			for id, engine := range bed.Engines {
				if zoneOf(bed, id) == out {
					started += engine.Started()
				}
			}
			return started
		}
		questions(bed, 5*time.Second)
		require.Positive(t, inZone())

		doc.AvailabilityZones[1].State = document.ZoneExcluded
		changed, err := json.Marshal(doc)
		require.NoError(t, err)
		bed.Publish(bed.Nodes[0].Loop().Snapshot().Offset, changed)
		questions(bed, zoneOutLimit)
		before := inZone()
		questions(bed, 10*time.Second)
		require.Equal(t, before, inZone(), "new work in the zone that is out")

		doc.AvailabilityZones[1].State = document.ZoneServing
		changed, err = json.Marshal(doc)
		require.NoError(t, err)
		bed.Publish(bed.Nodes[0].Loop().Snapshot().Offset, changed)
		questions(bed, 10*time.Second)
		require.Greater(t, inZone(), before)
		time.Sleep(10 * time.Second)
	})
}

// zoneOf returns the zone of a listed upstream.
func zoneOf(bed *testbed.Cluster, id string) string {
	return bed.Nodes[0].Loop().Snapshot().Upstream(id).Zone
}
