package members

import (
	"maps"
	"time"
)

// ownReport is what this host reported of itself.
type ownReport struct {
	at       time.Duration
	inFlight []UpstreamLoad
	used     map[string]float64
}

// hubTotals follows what a zone or the fleet used by the totals of several hubs, each
// of which began to count at another time.
type hubTotals struct {
	// used is the highest total by customer, counted from the first summary.
	used map[string]float64
	// before is what was used when a hub's term was first heard, less its total.
	before map[hubTerm]map[string]float64
	// heardAt is when each hub was last heard.
	heardAt map[string]time.Duration
}

type hubTerm struct {
	hub         string
	incarnation uint64
}

func newHubTotals() *hubTotals {
	return &hubTotals{used: map[string]float64{}, before: map[hubTerm]map[string]float64{}, heardAt: map[string]time.Duration{}}
}

// add applies the totals of a hub and returns what was used since the last call. The
// totals of a hub that was cut off are behind those of the others; once it is the
// only one, it counts from where they ended.
func (h *hubTotals) add(term hubTerm, totals map[string]float64, now time.Duration) map[string]float64 {
	before, known := h.before[term]
	if !known {
		maps.DeleteFunc(h.before, func(old hubTerm, _ map[string]float64) bool { return old.hub == term.hub })
		before = map[string]float64{}
		h.before[term] = before
	}
	h.heardAt[term.hub] = now
	alone := true
	for hub, at := range h.heardAt {
		alone = alone && (hub == term.hub || now-at > summaryTTL)
	}
	used := map[string]float64{}
	for customer, total := range totals {
		if _, counted := before[customer]; !counted {
			// A customer that the hub did not list before has used all of it since.
			before[customer] = h.used[customer]
			if !known {
				before[customer] -= total
			}
		}
		grown := total + before[customer] - h.used[customer]
		switch {
		case grown > 0:
			used[customer] = grown
			h.used[customer] += grown
		case alone:
			before[customer] -= grown
		}
	}
	return used
}

// RecordOwn records the digest that this host sends of itself.
func (t *Table) RecordOwn(d *Digest, now time.Duration) {
	t.tree.own = append(t.tree.own, ownReport{at: now, inFlight: d.InFlight, used: d.QuotaUsed})
	for len(t.tree.own) > 1 && now-t.tree.own[1].at >= t.ownDelay() {
		t.tree.own = t.tree.own[1:]
	}
}

// reportedOwn returns what this host reported of itself about ownDelay() ago.
func (t *Table) reportedOwn() ownReport {
	if len(t.tree.own) == 0 {
		return ownReport{}
	}
	return t.tree.own[0]
}

// countUse counts what a host of this zone used since its last digest, while this
// host is a hub.
func (t *Table) countUse(p *Peer, now time.Duration) {
	if !t.tree.wasHub || p.Zone != t.self.Zone || p.Detail < Load {
		return
	}
	// All that a process used counts that began in this term.
	before, known := t.tree.processUse[p.Incarnation]
	known = known || p.Extension.Uptime < now-t.tree.termFrom
	t.tree.processUse[p.Incarnation] = p.QuotaUsed
	if !known {
		return
	}
	for customer, total := range p.QuotaUsed {
		grown := total - before[customer]
		t.tree.zoneUse[customer] += grown
		t.tree.peerUse[customer] += grown
	}
}

// countHubUse counts what was used by the totals of a hub: a hub follows those of
// other zones, any other host those of the fleet, which contain its own use.
func (t *Table) countHubUse(s *Summary, now time.Duration) {
	key := s.Zone
	if s.Fleet {
		key = ""
	}
	if !t.follows(s) {
		return
	}
	totals := t.tree.hubUse[key]
	if totals == nil {
		totals = newHubTotals()
		t.tree.hubUse[key] = totals
	}
	for customer, amount := range totals.add(hubTerm{s.Hub, s.Incarnation}, s.QuotaUsed, now) {
		t.tree.peerUse[customer] += amount
	}
	if !s.Fleet {
		return
	}
	for customer, total := range t.reportedOwn().used {
		t.tree.peerUse[customer] -= total - t.tree.ownCounted[customer]
		t.tree.ownCounted[customer] = total
	}
}

// PeerUse returns what all other hosts used of each customer's quota since this
// process began to listen; nil in a small fleet, where digests tell it.
func (t *Table) PeerUse() map[string]float64 {
	if !t.large() {
		return nil
	}
	return maps.Clone(t.tree.peerUse)
}

func addUse(sum, more map[string]float64) map[string]float64 {
	for customer, amount := range more {
		sum[customer] += amount
	}
	return sum
}
