package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

// affinitySize is the maximum number of prefixes kept in each of two generations.
const affinitySize = 2048

// affinity routes requests with the same prompt prefix to the same upstreams. It
// records where this host last sent each prefix, which needs no cache events,
// and derives a home upstream for each prefix that all hosts agree on.
type affinity struct {
	recent, older map[uint64]string
}

// hint names the upstreams that may have a prefix in their cache.
type hint struct {
	// last is the ID of the upstream to which this host last sent the prefix.
	last string
	// home is the upstream with the highest rendezvous weight for the prefix.
	home *control.Upstream
}

func newAffinity() *affinity {
	return &affinity{recent: map[uint64]string{}, older: map[uint64]string{}}
}

func (a *affinity) record(prefix uint64, upstream string) {
	if len(a.recent) >= affinitySize {
		a.older, a.recent = a.recent, make(map[uint64]string, affinitySize)
	}
	a.recent[prefix] = upstream
}

func (a *affinity) hint(prefix uint64, list []*control.Upstream, version string) hint {
	if prefix == 0 {
		return hint{}
	}
	last, known := a.recent[prefix]
	if !known {
		last = a.older[prefix]
	}
	h := hint{last: last}
	var highest uint64
	for _, u := range list {
		if !u.Available || u.Cold || u.Version != version {
			continue
		}
		if weight := rendezvous(prefix, u.ID); h.home == nil || weight > highest {
			h.home, highest = u, weight
		}
	}
	return h
}

// rendezvous returns the weight of an upstream for a prefix.
func rendezvous(prefix uint64, id string) uint64 {
	const mix = 0x9e3779b97f4a7c15
	x := (xxhash.Sum64String(id) ^ prefix) * mix
	x ^= x >> 32
	return x * mix
}
