// Package advisory keeps what upstreams say in their responses about the requests
// that they want: none any more, since they leave, or none for a while. It does
// no I/O and reads no clock.
package advisory

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// Bounds of what is kept.
const (
	// maxPause bounds a pause, so that an absurd one does not close an upstream
	// for good.
	maxPause = 2 * time.Minute
	// retention is how long a leaving instance is remembered after it was last
	// listed. An instance may be missing from the list for the time of an outage.
	retention = 10 * time.Minute
	// maxReported bounds the instances reported to peers.
	maxReported = 256
)

// Instance identifies one process of an upstream. An upstream that starts again
// under its former ID is another instance.
type Instance uint64

// InstanceOf returns the instance that a member stands for.
func InstanceOf(m *catalog.Member) Instance {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(m.ID)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(strconv.FormatInt(m.Born, 10))
	return Instance(digest.Sum64())
}

// State is what an instance has said.
type State struct {
	// Leaving is set when it takes no further requests.
	Leaving bool
	// PausedFor is the time left in which it takes none, 0 if it takes requests.
	PausedFor time.Duration
}

// Closed reports whether the instance takes no requests at present.
func (s State) Closed() bool { return s.Leaving || s.PausedFor > 0 }

// record is what is kept of an instance.
type record struct {
	leaving bool
	// own is set when a response to this host said that the instance leaves, and not
	// set when only a peer said so. Hosts pass on only what they know themselves.
	own         bool
	pausedUntil time.Duration
	// listedAt is the boot time at which the instance was last listed, or first
	// recorded.
	listedAt time.Duration
}

// pause is the latest one that a process under an ID asked for.
type pause struct {
	until time.Duration
	// saidAtMillis is the time of day at which it was said, in Unix milliseconds.
	saidAtMillis int64
}

// clockMargin is how far the times of day of hosts and upstreams may differ.
const clockMargin = 100 * time.Millisecond

// Table keeps the advisories of all instances. It is safe for concurrent use.
// Boot time counts suspends, so a host that was suspended acts on what is left of
// a pause.
type Table struct {
	mu sync.Mutex
	// records is replaced on every change, so that requests read it without a
	// lock.
	records atomic.Pointer[map[Instance]record]
	// pauses holds the latest pauses by the IDs of upstreams, and is replaced likewise.
	pauses atomic.Pointer[map[string]pause]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.records.Store(&map[Instance]record{})
	t.pauses.Store(&map[string]pause{})
	return t
}

// update replaces the record of an instance by what change makes of it.
func (t *Table) update(i Instance, now time.Duration, change func(*record)) {
	records := maps.Clone(*t.records.Load())
	r, known := records[i]
	if !known {
		r.listedAt = now
	}
	change(&r)
	records[i] = r
	t.records.Store(&records)
}

// Leave records a response to this host in which an instance says that it leaves. It
// reports whether this host did not know that yet.
func (t *Table) Leave(i Instance, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := (*t.records.Load())[i]; r.own {
		return false
	}
	isNew := false
	t.update(i, now, func(r *record) {
		isNew = !r.leaving
		r.leaving, r.own = true, true
	})
	return isNew
}

// MergePeer records the instances of which a peer reports that they leave.
func (t *Table) MergePeer(leaving []Instance, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range leaving {
		if !(*t.records.Load())[i].leaving {
			t.update(i, now, func(r *record) { r.leaving = true })
		}
	}
}

// Pause records that a member takes no requests for a time, as it said at a time of day, and
// returns the time that applies. A shorter pause does not end a longer one.
func (t *Table) Pause(m *catalog.Member, d, now time.Duration, wall time.Time) time.Duration {
	d = min(d, maxPause)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(InstanceOf(m), now, func(r *record) { r.pausedUntil = max(r.pausedUntil, now+d) })
	pauses := maps.Clone(*t.pauses.Load())
	pauses[m.ID] = pause{until: max(pauses[m.ID].until, now+d), saidAtMillis: wall.UnixMilli()}
	t.pauses.Store(&pauses)
	return d
}

// State returns what an instance has said.
func (t *Table) State(m *catalog.Member, now time.Duration) State {
	records := *t.records.Load()
	if len(records) == 0 {
		return State{}
	}
	r := records[InstanceOf(m)]
	return State{Leaving: r.leaving, PausedFor: max(max(r.pausedUntil, t.pausedUnlisted(m))-now, 0)}
}

// pausedUnlisted returns the end of the pause that a member asked for before its entry was read.
//
// Scenario: an upstream starts again under its ID and asks for a pause while the entry of its former
// process is listed.
func (t *Table) pausedUnlisted(m *catalog.Member) time.Duration {
	p, known := (*t.pauses.Load())[m.ID]
	if !known || m.Born == 0 || p.saidAtMillis+clockMargin.Milliseconds() < m.Born {
		return 0
	}
	return p.until
}

// Leaving returns what this host reports to its peers: the instances that leave
// according to their responses to this host.
func (t *Table) Leaving() []Instance {
	var leaving []Instance
	for i, r := range *t.records.Load() {
		if r.own && len(leaving) < maxReported {
			leaving = append(leaving, i)
		}
	}
	return leaving
}

// Retain drops what is no longer needed: pauses that are over, and leaving
// instances that were not listed for a long time.
func (t *Table) Retain(listed map[Instance]bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.records.Load()
	if len(old) == 0 {
		return
	}
	records := make(map[Instance]record, len(old))
	for i, r := range old {
		if listed[i] {
			r.listedAt = now
		}
		if now < r.pausedUntil || r.leaving && now-r.listedAt < retention {
			records[i] = r
		}
	}
	t.records.Store(&records)
	pauses := maps.Clone(*t.pauses.Load())
	maps.DeleteFunc(pauses, func(_ string, p pause) bool { return now >= p.until })
	t.pauses.Store(&pauses)
}
