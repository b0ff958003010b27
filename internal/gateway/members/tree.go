package members

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// The shape and timing of the tree.
const (
	// MaxMeshHosts is the largest number of hosts that all send full digests to
	// each other; a larger fleet forms a tree.
	MaxMeshHosts = 16
	// hubsPerZone is the number of hubs of an availability zone, so that one may
	// fail.
	hubsPerZone = 2
	// summaryInterval is the time between two summaries of a hub to a host;
	// standbyInterval that of the zone's further hubs to hosts of the zone.
	summaryInterval = 200 * time.Millisecond
	standbyInterval = 600 * time.Millisecond
	// fullInterval is the time between two full digests to a host that may need
	// them. Usage is settled 1.5 s after the end of its window. A host that has
	// counted requests tells the holder of the duties after countedInterval: what is
	// in no ledger is lost when all hosts lose power together.
	fullInterval    = time.Second
	countedInterval = 200 * time.Millisecond
	// summaryTTL is how long a summary counts.
	summaryTTL = deadIntervals * digestInterval
	// shownFor is how long a host counts as alive that was in a summary, while no
	// hub is heard: in that time the zone has found another hub. A host that the
	// hubs list no more is down after delistedAfter.
	shownFor      = 2500 * time.Millisecond
	delistedAfter = 500 * time.Millisecond
	// failedHubFor is how long a hub that was not heard is passed over.
	failedHubFor = 5 * time.Second
	// announceFor is how long a new process is in each summary, and entriesInTurn
	// the number of further hosts in each.
	announceFor   = 2 * time.Second
	entriesInTurn = 4
	// placeInterval is the time for which a place in the tree is kept.
	placeInterval = 250 * time.Millisecond
	// triedAtOnce is the number of hosts that are tried at once in a zone whose hubs
	// are not known.
	triedAtOnce = 4
	// fastDigestInterval and fastSummaryInterval are the times between two digests to a
	// hub, and between two summaries of a first hub, in a fleet that exchanges its load
	// fast.
	fastDigestInterval  = 50 * time.Millisecond
	fastSummaryInterval = 100 * time.Millisecond
)

// hubKey is the rendezvous hashing key that ranks hosts of the same strength as hubs.
const hubKey = "hub"

// Scope is the set of hosts that a summary covers.
type Scope uint8

// The scopes of summaries.
const (
	// NoScope marks a digest.
	NoScope Scope = iota
	// ZoneScope covers the hosts of the hub's zone.
	ZoneScope
	// FleetScope covers all hosts.
	FleetScope
)

// PropagationDelay returns how much later the load of a host reaches its peers than in
// a small fleet; fast is set if hosts exchange their load fast.
func PropagationDelay(hosts int, fast bool) time.Duration {
	switch {
	case hosts <= MaxMeshHosts:
		return 0
	case fast:
		return fastDigestInterval + fastSummaryInterval
	}
	return digestInterval + summaryInterval
}

// SetFastExchange sets whether hosts of a larger fleet exchange their load at short
// intervals.
//
// Load pattern: seventy hosts send prompts that engines read in a tenth of a second. The
// load of others is of use only if it is known sooner than they are read.
func (t *Table) SetFastExchange(fast bool) { t.fast = fast }

// digestPause returns the time between two digests to a hub.
func (t *Table) digestPause() time.Duration {
	if t.fast {
		return fastDigestInterval
	}
	return digestInterval
}

// summaryPause returns the time between two summaries of a first hub.
func (t *Table) summaryPause() time.Duration {
	if t.fast {
		return fastSummaryInterval
	}
	return summaryInterval
}

// ownDelay returns the time after which a hub's summary contains what this host reported
// to it.
func (t *Table) ownDelay() time.Duration { return t.digestPause() + t.summaryPause() }

// place is this host's place in the tree.
type place struct {
	// hubs are the addresses of the hubs of this host's zone, which may be its own,
	// and otherHubs those of the hubs of other zones.
	hubs      []string
	otherHubs map[string]bool
	// rank is this host's rank among hubs, -1 if it is none.
	rank int
}

func (p place) isHub() bool { return len(p.hubs) > 0 && p.rank >= 0 }

// received is a summary with the time at which it arrived.
type received struct {
	*Summary
	at time.Duration
}

// tree is the state of a table in a larger fleet.
type tree struct {
	place place
	// placedAt is when place was found, and full the peers that get full digests.
	placedAt time.Duration
	full     map[string]bool
	// wasHub is set while this host is a hub, since termFrom, and term counts how
	// often it became one: a hub does not know what was used while it was none.
	wasHub   bool
	term     uint64
	termFrom time.Duration
	// hubsFrom is when the hubs of this host's zone last changed, and failedHubs
	// holds the hubs that were not heard, with the time until which they are passed
	// over.
	hubsFrom   time.Duration
	failedHubs map[string]time.Duration
	// summaries holds the newest summary of each hub by its address.
	summaries map[string]received
	// own holds recent reports of this host, oldest first.
	own []ownReport
	// ownCounted is this host's own use, by customer, that was subtracted from the
	// fleet's totals in peerUse.
	ownCounted map[string]float64
	// zoneUse is what other hosts of the zone used while this host was a hub.
	zoneUse map[string]float64
	// processUse is what each process of the zone was last heard to have used.
	processUse map[uint64]map[string]float64
	// hubUse turns the totals of hubs into what each zone used; the fleet's is under
	// "".
	hubUse map[string]*hubTotals
	// peerUse is what all other hosts used since this process began to listen.
	peerUse map[string]float64
	// tried is the position of the next host to try in a zone whose hubs are not
	// known.
	tried int
	// turn is the position of the next host in turn in a summary, by its scope.
	turn map[Scope]int
	// zoneLog holds the observations of this zone's hosts, and fleetLog those of all, while
	// this host is a hub.
	zoneLog, fleetLog *ObservationLog
}

func newTree() tree {
	return tree{
		summaries: map[string]received{}, zoneUse: map[string]float64{}, processUse: map[uint64]map[string]float64{},
		hubUse: map[string]*hubTotals{}, peerUse: map[string]float64{}, ownCounted: map[string]float64{},
		turn: map[Scope]int{}, failedHubs: map[string]time.Duration{},
		zoneLog: &ObservationLog{}, fleetLog: &ObservationLog{},
	}
}

// large reports whether the fleet forms a tree.
func (t *Table) large() bool { return t.fleetSize() > MaxMeshHosts }

// updatePlace finds this host's place again if it is due.
func (t *Table) updatePlace(now time.Duration) {
	if t.tree.placedAt > 0 && now-t.tree.placedAt < placeInterval {
		return
	}
	t.tree.placedAt = now
	former := t.tree.place
	t.tree.place, t.tree.full = place{rank: -1}, nil
	if t.large() {
		t.passOverSilentHubs(former, now)
		t.tree.place, t.tree.full = t.findPlace(now), t.fullDigestPeers()
	}
	if !slices.Equal(former.hubs, t.tree.place.hubs) {
		t.tree.hubsFrom = now
	}
	t.startTerm(now)
}

// blind reports whether this host hears no hub of its zone, nor is one.
func (t *Table) blind(former place, now time.Duration) bool {
	return len(former.hubs) > 0 && !former.isHub() && now-t.tree.hubsFrom > summaryTTL && t.newestFleetSummary(now) == nil
}

// passOverSilentHubs lets the next hosts by rank become hubs if no hub of the zone is
// heard.
func (t *Table) passOverSilentHubs(former place, now time.Duration) {
	maps.DeleteFunc(t.tree.failedHubs, func(_ string, until time.Duration) bool { return now >= until })
	if !t.blind(former, now) {
		return
	}
	for _, hub := range former.hubs {
		t.tree.failedHubs[hub] = now + failedHubFor
	}
}

// candidate is a host that may be a hub.
type candidate struct {
	address  string
	strength float64
	weight   uint64
}

// findPlace ranks the hosts of each zone by strength and hash.
func (t *Table) findPlace(now time.Duration) place {
	alive, dark := t.candidates(now)
	found := place{otherHubs: map[string]bool{}, rank: -1}
	for _, hub := range highestRanked(alive[t.self.Zone], hubsPerZone) {
		if hub.address == t.self.Address {
			found.rank = len(found.hubs)
		}
		found.hubs = append(found.hubs, hub.address)
	}
	for zone := range dark {
		hubs := highestRanked(alive[zone], hubsPerZone)
		if len(hubs) == 0 {
			hubs = t.inTurn(dark[zone])
		}
		for _, hub := range hubs {
			found.otherHubs[hub.address] = true
		}
	}
	return found
}

// candidates returns the hosts of each zone that may be its hubs, this one among
// them, and by zone all others that may be alive after all.
func (t *Table) candidates(now time.Duration) (alive, dark map[string][]candidate) {
	alive = map[string][]candidate{t.self.Zone: {{t.self.Address, t.self.Strength, rendezvous.Weight(hubKey, t.self.Address)}}}
	dark = map[string][]candidate{}
	for _, c := range t.order {
		p := c.peer
		if p == nil || !p.Extension.Tree || p.Stopping {
			continue
		}
		host := candidate{c.address, p.Extension.Strength, c.hubWeight}
		if p.Zone != t.self.Zone {
			dark[p.Zone] = append(dark[p.Zone], host)
		}
		if _, failed := t.tree.failedHubs[c.address]; !failed && now <= c.aliveUntil {
			alive[p.Zone] = append(alive[p.Zone], host)
		}
	}
	return alive, dark
}

// highestRanked returns the highest ranked hosts.
func highestRanked(hosts []candidate, count int) []candidate {
	slices.SortFunc(hosts, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.strength, a.strength), cmp.Compare(b.weight, a.weight))
	})
	return hosts[:min(count, len(hosts))]
}

// inTurn returns a few hosts, others at each call, of a zone in which no host is
// alive as far as this host knows: after a network partition, or when the hubs of
// two zones died together, its hubs are not known.
func (t *Table) inTurn(hosts []candidate) []candidate {
	ranked := highestRanked(hosts, len(hosts))
	var few []candidate
	for k := range min(triedAtOnce, len(ranked)) {
		few = append(few, ranked[(t.tree.tried+k)%len(ranked)])
	}
	t.tree.tried += triedAtOnce
	return few
}

// startTerm forgets the counts of an earlier term when this host becomes a hub.
func (t *Table) startTerm(now time.Duration) {
	isHub := t.tree.place.isHub()
	if isHub && !t.tree.wasHub {
		t.tree.term++
		t.tree.termFrom = now
		clear(t.tree.processUse)
	}
	t.tree.wasHub = isHub
	for address, s := range t.tree.summaries {
		if now-s.at > forgetAfter {
			delete(t.tree.summaries, address)
		}
	}
}

// appendTreeDue appends what is due to a host that knows summaries or was not heard
// yet. A host that shows no sign of life gets probes from hubs.
func (t *Table) appendTreeDue(due []Outgoing, c *contact, now time.Duration) []Outgoing {
	place, address := t.tree.place, c.address
	if c.peer == nil || c.silence(now) > forgetAfter {
		if place.isHub() && now-c.sentAt >= probeInterval-sendTolerance {
			c.sentAt = now
			due = append(due, Outgoing{Address: address, Detail: Load})
		}
		return due
	}
	if scope, pause := t.summaryFor(c, now); scope != NoScope && now-c.summaryAt >= pause-sendTolerance {
		c.summaryAt = now
		due = append(due, Outgoing{Address: address, Scope: scope})
	}
	detail, isDue := Load, slices.Contains(place.hubs, address) && now-c.sentAt >= t.digestPause()-sendTolerance
	if t.tree.full[address] && now-c.fullAt >= t.fullPause(c)-sendTolerance {
		detail, isDue, c.fullAt, c.reported = Full, true, now, t.counted
	}
	if isDue {
		c.sentAt = now
		due = append(due, Outgoing{Address: address, Detail: detail})
	}
	return due
}

// fullPause returns the time between two full digests to a host.
func (t *Table) fullPause(c *contact) time.Duration {
	if c.peer.LedgerToken > 0 && c.reported != t.counted {
		return countedInterval
	}
	return fullInterval
}

// summaryFor returns which summary a host gets from this one, and at which interval.
func (t *Table) summaryFor(c *contact, now time.Duration) (Scope, time.Duration) {
	place := t.tree.place
	switch {
	case !place.isHub():
		return NoScope, 0
	case place.otherHubs[c.address]:
		return ZoneScope, t.summaryPause()
	case now > c.aliveUntil:
		return NoScope, 0
	case c.peer.Zone == t.self.Zone && place.rank == 0:
		return FleetScope, t.summaryPause()
	case c.peer.Zone == t.self.Zone:
		return FleetScope, standbyInterval
	}
	return NoScope, 0
}

// ReceiveSummary merges a summary of a hub. It returns the hosts that were unknown,
// restarted or down.
func (t *Table) ReceiveSummary(s *Summary, now time.Duration) []Digest {
	if s.Hub == t.self.Address || s.Hub == "" {
		return nil
	}
	if last := t.tree.summaries[s.Hub]; last.Summary != nil && last.Incarnation == s.Incarnation && last.Sequence >= s.Sequence {
		return nil
	}
	var up []Digest
	for _, entry := range s.Hosts {
		d := entry.Digest
		d.Extension, d.Detail = entry.Extension, Heartbeat
		if d.PeerAddress == "" || d.PeerAddress == t.self.Address {
			continue
		}
		t.AddAddresses([]string{d.PeerAddress}, now)
		c := t.contacts[d.PeerAddress]
		old := c.peer
		if old != nil && old.Incarnation == d.Incarnation && old.Sequence >= d.Sequence {
			continue
		}
		c.merge(d, now)
		if old == nil || old.Incarnation != d.Incarnation {
			up = append(up, d)
		}
	}
	for state := range s.Alive.all() {
		t.showAlive(state, now)
	}
	t.delist(s, now)
	delete(t.tree.failedHubs, s.Hub)
	t.tree.summaries[s.Hub] = received{Summary: s, at: now}
	t.countHubUse(s, now)
	if t.follows(s) {
		t.observe(t.unseen(s.Incarnation, s.Observed), false, now)
	}
	return up
}

// follows reports whether this host counts by the summaries of a hub: a hub by those of
// other zones, since its zone's hosts report to it, and any other host by those of the
// fleet from its zone.
func (t *Table) follows(s *Summary) bool {
	if t.tree.wasHub {
		return !s.Fleet
	}
	return s.Fleet && s.Zone == t.self.Zone
}

// showAlive records that a hub listed a host as alive, with its present state.
func (t *Table) showAlive(state HostState, now time.Duration) {
	c := t.byID[state.ID]
	if c == nil {
		return
	}
	c.markAlive(now, shownFor)
	c.shownAt = now
	if c.peer == nil {
		return
	}
	recentDigest := c.directAt > 0 && now-c.directAt <= 2*digestInterval
	if recentDigest || flagsOf(&c.peer.Digest) == state.Flags {
		return
	}
	changed := *c.peer // snapshots share the old value
	changed.Ready = state.Flags&StateReady != 0
	changed.Stopping = state.Flags&StateStopping != 0
	changed.ViewAge = 0
	if state.Flags&StateFresh == 0 {
		changed.ViewAge = FreshViewAge + 1
	}
	c.peer = &changed
}

// delist marks the hosts as down that hubs have ceased to list and that send no
// digests to this host.
func (t *Table) delist(s *Summary, now time.Duration) {
	for _, c := range t.order {
		covered := c.peer != nil && (s.Fleet || c.peer.Zone == s.Zone)
		if covered && now-c.shownAt > delistedAfter && now-c.directAt > summaryTTL {
			c.aliveUntil = min(c.aliveUntil, now)
		}
	}
}
