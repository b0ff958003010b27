// Package view folds what a host reads about configuration and upstreams into
// one view, together with the age of each part. It does no I/O.
package view

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// How long removed upstreams are kept after the log was out. Reports that
// expired during an outage are back within two seconds of its end.
const (
	// outageAfter is the time without an answer that counts as an outage.
	outageAfter = 2 * time.Second
	// lapseGrace is how long after an outage the reports that went missing in it
	// may still come back. Those that leave for good must get nothing two
	// seconds after their report went, the pause between two reads included.
	lapseGrace = 1300 * time.Millisecond
)

type member struct {
	catalog.Member
	// lapsed is set while the report is missing without proof that the
	// upstream is gone.
	lapsed bool
}

// Builder is what a host believes.
type Builder struct {
	document   *catalog.Document
	provenAt   time.Duration
	listedAt   time.Duration
	outageEnd  time.Duration
	members    map[string]*member
	zonesOut   map[string]bool
	rollouts   map[string]catalog.Rollout
	operatorAt int64
	serversAt  int64
	dirty      bool
	notes      []Change
	index      *catalog.View
}

// Change tells of a change of belief.
type Change struct {
	// Subject is an upstream, an availability zone or a service.
	Subject string
	// What happened to it.
	What string
}

// The changes of belief.
const (
	noteListed    = "upstream listed"
	noteDraining  = "upstream drains"
	noteGone      = "upstream gone"
	noteLapsed    = "report lapsed in an outage"
	noteRestarted = "upstream started again"
	noteZoneOut   = "zone taken out"
	noteZoneIn    = "zone back"
	noteRollout   = "rollout ordered"
	noteNoRollout = "rollout withdrawn"
)

// TakeChanges returns the changes since the last call.
func (s *Builder) TakeChanges() []Change {
	notes := s.notes
	s.notes = nil
	return notes
}

func (s *Builder) note(subject, what string) {
	s.notes = append(s.notes, Change{Subject: subject, What: what})
}

// NewBuilder returns a state that knows nothing.
func NewBuilder() *Builder {
	return &Builder{
		members: map[string]*member{}, zonesOut: map[string]bool{},
		rollouts: map[string]catalog.Rollout{}, operatorAt: -1, serversAt: -1, dirty: true,
	}
}

// ApplyOperator takes in operator changes that answer a question sent at a boot
// time. It reports whether the configuration changed.
func (s *Builder) ApplyOperator(update catalog.OperatorUpdate, asked time.Duration) bool {
	if update.Next < s.operatorAt {
		return false
	}
	s.operatorAt = update.Next
	s.provenAt = max(s.provenAt, asked)
	s.dirty = true
	if update.Whole {
		s.zonesOut = map[string]bool{}
		s.rollouts = map[string]catalog.Rollout{}
	}
	changed := false
	for _, change := range update.Changes {
		changed = s.operatorChange(change) || changed
	}
	return changed
}

func (s *Builder) operatorChange(change catalog.OperatorChange) bool {
	switch {
	case change.Document != nil:
		if s.document != nil && change.Document.Version <= s.document.Version {
			return false
		}
		s.document = change.Document
		s.index = nil
		return true
	case change.Zone != "" && change.Removed:
		delete(s.zonesOut, change.Zone)
		s.note(change.Zone, noteZoneIn)
	case change.Zone != "":
		s.zonesOut[change.Zone] = true
		s.note(change.Zone, noteZoneOut)
	case change.RolloutService != "" && change.Removed:
		delete(s.rollouts, change.RolloutService)
		s.note(change.RolloutService, noteNoRollout)
	case change.RolloutService != "":
		s.rollouts[change.RolloutService] = change.Rollout
		s.note(change.RolloutService, noteRollout)
	}
	return false
}

// ApplyUpstreams takes in reports that answer a question sent at a boot time.
func (s *Builder) ApplyUpstreams(update catalog.UpstreamUpdate, asked time.Duration) {
	if update.Next < s.serversAt {
		return
	}
	if s.listedAt > 0 && asked-s.listedAt > outageAfter {
		s.outageEnd = asked
	}
	s.serversAt = update.Next
	s.listedAt = max(s.listedAt, asked)
	s.dirty = true
	if update.Whole {
		s.dropUnlisted(update, asked)
	}
	for _, change := range update.Changes {
		if change.Upstream == nil {
			s.remove(change.ID, asked)
			continue
		}
		s.report(*change.Upstream, asked)
	}
	if asked-s.outageEnd > lapseGrace {
		s.dropLapsed()
	}
}

func (s *Builder) dropUnlisted(update catalog.UpstreamUpdate, asked time.Duration) {
	listed := map[string]bool{}
	for _, change := range update.Changes {
		listed[change.ID] = true
	}
	for id := range s.members {
		if !listed[id] {
			s.remove(id, asked)
		}
	}
}

func (s *Builder) remove(id string, asked time.Duration) {
	m := s.members[id]
	if m == nil {
		return
	}
	// Only what the first answer after an outage brings happened in it.
	if s.outageEnd > 0 && asked == s.outageEnd && !m.Draining {
		m.lapsed = true
		s.note(id, noteLapsed)
		return
	}
	delete(s.members, id)
	s.note(id, noteGone)
}

func (s *Builder) dropLapsed() {
	for id, m := range s.members {
		if m.lapsed {
			delete(s.members, id)
			s.note(id, noteGone)
		}
	}
}

// report takes in an upstream's own report. An upstream that is cold stays so
// for what it said, counted from when the question was sent.
func (s *Builder) report(u catalog.Upstream, asked time.Duration) {
	next := &member{Member: catalog.Member{Upstream: u}}
	if u.Cold > 0 {
		next.ColdUntil = asked + u.Cold
	}
	old := s.members[u.ID]
	switch {
	case old == nil:
		s.note(u.ID, noteListed)
	case old.Born != u.Born:
		s.note(u.ID, noteRestarted)
	case old.Cold == u.Cold:
		next.ColdUntil = old.ColdUntil
	}
	if u.Draining && (old == nil || !old.Draining) {
		s.note(u.ID, noteDraining)
	}
	s.members[u.ID] = next
}

// View returns the beliefs as an immutable value.
func (s *Builder) View() *catalog.View {
	if !s.dirty && s.index != nil {
		return s.index
	}
	view := &catalog.View{
		Document: s.document, ConfirmedAt: s.provenAt, ListedAt: s.listedAt,
		Members: map[string][]*catalog.Member{}, ExcludedZones: map[string]bool{}, Rollouts: map[string]catalog.Rollout{},
	}
	if s.index != nil {
		view.ReuseIndex(s.index)
	} else {
		view.Index()
	}
	for _, m := range s.members {
		copied := m.Member
		view.Members[m.Service] = append(view.Members[m.Service], &copied)
	}
	for _, members := range view.Members {
		sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	}
	for zone := range s.zonesOut {
		view.ExcludedZones[zone] = true
	}
	for service, rollout := range s.rollouts {
		view.Rollouts[service] = rollout
	}
	s.index = view
	s.dirty = false
	return view
}
