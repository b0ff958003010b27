package reach

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

var errDown = errors.New("down")

// upstreams returns two upstreams of each of two services in each of three zones, with
// addresses of the form service/zone/number.
func upstreams() []*catalog.Member {
	var all []*catalog.Member
	for _, service := range []string{"chat", "book"} {
		for _, zone := range []string{"a", "b", "c"} {
			for n := range 2 {
				address := fmt.Sprintf("%s/%s/%d", service, zone, n)
				all = append(all, &catalog.Member{Upstream: catalog.Upstream{ID: address, Service: service, Zone: zone, Address: address}})
			}
		}
	}
	return all
}

// watched runs a monitor whose probes fail for addresses for which down returns true. It
// returns the changes so far.
func watched(t *testing.T, down func(address string) bool, probes *atomic.Int64) (*Monitor, func() []bool) {
	changes := make(chan bool, 16)
	m := NewMonitor(func(_ context.Context, address string) error {
		probes.Add(1)
		if down(address) {
			return errDown
		}
		return nil
	}, upstreams, func(isolated bool) { changes <- isolated })
	start := time.Now()
	m.now = func() time.Duration { return time.Hour + time.Since(start) }
	go m.Run(t.Context())
	return m, func() []bool {
		var seen []bool
		for len(changes) > 0 {
			seen = append(seen, <-changes)
		}
		return seen
	}
}

func TestHostWithoutAnyUpstreamIsIsolatedUntilOneIsReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cut atomic.Bool
		var probes atomic.Int64
		cut.Store(true)
		m, changes := watched(t, func(string) bool { return cut.Load() }, &probes)
		m.Doubt()
		time.Sleep(time.Second)
		require.Equal(t, []bool{true}, changes())
		require.True(t, m.Isolated())
		require.True(t, m.Avoid())
		before := probes.Load()
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, probes.Load()-before, int64(10*time.Second/returnInterval))
		cut.Store(false)
		time.Sleep(2 * returnInterval)
		require.Equal(t, []bool{false}, changes())
		require.False(t, m.Isolated())
	})
}

// Load pattern: a service, or an availability zone of upstreams, is down for a while, and many
// requests to it fail.
func TestOneServiceOrZoneThatIsDownIsolatesNoHost(t *testing.T) {
	for _, down := range []string{"chat/", "book/", "/a/", "/b/", "/c/"} {
		synctest.Test(t, func(t *testing.T) {
			var probes atomic.Int64
			m, changes := watched(t, func(address string) bool { return strings.Contains(address, down) }, &probes)
			for range 1000 {
				m.Doubt()
				time.Sleep(10 * time.Millisecond)
			}
			require.Empty(t, changes(), down)
			require.LessOrEqual(t, probes.Load(), int64(10*time.Second/freshFor*probesPerRound))
		})
	}
}

func TestProbesAreOfSeveralServicesAndZones(t *testing.T) {
	for range 100 {
		services, zones := map[string]bool{}, map[string]bool{}
		for _, m := range spread(upstreams(), probesPerRound) {
			services[m.Service], zones[m.Zone] = true, true
		}
		require.Len(t, services, 2)
		require.Len(t, zones, 3)
	}
}

func TestConnectionOfARequestSavesTheProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int64
		m, changes := watched(t, func(string) bool { return false }, &probes)
		for range 10 {
			m.Doubt()
			time.Sleep(freshFor / 2)
			m.Reached()
			time.Sleep(freshFor / 2)
		}
		require.Empty(t, changes())
		require.Zero(t, probes.Load())
	})
}
