// Package rendezvous chooses by rendezvous (highest random weight) hashing:
// hosts with the same list make the same choice, and a change of the list moves
// only what belonged to the host that came or went.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a candidate for a key.
func Weight(key, candidate string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(candidate)
	return h.Sum64()
}

// First returns the candidate of the highest weight, or "" if there is none.
func First(key string, candidates []string) string {
	first, highest := "", uint64(0)
	for _, candidate := range candidates {
		if weight := Weight(key, candidate); first == "" || weight > highest {
			first, highest = candidate, weight
		}
	}
	return first
}

// Order returns the candidates by falling weight.
func Order(key string, candidates []string) []string {
	order := append([]string(nil), candidates...)
	sort.Slice(order, func(i, j int) bool { return Weight(key, order[i]) > Weight(key, order[j]) })
	return order
}
