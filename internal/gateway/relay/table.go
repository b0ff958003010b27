package relay

import (
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// removalRetention is the number of offsets for which a table keeps the removal
// of an entry. Followers that are further behind get the whole table.
const removalRetention = 4096

// changeKind defines how a table handles one type of change.
type changeKind[C any] struct {
	// key returns the key of the entry that a change sets or removes.
	key func(C) string
	// removal returns the change that removes the entry set by last, and whether
	// such an entry can be removed at all.
	removal func(last C) (C, bool)
	// isRemoval reports whether a change is a removal.
	isRemoval func(C) bool
	// redundant reports whether followers that have the change before do not need
	// the one after.
	redundant func(before, after C) bool
}

type entry[C any] struct {
	change C
	// offset is the one after the read that returned the change.
	offset int64
}

// table holds the newest change of each key of a topic.
type table[C any] struct {
	kind    changeKind[C]
	entries map[string]entry[C]
	// next is the offset from which to read next, -1 before the first read. All
	// removals since removalsFrom are known.
	next, removalsFrom int64
	// epoch is the epoch of next.
	epoch int64
}

func newTable[C any](k changeKind[C]) *table[C] {
	return &table[C]{kind: k, entries: map[string]entry[C]{}, next: -1}
}

// accepts reports whether an update is at least as new as the table and can be applied to
// it: nothing is known of what precedes the changes of a later epoch, unless they are whole.
// A negative offset means that nothing was read.
func (t *table[C]) accepts(u catalog.Update[C]) bool {
	if u.Next < 0 || u.Position().Before(t.position()) {
		return false
	}
	return u.Whole || u.Epoch == t.epoch
}

// apply applies an update and reports whether followers must be notified.
func (t *table[C]) apply(u catalog.Update[C]) bool {
	changed := u.Epoch != t.epoch
	if changed {
		t.restamp(u.Next)
	}
	t.next, t.epoch = u.Next, u.Epoch
	if u.Whole {
		// Entries that were added and removed since the last read are unknown.
		t.removalsFrom = u.Next
		changed = t.removeMissing(u.Changes) || changed
	}
	for _, change := range u.Changes {
		changed = t.put(change) || changed
	}
	t.pruneRemovals()
	return changed
}

// restamp gives all entries the same offset, that at which an epoch is first read.
func (t *table[C]) restamp(offset int64) {
	for key, e := range t.entries {
		e.offset = offset
		t.entries[key] = e
	}
}

// position returns the position from which to read next.
func (t *table[C]) position() topic.Position {
	if t.next < 0 {
		return topic.Unread
	}
	return topic.Position{Epoch: t.epoch, Offset: t.next}
}

func (t *table[C]) put(change C) bool {
	key := t.kind.key(change)
	if old, known := t.entries[key]; known && t.kind.redundant(old.change, change) {
		return false
	}
	t.entries[key] = entry[C]{change: change, offset: t.next}
	return true
}

func (t *table[C]) removeMissing(changes []C) bool {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		listed[t.kind.key(change)] = true
	}
	changed := false
	for key, e := range t.entries {
		if removal, removable := t.kind.removal(e.change); removable && !listed[key] {
			changed = t.put(removal) || changed
		}
	}
	return changed
}

// pruneRemovals drops removals older than removalRetention.
func (t *table[C]) pruneRemovals() {
	for key, e := range t.entries {
		if t.kind.isRemoval(e.change) && e.offset < t.next-removalRetention {
			t.removalsFrom = max(t.removalsFrom, e.offset)
			delete(t.entries, key)
		}
	}
}

// hasChanges reports whether a follower that has read up to a position lacks changes.
func (t *table[C]) hasChanges(from topic.Position) bool {
	if t.next < 0 || t.position().Before(from) {
		return false
	}
	if t.lacksRemovals(from) {
		return true
	}
	for _, e := range t.entries {
		if e.offset > from.Offset {
			return true
		}
	}
	return false
}

// lacksRemovals reports whether a follower that has read up to a position needs the whole
// table to know what was removed since.
func (t *table[C]) lacksRemovals(from topic.Position) bool {
	return from.Epoch != t.epoch || from.Offset < t.removalsFrom
}

// updateSince returns the changes that a follower lacks that has read up to a position.
func (t *table[C]) updateSince(from topic.Position) catalog.Update[C] {
	u := catalog.Update[C]{Next: t.next, Epoch: t.epoch, Whole: t.next >= 0 && t.lacksRemovals(from)}
	for _, e := range t.entries {
		missing := e.offset > from.Offset
		if u.Whole {
			missing = !t.kind.isRemoval(e.change)
		}
		if missing {
			u.Changes = append(u.Changes, e.change)
		}
	}
	return u
}
