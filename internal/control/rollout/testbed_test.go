package rollout_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	rolloutTime     = 3 * time.Minute
	requestInterval = 60 * time.Millisecond
)

// startRollout starts a testbed with three gateway hosts and a rollout of all
// traffic to v2, which has three upstreams.
func startRollout(t *testing.T) (*testbed.Cluster, []string) {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	bed := testbed.Start(t, testbed.Options{
		Config: config, Hosts: 3, Seed: 1,
		Engine:     standin.EngineOptions{Between: 10 * time.Millisecond, Prefill: time.Millisecond},
		PlainDelay: 5 * time.Millisecond,
	})
	by := time.Now().Add(rolloutTime).UTC().Format(time.RFC3339Nano)
	versions := fmt.Sprintf(`"versions": [{"name": "v1", "goal": 0}, {"name": "v2", "goal": 1, "by": %q}]`, by)
	text := strings.Replace(string(config), `"versions": [{"name": "v1", "goal": 1}]`, versions, 1)
	doc, err := document.Parse([]byte(text))
	require.NoError(t, err)
	var ids []string
	for i, zone := range doc.AvailabilityZones[:3] {
		id := fmt.Sprintf("advice-new-%d", i)
		bed.AddUpstream(id, doc.Service("advice"), "v2", zone.Name, uint64(100+i))
		ids = append(ids, id)
	}
	bed.Publish(0, []byte(text))
	return bed, ids
}

// load sends requests to all hosts in turn for the time d; each must succeed.
func load(t *testing.T, bed *testbed.Cluster, d time.Duration) {
	var requests sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		node := bed.Nodes[i%len(bed.Nodes)]
		requests.Add(1)
		go func() {
			defer requests.Done()
			response := node.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 4}`, map[string]string{"X-Customer": "web-chat"})
			if response.Code != http.StatusOK {
				t.Errorf("response %d: %s", response.Code, response.Body)
			}
		}()
		time.Sleep(requestInterval)
	}
	requests.Wait()
}

// startedRequests returns the number of requests that upstreams have started.
func startedRequests(bed *testbed.Cluster, ids []string) int {
	sum := 0
	for _, id := range ids {
		sum += bed.Engines[id].Started()
	}
	return sum
}

// loadUntilNoShare sends requests until no host gives the new version a share.
// This takes a while: circuit breakers keep most attempts away from the bad
// upstreams, so there is little evidence.
func loadUntilNoShare(t *testing.T, bed *testbed.Cluster) {
	t.Helper()
	key := control.RouteKey{Service: "advice", Route: "menu"}
	highestShare := func() float64 {
		highest := 0.0
		for _, n := range bed.Nodes {
			for _, s := range n.Loop().Snapshot().Shares[key] {
				if s.Version == "v2" {
					highest = max(highest, s.Share)
				}
			}
		}
		return highest
	}
	require.Positive(t, highestShare(), "the rollout has started")
	for end := time.Now().Add(90 * time.Second); highestShare() > 0; {
		require.True(t, time.Now().Before(end), "the bad version still has a share")
		load(t, bed, 5*time.Second)
	}
}

func requirePhase(t *testing.T, bed *testbed.Cluster, phase control.RolloutPhase) {
	t.Helper()
	for _, n := range bed.Nodes {
		rollouts := n.Loop().Snapshot().Rollouts
		require.Len(t, rollouts, 1)
		require.Equal(t, phase, rollouts[0].Phase, "%+v", rollouts[0])
	}
}

func TestGatewayHostsCompleteGoodRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := startRollout(t)
		defer bed.Close()
		load(t, bed, rolloutTime)
		requirePhase(t, bed, control.RolloutDone)
		before := startedRequests(bed, ids)
		load(t, bed, 3*time.Second)
		require.GreaterOrEqual(t, startedRequests(bed, ids)-before, 45, "all traffic goes to the new version")
	})
}

func TestGatewayHostsRollBackBadVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := startRollout(t)
		defer bed.Close()
		load(t, bed, rolloutTime/3)
		sent := startedRequests(bed, ids)
		require.Positive(t, sent)
		for _, id := range ids {
			bed.Engines[id].SetFault(standin.EngineFault{FailShare: 0.7})
		}
		loadUntilNoShare(t, bed)
		time.Sleep(2 * time.Second)
		requirePhase(t, bed, control.RolloutRolledBack)
		before := startedRequests(bed, ids)
		load(t, bed, 5*time.Second)
		require.Equal(t, before, startedRequests(bed, ids), "the bad version gets no more requests")
	})
}

func TestGatewayHostsStopUsingBadVersionWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := startRollout(t)
		defer bed.Close()
		load(t, bed, rolloutTime/3)
		bed.Log.SetDown(true)
		for _, id := range ids {
			bed.Engines[id].SetFault(standin.EngineFault{FailShare: 0.7})
		}
		loadUntilNoShare(t, bed)
		before := startedRequests(bed, ids)
		load(t, bed, 5*time.Second)
		require.Equal(t, before, startedRequests(bed, ids), "the bad version gets no more requests")
		requirePhase(t, bed, control.RolloutInProgress)
		bed.Log.SetDown(false)
		time.Sleep(10 * time.Second)
		time.Sleep(2 * time.Second)
		requirePhase(t, bed, control.RolloutRolledBack)
	})
}
