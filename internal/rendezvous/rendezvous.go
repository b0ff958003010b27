// Package rendezvous implements rendezvous (highest random weight) hashing:
// hosts with the same list of candidates make the same choice, and a change of
// the list moves only the keys of the candidates added or removed.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a candidate for a key.
func Weight(key, candidate string) uint64 {
	// One call for a short text takes a fraction of the time of a digest, and choices of
	// upstreams need a weight of each.
	var buffer [maxShort]byte
	if len(key)+1+len(candidate) <= len(buffer) {
		data := append(append(append(buffer[:0], key...), 0), candidate...)
		return xxhash.Sum64(data)
	}
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(candidate)
	return h.Sum64()
}

// maxShort is the length up to which a key with a candidate is hashed in one call.
const maxShort = 128

// First returns the candidate with the highest weight, or "" if there is none.
func First(key string, candidates []string) string {
	first, highest := "", uint64(0)
	for _, candidate := range candidates {
		if weight := Weight(key, candidate); first == "" || weight > highest {
			first, highest = candidate, weight
		}
	}
	return first
}

// Rank returns the number of candidates that have a higher weight than member,
// which is the index of member in Order.
func Rank(key, member string, candidates []string) int {
	own := Weight(key, member)
	rank := 0
	for _, candidate := range candidates {
		if Weight(key, candidate) > own {
			rank++
		}
	}
	return rank
}

// Order returns the candidates in order of descending weight.
func Order(key string, candidates []string) []string {
	order := append([]string(nil), candidates...)
	sort.Slice(order, func(i, j int) bool { return Weight(key, order[i]) > Weight(key, order[j]) })
	return order
}
