// Package subset assigns upstreams to subsets of the entry hosts,
// deterministically at every host. The number of peers and upstreams of a host
// stays small in a large fleet, and each upstream has about the same number of
// senders.
package subset

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

const (
	// CellHosts is the minimum number of hosts in a cell when there are several.
	CellHosts = 9
	// maxUnsplitHosts is the number of hosts up to which the ring is not split.
	maxUnsplitHosts = 12
)

// Member is an entry host or an upstream.
type Member struct {
	ID, Zone string
}

// Ring orders members so that neighbours are in different zones where possible.
// Members of one zone are ordered by the hash of their ID.
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
		sort.Slice(list, func(i, j int) bool { return hashLess(list[i].ID, list[j].ID) })
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

func hashLess(a, b string) bool {
	hashA, hashB := xxhash.Sum64String(a), xxhash.Sum64String(b)
	if hashA != hashB {
		return hashA < hashB
	}
	return a < b
}

// Cells splits a ring of hosts into cells of neighbours. The hosts of a cell
// send to the same upstreams, so that a host shares credits with few others.
func Cells(ring []Member) [][]Member {
	if len(ring) <= maxUnsplitHosts {
		return [][]Member{ring}
	}
	count := len(ring) / CellHosts
	cells := make([][]Member, count)
	for i := range cells {
		cells[i] = ring[i*len(ring)/count : (i+1)*len(ring)/count]
	}
	return cells
}

// Cell returns the index of the cell that sends to the upstream with the given
// rank. The upstreams must be ranked so that those of a group are adjacent.
func Cell(cells, rank, upstreams int) int {
	return rank * cells / upstreams
}

// coordinatorSlack is the factor by which a host may coordinate more upstreams than the mean.
const coordinatorSlack = 1.1

// Coordinators returns the coordinator of each upstream of a cell. It is the
// first accepted member by rendezvous hashing that does not yet coordinate its
// share of the upstreams (rendezvous hashing with bounded loads). The map is
// empty if no member is accepted.
func Coordinators(upstreams []string, cell []Member, accept func(id string) bool) map[string]string {
	var accepted []string
	for _, m := range cell {
		if accept(m.ID) {
			accepted = append(accepted, m.ID)
		}
	}
	coordinators := make(map[string]string, len(upstreams))
	if len(accepted) == 0 {
		return coordinators
	}
	maxAssigned := int(math.Ceil(coordinatorSlack * float64(len(upstreams)) / float64(len(accepted))))
	ordered := append([]string(nil), upstreams...)
	sort.Slice(ordered, func(i, j int) bool { return hashLess(ordered[i], ordered[j]) })
	assigned := map[string]int{}
	for _, upstream := range ordered {
		coordinator := first(upstream, accepted, func(id string) bool { return assigned[id] < maxAssigned })
		coordinators[upstream] = coordinator
		assigned[coordinator]++
	}
	return coordinators
}

// first returns the accepted host with the highest rendezvous weight for an
// upstream, or "" if there is none.
func first(upstream string, hosts []string, accept func(id string) bool) string {
	var best string
	var highest uint64
	for _, id := range hosts {
		if !accept(id) {
			continue
		}
		weight := rendezvous.Weight(upstream, id)
		if best == "" || weight > highest {
			best, highest = id, weight
		}
	}
	return best
}
