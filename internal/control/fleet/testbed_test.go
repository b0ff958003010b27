package fleet_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

// adviceHosts returns the listed hosts of the service by ID.
func adviceHosts(t *testing.T, bed *testbed.Cluster) map[string]hostlist.Host {
	t.Helper()
	list, err := bed.List.Hosts(context.Background())
	require.NoError(t, err)
	hosts := map[string]hostlist.Host{}
	for _, host := range list.Hosts {
		if host.Service == service {
			hosts[host.ID] = host
		}
	}
	return hosts
}

// TestReclaimedHostsAreReplacedOnTestbed reclaims the hosts of a zone with notice on
// a testbed with all modules: replacements are started before the notice ends, and
// requests succeed afterwards.
func TestReclaimedHostsAreReplacedOnTestbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 3, Seed: 1, StartHosts: true,
			Engine: standin.EngineOptions{Between: 10 * time.Millisecond, Prefill: time.Millisecond},
		})
		defer bed.Close()
		time.Sleep(time.Minute)
		require.Zero(t, bed.Cloud.Started(), "enough hosts are listed")
		before := adviceHosts(t, bed)
		reclaimed := 0
		for id, host := range before {
			if host.Zone != "bkk-a" {
				continue
			}
			reclaimed++
			bed.Cloud.Notify(cloud.Notice{HostID: id, Deadline: time.Now().Add(noticeTime)})
		}
		require.Positive(t, reclaimed)
		time.Sleep(10 * time.Second)
		require.Len(t, adviceHosts(t, bed), len(before)+reclaimed, "replacements are started before the notice ends")
		for id, host := range before {
			if host.Zone == "bkk-a" {
				bed.List.Remove(id)
				bed.Engines[id].Kill()
			}
		}
		time.Sleep(time.Minute)
		require.Len(t, adviceHosts(t, bed), len(before))
		for range 50 {
			resp := bed.Nodes[0].Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 4}`, map[string]string{"X-Customer": "web-chat"})
			require.Equal(t, http.StatusOK, resp.Code, resp.Body)
		}
	})
}
