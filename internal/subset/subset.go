// Package subset chooses, the same way at each host, which entry hosts may
// send to which upstreams. A host then talks with few peers however many there
// are, and each upstream has about the same number of senders.
package subset

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

const (
	// CellHosts is the least number of hosts in a cell.
	CellHosts = 9
	// allHosts is the number of hosts up to which there is one cell.
	allHosts = 12
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

// Cells parts a ring of hosts into cells of neighbours. The hosts of a cell
// send to the same upstreams, so that a host shares credits with few others.
func Cells(ring []Member) [][]Member {
	if len(ring) <= allHosts {
		return [][]Member{ring}
	}
	count := len(ring) / CellHosts
	cells := make([][]Member, count)
	for i := range cells {
		cells[i] = ring[i*len(ring)/count : (i+1)*len(ring)/count]
	}
	return cells
}

// Cell returns the index of the cell of the upstream of a rank among all
// upstreams, which are ranked so that those of one group stand together.
func Cell(cells, rank, upstreams int) int {
	return rank * cells / upstreams
}

// coordinatorSlack is the factor by which a host may keep more upstreams than the mean.
const coordinatorSlack = 1.1

// Coordinators returns which member of a cell keeps each of its upstreams, among
// those members that a test accepts: the first by rendezvous hashing that does
// not keep its part already. There is no entry where no member is accepted.
func Coordinators(upstreams []string, cell []Member, accept func(id string) bool) map[string]string {
	var live []string
	for _, m := range cell {
		if accept(m.ID) {
			live = append(live, m.ID)
		}
	}
	coordinators := make(map[string]string, len(upstreams))
	if len(live) == 0 {
		return coordinators
	}
	most := int(math.Ceil(coordinatorSlack * float64(len(upstreams)) / float64(len(live))))
	ordered := append([]string(nil), upstreams...)
	sort.Slice(ordered, func(i, j int) bool { return before(ordered[i], ordered[j]) })
	kept := map[string]int{}
	for _, upstream := range ordered {
		coordinator := first(upstream, live, func(id string) bool { return kept[id] < most })
		coordinators[upstream] = coordinator
		kept[coordinator]++
	}
	return coordinators
}

// first returns the first host for an upstream by rendezvous hashing.
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
