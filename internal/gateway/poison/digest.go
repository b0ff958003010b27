package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// DigestEntries returns the entries of a digest: recent crashes that this host
// detected, crashes of traits that may be held, and the traits of requests to which an
// upstream responded at this host. If not all fit, those of traits with the most
// crashes and the newest ones are kept.
//
// Scenario: the engines of an availability zone crash with hundreds of requests,
// most of which are never sent again, in a fleet of ninety hosts.
func (t *Table) DigestEntries(now time.Duration) ([]members.Crash, []members.Cleared) {
	if !t.Any() {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var crashes []members.Crash
	for trait, c := range t.byTrait {
		crashes = append(crashes, c.entries(trait, now)...)
	}
	slices.SortFunc(crashes, func(a, b members.Crash) int {
		return cmp.Or(
			cmp.Compare(len(t.byTrait[b.Request]), len(t.byTrait[a.Request])),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	cleared := make([]members.Cleared, 0, len(t.clearedHere))
	for trait, at := range t.clearedHere {
		cleared = append(cleared, members.Cleared{Request: trait, Age: now - at})
	}
	slices.SortFunc(cleared, func(a, b members.Cleared) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request))
	})
	return crashes[:min(len(crashes), maxDigestEntries)], cleared[:min(len(cleared), maxDigestEntries)]
}

// entries returns the newest crashes of a trait that are sent to peers.
func (c crashesByUpstream) entries(trait uint64, now time.Duration) []members.Crash {
	var entries []members.Crash
	for upstream, one := range c {
		if one.own && now-one.at <= crashSendTime || len(c) >= crashesToHold {
			entries = append(entries, members.Crash{Request: trait, Upstream: upstream, Age: now - one.at})
		}
	}
	slices.SortFunc(entries, func(a, b members.Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return entries[:min(len(entries), maxEntriesPerTrait)]
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
