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
	bedMove  = 3 * time.Minute
	bedEvery = 60 * time.Millisecond
)

// bedWithMove starts three hosts and a move of all traffic to v2, which has
// three upstreams.
func bedWithMove(t *testing.T) (*testbed.Cluster, []string) {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	bed := testbed.Start(t, testbed.Options{
		Config: config, Hosts: 3, Seed: 1,
		Engine:     standin.EngineOptions{Between: 10 * time.Millisecond, Prefill: time.Millisecond},
		PlainDelay: 5 * time.Millisecond,
	})
	by := time.Now().Add(bedMove).UTC().Format(time.RFC3339Nano)
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

// load sends questions to all hosts in turn for a while; each must be answered.
func load(t *testing.T, bed *testbed.Cluster, d time.Duration) {
	var work sync.WaitGroup
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		node := bed.Nodes[i%len(bed.Nodes)]
		work.Add(1)
		go func() {
			defer work.Done()
			answer := node.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 4}`, map[string]string{"X-Customer": "web-chat"})
			if answer.Code != http.StatusOK {
				t.Errorf("answer %d: %s", answer.Code, answer.Body)
			}
		}()
		time.Sleep(bedEvery)
	}
	work.Wait()
}

func started(bed *testbed.Cluster, ids []string) int {
	sum := 0
	for _, id := range ids {
		sum += bed.Engines[id].Started()
	}
	return sum
}

// loadUntilLeft sends questions until no host gives the new version a share.
// The upstreams' breakers keep most attempts from bad upstreams, so evidence
// comes slowly.
func loadUntilLeft(t *testing.T, bed *testbed.Cluster) {
	t.Helper()
	key := control.RouteKey{Service: "advice", Route: "menu"}
	given := func() float64 {
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
	require.Positive(t, given(), "the move has begun")
	for end := time.Now().Add(90 * time.Second); given() > 0; {
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

func TestGoodVersionIsDoneOnRealHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := bedWithMove(t)
		defer bed.Close()
		load(t, bed, bedMove)
		requirePhase(t, bed, control.RolloutDone)
		before := started(bed, ids)
		load(t, bed, 3*time.Second)
		require.GreaterOrEqual(t, started(bed, ids)-before, 45, "all traffic goes to the new version")
	})
}

func TestBadVersionIsTakenBackOnRealHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := bedWithMove(t)
		defer bed.Close()
		load(t, bed, bedMove/3)
		met := started(bed, ids)
		require.Positive(t, met)
		for _, id := range ids {
			bed.Engines[id].SetFault(standin.EngineFault{FailShare: 0.7})
		}
		loadUntilLeft(t, bed)
		time.Sleep(2 * time.Second)
		requirePhase(t, bed, control.RolloutRolledBack)
		before := started(bed, ids)
		load(t, bed, 5*time.Second)
		require.Equal(t, before, started(bed, ids), "nothing more goes to the bad version")
	})
}

func TestBadVersionIsLeftOnRealHostsWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed, ids := bedWithMove(t)
		defer bed.Close()
		load(t, bed, bedMove/3)
		bed.Log.SetDown(true)
		for _, id := range ids {
			bed.Engines[id].SetFault(standin.EngineFault{FailShare: 0.7})
		}
		loadUntilLeft(t, bed)
		before := started(bed, ids)
		load(t, bed, 5*time.Second)
		require.Equal(t, before, started(bed, ids), "nothing more goes to the bad version")
		requirePhase(t, bed, control.RolloutInProgress)
		bed.Log.SetDown(false)
		time.Sleep(10 * time.Second)
		time.Sleep(2 * time.Second)
		requirePhase(t, bed, control.RolloutRolledBack)
	})
}
