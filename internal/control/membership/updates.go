package membership

import "sort"

const (
	// maxUpdates bounds the updates of other hosts in one message.
	maxUpdates = 6
	// maxSends is how often this host passes one update on.
	maxSends = 6
)

// updates holds the changes that are still to be passed on, by host, with the
// number of times that each was sent.
type updates map[string]int

// add makes a change due again.
func (r updates) add(id string) { r[id] = 0 }

// take returns the hosts whose changes go into the next message: those that
// were sent least, then by ID.
func (r updates) take(exclude string) []string {
	ids := make([]string, 0, len(r))
	for id := range r {
		if id != exclude {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		if r[ids[i]] != r[ids[j]] {
			return r[ids[i]] < r[ids[j]]
		}
		return ids[i] < ids[j]
	})
	ids = ids[:min(maxUpdates, len(ids))]
	for _, id := range ids {
		if r[id]++; r[id] >= maxSends {
			delete(r, id)
		}
	}
	return ids
}
