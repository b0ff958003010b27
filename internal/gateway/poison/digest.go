package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// DigestEntries returns the entries of a digest: recent crashes that this host
// detected, crashes of traits that may be held, and the traits of requests to which an
// upstream responded at this host. If not all crashes fit, the newest that this host
// detected are kept, of equally new ones those of traits with the most crashes, and the
// others take turns in the rest.
//
// Scenario: the engines of an availability zone crash with hundreds of requests,
// most of which are never sent again, in a fleet of ninety hosts.
//
// Scenario: several parts that crash engines are held, and another one begins to.
func (t *Table) DigestEntries(now time.Duration) ([]members.Crash, []members.Cleared) {
	if !t.Any() {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	recent, held := t.crashEntries(now)
	first := min(len(recent), maxDigestEntries-entriesInTurn)
	crashes := append(slices.Clone(recent[:first]), t.inTurn(append(recent[first:], held...), maxDigestEntries-first)...)
	cleared := make([]members.Cleared, 0, len(t.clearedHere))
	for trait, at := range t.clearedHere {
		cleared = append(cleared, members.Cleared{Request: trait, Age: now - at})
	}
	slices.SortFunc(cleared, func(a, b members.Cleared) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request))
	})
	return crashes, cleared[:min(len(cleared), maxDigestEntries)]
}

// crashEntries returns the crashes that this host detected recently, the newest first, and
// the others of traits that may be held.
func (t *Table) crashEntries(now time.Duration) (recent, held []members.Crash) {
	for trait, c := range t.byTrait {
		for _, entry := range c.newestEntries(trait, now) {
			if c[entry.Upstream].own && entry.Age <= crashSendTime {
				recent = append(recent, entry)
			} else if len(c) >= crashesToHold {
				held = append(held, entry)
			}
		}
	}
	byAge := func(a, b members.Crash) int {
		return cmp.Or(
			cmp.Compare(a.Age, b.Age), cmp.Compare(len(t.byTrait[b.Request]), len(t.byTrait[a.Request])),
			cmp.Compare(a.Request, b.Request), cmp.Compare(a.Upstream, b.Upstream),
		)
	}
	slices.SortFunc(recent, byAge)
	slices.SortFunc(held, byAge)
	return recent, held
}

// newestEntries returns the newest crashes of a trait.
func (c crashesByUpstream) newestEntries(trait uint64, now time.Duration) []members.Crash {
	var entries []members.Crash
	for upstream, one := range c {
		entries = append(entries, members.Crash{Request: trait, Upstream: upstream, Age: now - one.at})
	}
	slices.SortFunc(entries, func(a, b members.Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return entries[:min(len(entries), maxEntriesPerTrait)]
}

// inTurn returns at most count of the entries, others at each call.
func (t *Table) inTurn(entries []members.Crash, count int) []members.Crash {
	if len(entries) <= count {
		return entries
	}
	var some []members.Crash
	for range count {
		some = append(some, entries[t.turn%len(entries)])
		t.turn++
	}
	return some
}

// MergePeer merges the entries of a peer's digest.
func (t *Table) MergePeer(crashes []members.Crash, cleared []members.Cleared, now time.Duration) {
	if len(crashes)+len(cleared) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range cleared {
		if age := max(one.Age, 0); age <= clearedTTL {
			t.clear(one.Request, now-age)
		}
	}
	for _, one := range crashes {
		if age := max(one.Age, 0); age < confirmedTTL {
			t.addCrash(one.Request, one.Upstream, crash{at: now - age})
		}
	}
}
