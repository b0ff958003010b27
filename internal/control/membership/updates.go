package membership

import "sort"

const (
	// maxUpdates bounds the updates about other hosts in one message, except the
	// initial states.
	maxUpdates = 6
	// maxSends is how many times this host sends one update.
	maxSends = 6
)

// updates holds the hosts whose changes are still to be gossiped, with the number
// of times that each was sent.
type updates map[string]int

// add queues a host's change, also if an earlier one was sent.
func (u updates) add(id string) { u[id] = 0 }

// take returns the hosts whose changes go into the next message, without the
// excluded one: those sent least often first, then by ID.
func (u updates) take(exclude string) []string {
	ids := make([]string, 0, len(u))
	for id := range u {
		if id != exclude {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		if u[ids[i]] != u[ids[j]] {
			return u[ids[i]] < u[ids[j]]
		}
		return ids[i] < ids[j]
	})
	ids = ids[:min(maxUpdates, len(ids))]
	for _, id := range ids {
		if u[id]++; u[id] >= maxSends {
			delete(u, id)
		}
	}
	return ids
}
