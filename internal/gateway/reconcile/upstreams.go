// Package reconcile merges what a host knows with what it reads behind a log that came back
// from a copy. The copy lacks what was written last, which operators and upstreams write
// again some time later: until then the host's own knowledge is the newer one. It does no I/O.
package reconcile

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

const (
	// keepUpstreams is how long an upstream is kept that the log lacks. One that is alive reports
	// again within two seconds of the log's return, and one that is gone must get no requests
	// from then on, including the pause between two reads.
	keepUpstreams = 1300 * time.Millisecond
	// settlePeriod is the time behind a drill in which older reports than the known ones may
	// still be read, and for which removals are remembered. Copies are younger, and reports
	// expire sooner.
	settlePeriod = 2 * time.Minute
)

// upstream is an upstream as the host knows it.
type upstream struct {
	report *catalog.Upstream
	// keptUntil is when the upstream is dropped that the log lacks, 0 if the log has it.
	keptUntil time.Duration
	// removed is set when the report was removed, in removedIn at removedAt.
	removed   bool
	removedIn int64
	removedAt time.Duration
}

// Upstreams holds the upstreams that a host knows, also those that were removed lately. The
// zero value knows nothing.
type Upstreams struct {
	epoch int64
	// settledAt is when the order of reports no longer matters.
	settledAt time.Duration
	known     map[string]upstream
}

// Apply returns the update to apply in place of one that was read by a request sent at a boot
// time.
func (s *Upstreams) Apply(u catalog.UpstreamUpdate, requestedAt time.Duration) catalog.UpstreamUpdate {
	if s.known == nil {
		s.known = map[string]upstream{}
	}
	if u.Epoch > s.epoch {
		s.settledAt = requestedAt + settlePeriod
	}
	u.Changes = s.merge(u, requestedAt)
	s.epoch = max(s.epoch, u.Epoch)
	for _, change := range u.Changes {
		s.record(change, requestedAt)
	}
	u.Changes = append(u.Changes, s.drop(requestedAt)...)
	return u
}

// merge returns the changes of an update without outdated reports, and together with what is
// kept.
func (s *Upstreams) merge(u catalog.UpstreamUpdate, requestedAt time.Duration) []catalog.UpstreamChange {
	changes := make([]catalog.UpstreamChange, 0, len(u.Changes))
	listed := map[string]bool{}
	for _, change := range u.Changes {
		known, isKnown := s.known[change.ID]
		listed[change.ID] = true
		switch {
		case !isKnown || change.Upstream == nil || !s.outdated(known, change.Upstream, u, requestedAt):
			changes = append(changes, change)
		case u.Whole && !known.removed:
			changes = append(changes, catalog.UpstreamChange{ID: change.ID, Upstream: known.report})
		}
	}
	if u.Whole {
		changes = append(changes, s.unlisted(listed, u.Epoch > s.epoch, requestedAt)...)
	}
	return changes
}

// outdated reports whether a report is older than what is known of its upstream. Later, a lower
// number may also mean that the clock of an upstream was set back.
func (s *Upstreams) outdated(known upstream, report *catalog.Upstream, u catalog.UpstreamUpdate, requestedAt time.Duration) bool {
	if u.Epoch == 0 || requestedAt >= s.settledAt {
		return false
	}
	if known.removed && known.removedIn == u.Epoch {
		return false
	}
	if u.Whole && known.removed {
		// Followers of a reader don't know the number of the last report.
		return report.Born <= known.report.Born
	}
	if report.Draining && !known.report.Draining {
		return known.report.NewerThan(report)
	}
	endsDrain := known.report.Draining && !report.Draining
	if u.Whole && u.Epoch > s.epoch || endsDrain {
		return !report.NewerThan(known.report)
	}
	return known.report.NewerThan(report)
}

// unlisted returns the upstreams that are kept although a listing lacks them, and records that
// the others were removed.
func (s *Upstreams) unlisted(listed map[string]bool, rises bool, requestedAt time.Duration) []catalog.UpstreamChange {
	var kept []catalog.UpstreamChange
	for id, known := range s.known {
		if listed[id] || known.removed {
			continue
		}
		if rises {
			known.keptUntil = requestedAt + keepUpstreams
			s.known[id] = known
		}
		if known.keptUntil > requestedAt {
			kept = append(kept, catalog.UpstreamChange{ID: id, Upstream: known.report, Kept: true})
			continue
		}
		s.remove(id, requestedAt)
	}
	return kept
}

// record records a change that is applied.
func (s *Upstreams) record(change catalog.UpstreamChange, requestedAt time.Duration) {
	if change.Upstream == nil {
		s.remove(change.ID, requestedAt)
		return
	}
	next := upstream{report: change.Upstream}
	if change.Kept {
		next.keptUntil = requestedAt + keepUpstreams
		if known := s.known[change.ID]; known.keptUntil > 0 {
			next.keptUntil = known.keptUntil
		}
	}
	s.known[change.ID] = next
}

func (s *Upstreams) remove(id string, requestedAt time.Duration) {
	known, isKnown := s.known[id]
	if !isKnown || known.removed {
		return
	}
	s.known[id] = upstream{report: known.report, removed: true, removedIn: s.epoch, removedAt: requestedAt}
}

// drop removes the upstreams that did not report again in time, and forgets old removals.
func (s *Upstreams) drop(now time.Duration) []catalog.UpstreamChange {
	var dropped []catalog.UpstreamChange
	for id, known := range s.known {
		if known.removed && now-known.removedAt > settlePeriod {
			delete(s.known, id)
			continue
		}
		if known.keptUntil > 0 && known.keptUntil <= now {
			s.remove(id, now)
			dropped = append(dropped, catalog.UpstreamChange{ID: id})
		}
	}
	return dropped
}
