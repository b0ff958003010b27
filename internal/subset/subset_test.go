package subset

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func members(prefix string, count, zones int) []Member {
	list := make([]Member, count)
	for i := range list {
		list[i] = Member{ID: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%zones)}
	}
	return list
}

func TestWindowsBalanceAndSpanZones(t *testing.T) {
	const hosts, upstreams, zones = 142, 380, 3
	ring := Ring(members("h", hosts, zones))
	perHost := map[string]int{}
	peers := map[string]map[string]bool{}
	for rank := range upstreams {
		window := Window(ring, rank, upstreams)
		require.Len(t, window, WindowHosts)
		zonesSeen := map[string]bool{}
		for _, m := range window {
			perHost[m.ID]++
			zonesSeen[m.Zone] = true
			for _, other := range window {
				if peers[m.ID] == nil {
					peers[m.ID] = map[string]bool{}
				}
				peers[m.ID][other.ID] = true
			}
		}
		require.Len(t, zonesSeen, zones)
	}
	for id := range perHost {
		require.InDelta(t, WindowHosts*upstreams/hosts, perHost[id], 2)
		require.LessOrEqual(t, len(peers[id]), 2*WindowHosts)
	}
}

func TestSmallGroupsReachEveryHost(t *testing.T) {
	ring := Ring(members("h", 142, 3))
	perHost := map[string]int{}
	for rank := range 4 {
		for _, m := range Window(ring, rank, 4) {
			perHost[m.ID]++
		}
	}
	require.Len(t, perHost, 142)
	require.Len(t, Window(ring[:9], 0, 2), 9)
}

func TestKeeperMovesOnlyWhenItGoes(t *testing.T) {
	window := members("h", 9, 3)
	all := func(string) bool { return true }
	for i := range 50 {
		upstream := fmt.Sprint("u", i)
		keeper := Keeper(upstream, window, all)
		for _, gone := range window {
			other := Keeper(upstream, window, func(id string) bool { return id != gone.ID })
			require.Equal(t, gone.ID == keeper, other != keeper)
		}
	}
	require.Empty(t, Keeper("u", window, func(string) bool { return false }))
}
