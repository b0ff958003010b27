package members

import (
	"maps"
	"time"
)

// RemoteLoads returns the load of all other live hosts by the hash of the upstream's
// ID.
func (t *Table) RemoteLoads(now time.Duration) map[uint32]LoadSum {
	total := newSums()
	if fleet := t.newestFleetSummary(now); t.large() && !t.tree.wasHub && fleet != nil {
		total.addSummary(fleet, 0)
		for _, own := range t.reportedOwn().inFlight {
			sum, known := total.loads[own.Upstream]
			if !known {
				continue
			}
			sum.Requests -= min(uint32(own.Requests), sum.Requests)
			sum.Tokens -= min(own.Tokens, sum.Tokens)
			total.loads[own.Upstream] = sum
		}
		return total.loads
	}
	t.addPeers(total, now)
	t.addOtherZones(total, now)
	return total.loads
}

// newestFleetSummary returns the newest summary of a hub of this zone, or nil.
func (t *Table) newestFleetSummary(now time.Duration) *Summary {
	var newest received
	for _, s := range t.tree.summaries {
		if s.Fleet && s.Zone == t.self.Zone && now-s.at <= summaryTTL && s.at >= newest.at {
			newest = s
		}
	}
	return newest.Summary
}

// addPeers adds the digests of live hosts; in a larger fleet, of those in this zone.
func (t *Table) addPeers(total *sums, now time.Duration) {
	large := t.large()
	for _, c := range t.order {
		if !c.isAlive(now) || large && !t.isMember(c, now) {
			continue
		}
		p := c.peer
		total.addLoads(p.InFlight, p.Suspects)
		total.addEvidence(p.Crashes, p.Cleared, p.Extension.Leaving, now-c.directAt)
	}
}

// isMember reports whether a host is in this zone and sends digests to this host.
func (t *Table) isMember(c *contact, now time.Duration) bool {
	return c.peer != nil && c.peer.Zone == t.self.Zone && c.directAt > 0 && now-c.directAt <= summaryTTL
}

// addOtherZones adds the newest summary of each other zone.
func (t *Table) addOtherZones(total *sums, now time.Duration) {
	for _, s := range t.otherZones(now) {
		total.addSummary(s.Summary, now-s.at)
	}
}

// otherZones returns the newest summary of each other zone.
func (t *Table) otherZones(now time.Duration) map[string]received {
	newest := map[string]received{}
	for _, s := range t.tree.summaries {
		if !s.Fleet && s.Zone != t.self.Zone && now-s.at <= summaryTTL && s.at >= newest[s.Zone].at {
			newest[s.Zone] = s
		}
	}
	return newest
}

// Summary returns this host's summary of a scope. own is its own digest.
func (t *Table) Summary(scope Scope, own *Digest, now time.Duration) *Summary {
	s := &Summary{
		Hub: t.self.Address, Zone: t.self.Zone, Incarnation: own.Incarnation + t.tree.term, Sequence: own.Sequence,
		Fleet: scope == FleetScope,
		Alive: HostStates{}.add(HostState{ID: HostID(t.self.Address), Flags: flagsOf(own)}),
		Hosts: []HostEntry{{Digest: *own.Trim(Heartbeat), Extension: own.Trim(Heartbeat).Extension}},
	}
	total := newSums()
	total.addLoads(own.InFlight, own.Suspects)
	total.addEvidence(own.Crashes, own.Cleared, own.Extension.Leaving, 0)
	t.addPeers(total, now)
	s.QuotaUsed = addUse(maps.Clone(t.tree.zoneUse), own.QuotaUsed)
	var listed []*contact
	for _, c := range t.order {
		if t.isMember(c, now) {
			s.Alive = s.Alive.add(HostState{ID: HostID(c.address), Flags: flagsOf(&c.peer.Digest)})
			listed = append(listed, c)
		}
	}
	if s.Fleet {
		for zone, other := range t.otherZones(now) {
			total.addSummary(other.Summary, now-other.at)
			for state := range other.Alive.all() {
				s.Alive = s.Alive.add(state)
				if c := t.byID[state.ID]; c != nil && c.peer != nil {
					listed = append(listed, c)
				}
			}
			if totals := t.tree.hubUse[zone]; totals != nil {
				addUse(s.QuotaUsed, totals.used)
			}
		}
	}
	// In a fast exchange, each host gets heartbeats with every second summary.
	if !t.fast || now%summaryInterval < summaryInterval/2 {
		s.Hosts = append(s.Hosts, t.entries(scope, listed, now)...)
	}
	s.Observed = t.observations(scope, own, now)
	total.fill(s)
	return s
}

// entries returns the heartbeats of the listed hosts that hold duties or have a new
// process, and of some others in turn.
func (t *Table) entries(scope Scope, listed []*contact, now time.Duration) []HostEntry {
	var entries []HostEntry
	inTurn := map[*contact]bool{}
	count := entriesInTurn
	if scope == FleetScope && t.hasNewMember(now) {
		count = maxSummaryEntries
	}
	for k := range min(count, len(listed)) {
		inTurn[listed[(t.tree.turn[scope]+k)%len(listed)]] = true
	}
	t.tree.turn[scope] += count
	for _, c := range listed {
		announced := now-c.changedAt <= announceFor && len(entries) < maxSummaryEntries
		if c.peer.LedgerToken > 0 || announced || inTurn[c] {
			heartbeat := c.peer.Trim(Heartbeat)
			heartbeat.Extension.Leaving = nil
			entries = append(entries, HostEntry{Digest: *heartbeat, Extension: heartbeat.Extension})
		}
	}
	return entries
}

// maxSummaryEntries bounds the new processes in a summary, and the hosts in turn
// while a host of the zone is new and knows none.
const maxSummaryEntries = 40

// hasNewMember reports whether a host of this zone has a new process.
func (t *Table) hasNewMember(now time.Duration) bool {
	for _, c := range t.order {
		if c.peer != nil && c.peer.Zone == t.self.Zone && now-c.changedAt <= announceFor {
			return true
		}
	}
	return false
}
