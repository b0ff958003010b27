// Package view builds a host's view of configuration and upstreams from what it
// reads of the log, together with the age of each part. It does no I/O.
package view

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// Reports expire during a log outage although their upstreams may be alive. Those
// that are alive report again within two seconds of its end.
const (
	// outageAfter is the time without a response of the log that counts as an
	// outage.
	outageAfter = 2 * time.Second
	// lapseGrace is how long upstreams whose reports expired in an outage are
	// kept, counted from the first successful request after it. It is shorter
	// than two seconds, since that request is sent some time after the outage
	// ended and upstreams are dropped only at the next read: an upstream that
	// is gone must get no requests from two seconds after its report was
	// removed, including the pause between two reads.
	lapseGrace = 1300 * time.Millisecond
)

// upstreamState is an upstream of the view that is built.
type upstreamState struct {
	catalog.Member
	// lapsed is set while the report is missing after an outage of the log,
	// which does not show that the upstream is gone.
	lapsed bool
}

// Builder folds updates into the view of a host. It is not safe for concurrent
// use.
type Builder struct {
	document    *catalog.Document
	confirmedAt time.Duration
	readAt      time.Duration
	listedAt    time.Duration
	// outageEndedAt is the boot time at which the first successful request after
	// the last outage was sent, 0 if there was no outage.
	outageEndedAt time.Duration
	upstreams     map[string]*upstreamState
	excludedZones map[string]bool
	rollouts      map[string]catalog.Rollout
	operatorAt    topic.Position
	upstreamsAt   topic.Position
	// dirty is set when an update was applied after cached was built.
	dirty   bool
	changes []Change
	// cached is the view that was built last; nil if there is none or if Document
	// has changed since.
	cached *catalog.View
}

// Change describes a logged change of the view. Changes of the configuration and
// of other fields of reports are not among them.
type Change struct {
	// Subject is an upstream, an availability zone or a service.
	Subject string
	// Kind names the change; it is one of the constants below.
	Kind string
}

// The kinds of logged changes.
const (
	upstreamListed    = "upstream listed"
	upstreamDraining  = "upstream drains"
	upstreamGone      = "upstream gone"
	reportLapsed      = "report lapsed in an outage"
	upstreamRestarted = "upstream started again"
	zoneExcluded      = "zone taken out"
	zoneRestored      = "zone back"
	rolloutOrdered    = "rollout ordered"
	rolloutWithdrawn  = "rollout withdrawn"
)

// TakeChanges returns the logged changes since the last call.
func (b *Builder) TakeChanges() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

func (b *Builder) record(subject, what string) {
	b.changes = append(b.changes, Change{Subject: subject, Kind: what})
}

// NewBuilder returns a builder of an empty view.
func NewBuilder() *Builder {
	return &Builder{
		upstreams: map[string]*upstreamState{}, excludedZones: map[string]bool{},
		rollouts: map[string]catalog.Rollout{}, operatorAt: topic.Unread, upstreamsAt: topic.Unread, dirty: true,
		confirmedAt: catalog.NeverConfirmed,
	}
}

// ApplyOperator applies operator changes from the response to a request that was
// sent at the boot time requestedAt. It ignores an update older than one applied
// before. It reports whether the Document changed; changes of excluded zones and of
// rollouts do not count.
func (b *Builder) ApplyOperator(update catalog.OperatorUpdate, requestedAt time.Duration) bool {
	if update.Position().Before(b.operatorAt) {
		return false
	}
	b.operatorAt = update.Position()
	b.readAt = max(b.readAt, requestedAt)
	if !update.Unproven {
		b.confirmedAt = max(b.confirmedAt, requestedAt)
	}
	b.dirty = true
	if update.Whole {
		b.excludedZones = map[string]bool{}
		b.rollouts = map[string]catalog.Rollout{}
	}
	changed := false
	for _, change := range update.Changes {
		changed = b.applyOperatorChange(change) || changed
	}
	return changed
}

// applyOperatorChange applies one operator change and reports whether it replaced the
// Document.
func (b *Builder) applyOperatorChange(change catalog.OperatorChange) bool {
	switch {
	case change.Document != nil:
		if b.document != nil && change.Document.Version <= b.document.Version {
			return false
		}
		b.document = change.Document
		b.cached = nil // its lookup tables were built from the previous Document
		return true
	case change.Zone != "" && change.Removed:
		delete(b.excludedZones, change.Zone)
		b.record(change.Zone, zoneRestored)
	case change.Zone != "":
		b.excludedZones[change.Zone] = true
		b.record(change.Zone, zoneExcluded)
	case change.RolloutService != "" && change.Removed:
		delete(b.rollouts, change.RolloutService)
		b.record(change.RolloutService, rolloutWithdrawn)
	case change.RolloutService != "":
		b.rollouts[change.RolloutService] = change.Rollout
		b.record(change.RolloutService, rolloutOrdered)
	}
	return false
}

// ApplyUpstreams applies upstream reports from the response to a request that was
// sent at the boot time requestedAt. It ignores an update older than one applied
// before.
func (b *Builder) ApplyUpstreams(update catalog.UpstreamUpdate, requestedAt time.Duration) {
	if update.Position().Before(b.upstreamsAt) {
		return
	}
	if b.listedAt > 0 && requestedAt-b.listedAt > outageAfter {
		b.outageEndedAt = requestedAt
	}
	b.upstreamsAt = update.Position()
	b.listedAt = max(b.listedAt, requestedAt)
	b.dirty = true
	if update.Whole {
		b.dropUnlisted(update, requestedAt)
	}
	for _, change := range update.Changes {
		if change.Upstream == nil {
			b.handleRemoval(change.ID, requestedAt)
			continue
		}
		b.applyReport(*change.Upstream, requestedAt)
	}
	if requestedAt-b.outageEndedAt > lapseGrace {
		b.dropLapsed()
	}
}

func (b *Builder) dropUnlisted(update catalog.UpstreamUpdate, requestedAt time.Duration) {
	listed := map[string]bool{}
	for _, change := range update.Changes {
		listed[change.ID] = true
	}
	for id := range b.upstreams {
		if !listed[id] {
			b.handleRemoval(id, requestedAt)
		}
	}
}

// handleRemoval drops an upstream whose report was removed. If the report expired in
// an outage, it keeps the upstream as lapsed.
func (b *Builder) handleRemoval(id string, requestedAt time.Duration) {
	m := b.upstreams[id]
	if m == nil {
		return
	}
	// Only the first response after an outage contains removals that happened in
	// it. A draining upstream was about to end, so it is not kept.
	if b.outageEndedAt > 0 && requestedAt == b.outageEndedAt && !m.Draining {
		m.lapsed = true
		b.record(id, reportLapsed)
		return
	}
	delete(b.upstreams, id)
	b.record(id, upstreamGone)
}

func (b *Builder) dropLapsed() {
	for id, m := range b.upstreams {
		if m.lapsed {
			delete(b.upstreams, id)
			b.record(id, upstreamGone)
		}
	}
}

// applyReport applies an upstream's report. The remaining cold time in it is counted
// from requestedAt; if the same report is read again, ColdUntil stays.
func (b *Builder) applyReport(u catalog.Upstream, requestedAt time.Duration) {
	next := &upstreamState{Member: catalog.Member{Upstream: u}}
	if u.Cold > 0 {
		next.ColdUntil = requestedAt + u.Cold
	}
	old := b.upstreams[u.ID]
	switch {
	case old == nil:
		b.record(u.ID, upstreamListed)
	case old.Born != u.Born:
		b.record(u.ID, upstreamRestarted)
	case old.Cold == u.Cold:
		next.ColdUntil = old.ColdUntil
	}
	if u.Draining && (old == nil || !old.Draining) {
		b.record(u.ID, upstreamDraining)
	}
	b.upstreams[u.ID] = next
}

// View returns the view as an immutable value. It returns the same value until an
// update is applied.
func (b *Builder) View() *catalog.View {
	if !b.dirty && b.cached != nil {
		return b.cached
	}
	view := &catalog.View{
		Document: b.document, ConfirmedAt: b.confirmedAt, ReadAt: b.readAt, ListedAt: b.listedAt,
		Members: map[string][]*catalog.Member{}, ExcludedZones: map[string]bool{}, Rollouts: map[string]catalog.Rollout{},
	}
	if b.cached != nil {
		view.ReuseIndex(b.cached)
	} else {
		view.Index()
	}
	for _, m := range b.upstreams {
		copied := m.Member
		view.Members[m.Service] = append(view.Members[m.Service], &copied)
	}
	for _, members := range view.Members {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	for zone := range b.excludedZones {
		view.ExcludedZones[zone] = true
	}
	for service, rollout := range b.rollouts {
		view.Rollouts[service] = rollout
	}
	b.cached = view
	b.dirty = false
	return view
}
