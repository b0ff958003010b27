// Package subset chooses, the same way at each host, which entry hosts may
// send to which upstreams. A host then talks with few peers however many there
// are, and each upstream has about the same number of senders.
package subset

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// WindowHosts is the least number of hosts that may send to an upstream.
	WindowHosts = 9
	// allHosts is the number of hosts up to which each may send to each upstream.
	allHosts = 12
	// leastUpstreams is the least number of upstreams of one group that a host
	// may send to, if the group has as many.
	leastUpstreams = 3
)

// Member is an entry host or an upstream.
type Member struct {
	ID, Zone string
}

// Ring orders members so that neighbours are in different zones where they
// can be. Members of the same zone stand in the order of their hashes.
func Ring(members []Member) []Member {
	zones := map[string][]Member{}
	var names []string
	for _, m := range members {
		if zones[m.Zone] == nil {
			names = append(names, m.Zone)
		}
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	sort.Strings(names)
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool { return before(list[i].ID, list[j].ID) })
	}
	ring := make([]Member, 0, len(members))
	for rank := 0; len(ring) < len(members); rank++ {
		for _, zone := range names {
			if list := zones[zone]; rank < len(list) {
				ring = append(ring, list[rank])
			}
		}
	}
	return ring
}

func before(a, b string) bool {
	hashA, hashB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	if hashA != hashB {
		return hashA < hashB
	}
	return a < b
}

// Window returns the hosts of a ring that may send to the upstream of a rank
// in a group of a size.
func Window(hosts []Member, rank, groupSize int) []Member {
	size := windowSize(len(hosts), groupSize)
	if size == len(hosts) {
		return hosts
	}
	window := make([]Member, 0, size)
	first := rank * len(hosts) / groupSize
	for i := range size {
		window = append(window, hosts[(first+i)%len(hosts)])
	}
	return window
}

func windowSize(hosts, groupSize int) int {
	if hosts <= allHosts {
		return hosts
	}
	cover := (leastUpstreams*hosts + groupSize - 1) / groupSize
	return min(hosts, max(WindowHosts, cover))
}

// Keeper returns the member that keeps an upstream: the first by rendezvous
// hashing among those that a test accepts; "" if there is none.
func Keeper(upstream string, window []Member, accept func(id string) bool) string {
	var keeper string
	var highest uint64
	for _, m := range window {
		if !accept(m.ID) {
			continue
		}
		weight := xxhash.Sum64String(upstream + "\x00" + m.ID)
		if keeper == "" || weight > highest {
			keeper, highest = m.ID, weight
		}
	}
	return keeper
}
