// Package members keeps track of the live gateway hosts by the digests that hosts
// send to each other. It does no I/O.
//
// In a small fleet each host sends full digests to each other host. In a larger one
// the hosts form a tree: the hosts of an availability zone send digests to the hubs
// of the zone, which send sums of them to the hubs of other zones, and sums over the
// fleet to the hosts of their zone. What a host sends and receives then does not
// grow with the fleet, and neither does the time in which a host is missed.
package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Timing of liveness.
const (
	// digestInterval is the time between two digests to a peer.
	digestInterval = 200 * time.Millisecond
	// deadIntervals is the number of intervals without a digest after which a
	// host counts as down; three digests in a row may be lost.
	deadIntervals = 5
	// forgetAfter is the time without a digest after which a host no longer
	// counts among those that may hold a share of a limit.
	forgetAfter = 15 * time.Second
	// probeDuration is how long a host that sends no digests still gets digests.
	probeDuration = 2 * time.Minute
	// probeInterval is the time between digests to a host that sends none.
	probeInterval = time.Second
	// sendTolerance is how much earlier than due a digest may be sent, since due
	// digests are polled for periodically.
	sendTolerance = 25 * time.Millisecond
)

// Hosts of former builds know no tree. In a larger fleet they get digests from all
// hosts, but less, and less often.
const (
	// For each hostsPerHeartbeatInterval or hostsPerLoadInterval hosts, the time
	// between two digests or two digests with the load grows by digestInterval.
	hostsPerHeartbeatInterval = 64
	hostsPerLoadInterval      = 24
)

// dutyCandidates is the number of hosts that get full digests besides the holder of
// the duties, since they may take over the duties.
const dutyCandidates = 3

// dutyKey is the rendezvous hashing key that ranks hosts of the same strength for
// the duties.
const dutyKey = "duty"

// heartbeatInterval returns the time between two digests to a peer without a tree.
func heartbeatInterval(hosts int) time.Duration {
	return digestInterval * time.Duration(1+(hosts-1)/hostsPerHeartbeatInterval)
}

// loadInterval returns the time between two digests with the load to a peer without
// a tree.
func loadInterval(hosts int) time.Duration {
	return digestInterval * time.Duration(1+(hosts-1)/hostsPerLoadInterval)
}

// deadAfter returns the time without a digest of a peer without a tree after which
// it counts as down.
func deadAfter(hosts int) time.Duration { return deadIntervals * heartbeatInterval(hosts) }

// Peer is another host.
type Peer struct{ Digest }

// ListedHost is a host in the list of all hosts, which the log holds.
type ListedHost struct{ Name, PeerAddress string }

// contact is a host that may be alive.
type contact struct {
	address string
	// listedAs is the host's name in the first list of all hosts, "" if it was not in it. A
	// digest replaces it.
	listedAs string
	// peer holds the host's newest digest, nil before the first.
	peer    *Peer
	addedAt time.Duration
	// heardAt is when the host last showed to be alive, by a digest or in a
	// summary, and directAt when its last digest was received; 0 if never.
	heardAt, directAt time.Duration
	// directSequence is the sequence number of the last digest.
	directSequence uint64
	// shownAt is when a summary last listed the host.
	shownAt time.Duration
	// aliveUntil is the time from which the host counts as down.
	aliveUntil time.Duration
	// changedAt is when the first digest of the host's current process arrived.
	changedAt time.Duration
	// sentAt, loadAt and fullAt are when a digest, one with the load, and a full one
	// was last sent, and summaryAt when a summary was.
	sentAt, loadAt, fullAt, summaryAt time.Duration
	// reported is the value of Table.counted when the last full digest was sent.
	reported uint64
	// contacted is set when a digest was sent before.
	contacted bool
	// hubWeight ranks the host among the hosts of its zone, dutyWeight among those
	// that may hold the duties.
	hubWeight, dutyWeight uint64
}

// markAlive records that the host showed to be alive and counts as such for a time.
func (c *contact) markAlive(now, lasts time.Duration) {
	c.heardAt = now
	c.aliveUntil = max(c.aliveUntil, now+lasts)
}

// isAlive reports whether the host has sent a digest and counts as up.
func (c *contact) isAlive(now time.Duration) bool { return c.peer != nil && now <= c.aliveUntil }

// name returns the host's name, "" if it is not known.
func (c *contact) name() string {
	if c.peer != nil {
		return c.peer.Host
	}
	return c.listedAs
}

// silence returns the time since the host last showed to be alive.
func (c *contact) silence(now time.Duration) time.Duration { return now - max(c.heardAt, c.addedAt) }

// Outgoing is a datagram that is due: a summary if Scope is set, else a digest.
type Outgoing struct {
	Address string
	Detail  Detail
	Scope   Scope
}

// Self is the host that owns a table.
type Self struct {
	// Address is the host's address for digests.
	Address, Zone string
	Strength      float64
}

// Table holds the known hosts. It is not safe for concurrent use.
type Table struct {
	self Self
	// counted is the number of requests that this host has counted for usage.
	counted uint64
	// complete is set once a complete list of all hosts was added.
	complete bool
	contacts map[string]*contact
	// order holds the contacts sorted by address, and byID those by their HostID.
	order []*contact
	byID  map[uint32]*contact
	tree  tree
	// fast is set while hosts of a larger fleet exchange their load at short intervals.
	fast bool
	// received holds the number after that of the last observation of each sender, by the
	// incarnation in its digests or summaries: a hub's summaries have one for each of its
	// terms. observed holds the observations that were not taken yet.
	received map[uint64]uint64
	observed []Observation
}

// NewTable returns the table of a host.
func NewTable(self Self) *Table {
	return &Table{self: self, contacts: map[string]*contact{}, byID: map[uint32]*contact{}, tree: newTree(), received: map[uint64]uint64{}}
}

// AddAddresses adds addresses of possible hosts, which then get digests.
func (t *Table) AddAddresses(addresses []string, now time.Duration) {
	known := len(t.order)
	for _, address := range addresses {
		if address == t.self.Address || t.contacts[address] != nil {
			continue
		}
		c := &contact{address: address, addedAt: now}
		t.contacts[address], t.byID[HostID(address)] = c, c
		t.order = append(t.order, c)
	}
	if len(t.order) == known {
		return
	}
	slices.SortFunc(t.order, func(a, b *contact) int { return cmp.Compare(a.address, b.address) })
}

// AddListed adds hosts from the list of all hosts; complete is set if it is the whole list and
// contains this host, so that a host that is missing finds this one when it reads the list.
// Hosts of the first list may be alive though they have sent no digest yet, so they count as
// senders.
func (t *Table) AddListed(hosts []ListedHost, complete bool, now time.Duration) {
	for _, h := range hosts {
		t.AddAddresses([]string{h.PeerAddress}, now)
		if c := t.contacts[h.PeerAddress]; c != nil && !t.complete {
			c.listedAs = h.Name
		}
	}
	t.complete = t.complete || complete
}

// Complete reports whether a complete list of all hosts was added. Before that there may be
// any number of unknown hosts.
func (t *Table) Complete() bool { return t.complete }

// dropSilent forgets the hosts that have not shown to be alive for probeDuration.
func (t *Table) dropSilent(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(c *contact) bool {
		silent := c.silence(now) > probeDuration
		if silent {
			delete(t.contacts, c.address)
			delete(t.byID, HostID(c.address))
		}
		return silent
	})
}

// Receive merges a digest. It reports whether the host was unknown, restarted or
// down. Digests of this host and outdated ones are ignored.
func (t *Table) Receive(d Digest, now time.Duration) bool {
	if d.PeerAddress == t.self.Address || d.PeerAddress == "" {
		return false
	}
	t.AddAddresses([]string{d.PeerAddress}, now)
	c := t.contacts[d.PeerAddress]
	old := c.peer
	// A summary may bring a heartbeat of the same sequence number first.
	if old != nil && old.Incarnation == d.Incarnation && (old.Sequence > d.Sequence || c.directSequence >= d.Sequence) {
		return false
	}
	c.merge(d, now)
	up := old == nil || old.Incarnation != d.Incarnation || now > c.aliveUntil
	c.directAt, c.directSequence = now, d.Sequence
	delete(t.tree.failedHubs, d.PeerAddress)
	lasts := deadIntervals * digestInterval
	if !d.Extension.Tree {
		lasts = deadAfter(t.fleetSize())
	}
	c.markAlive(now, lasts)
	t.countUse(c.peer, now)
	// In a larger fleet, the digests of other zones and those to the holder of the duties
	// repeat what hubs tell.
	if !t.large() || t.tree.place.isHub() && d.Zone == t.self.Zone {
		t.observe(t.unseen(d.Incarnation, d.Extension.Observed), true, now)
	}
	return up
}

// merge stores a digest that is newer than the last one of the host.
func (c *contact) merge(d Digest, now time.Duration) {
	if c.peer != nil && c.peer.Incarnation == d.Incarnation {
		d = d.withMissingFrom(&c.peer.Digest)
	} else {
		c.changedAt, c.directAt, c.directSequence = now, 0, 0
		c.hubWeight = rendezvous.Weight(hubKey, c.address)
		c.dutyWeight = rendezvous.Weight(dutyKey, d.Host)
	}
	c.peer = &Peer{Digest: d}
}

// fleetSize returns the number of known hosts, this one included.
func (t *Table) fleetSize() int { return len(t.contacts) + 1 }

// Live returns the hosts that are not down, sorted by address.
func (t *Table) Live(now time.Duration) []*Peer {
	var live []*Peer
	for _, c := range t.order {
		if c.isAlive(now) {
			live = append(live, c.peer)
		}
	}
	return live
}

// LiveCount returns the number of other hosts that are not down, also those of a larger
// fleet that only summaries have shown so far.
func (t *Table) LiveCount(now time.Duration) int {
	count := 0
	for _, c := range t.order {
		if now <= c.aliveUntil {
			count++
		}
	}
	return count
}

// SenderCount returns the number of other hosts that may hold a share of a limit:
// all that showed to be alive, or were in the first list of all hosts, within forgetAfter and
// have not left.
func (t *Table) SenderCount(now time.Duration) int { return len(t.SenderNames(now)) }

// SenderNames returns the names of the hosts that SenderCount counts.
func (t *Table) SenderNames(now time.Duration) []string {
	var names []string
	for _, c := range t.order {
		left := c.peer != nil && c.peer.Stopping && now > c.aliveUntil
		if name := c.name(); name != "" && c.silence(now) <= forgetAfter && !left {
			names = append(names, name)
		}
	}
	return names
}

// Due returns the datagrams to send now and records them as sent. It drops hosts
// that have not shown to be alive for probeDuration.
func (t *Table) Due(now time.Duration) []Outgoing {
	t.dropSilent(now)
	t.forgetSenders()
	large := t.large()
	t.updatePlace(now)
	var due []Outgoing
	for _, c := range t.order {
		if large && c.contacted && (c.peer == nil || c.peer.Extension.Tree) {
			due = t.appendTreeDue(due, c, now)
			continue
		}
		if detail, isDue := t.meshDue(c, now); isDue {
			due = append(due, Outgoing{Address: c.address, Detail: detail})
		}
	}
	return due
}

// meshDue reports whether a host without a tree gets a digest now, and which.
//
// Load pattern: ninety hosts with links of 10 Mbit/s, of which full digests
// between all hosts at short intervals would take the larger part.
func (t *Table) meshDue(c *contact, now time.Duration) (Detail, bool) {
	hosts := t.fleetSize()
	pause := heartbeatInterval(hosts)
	if c.silence(now) > forgetAfter {
		pause = max(pause, probeInterval)
	}
	if c.contacted && now-c.sentAt < pause-sendTolerance {
		return 0, false
	}
	detail := Heartbeat
	if !c.contacted || now-c.loadAt >= loadInterval(hosts)-sendTolerance {
		detail, c.loadAt = Load, now
	}
	if detail == Load && (!t.large() || t.tree.full[c.address]) {
		detail = Full
	}
	c.sentAt = now
	if !c.contacted {
		c.contacted = true
		c.sentAt -= phase(c.address, hosts)
	}
	return detail, true
}

// phase spreads the digests of a larger fleet over the interval between them.
func phase(address string, hosts int) time.Duration {
	if hosts <= MaxMeshHosts {
		return 0
	}
	return time.Duration(xxhash.Sum64String(address) % uint64(heartbeatInterval(hosts)))
}

// SetCounted sets the number of requests that this host has counted for usage. In a
// larger fleet, the holder of the duties hears of new ones soon.
func (t *Table) SetCounted(requests uint64) { t.counted = requests }

// fullDigestPeers returns the addresses of the peers that hold the duties or are
// the next candidates for them.
func (t *Table) fullDigestPeers() map[string]bool {
	full := map[string]bool{}
	var candidates []*contact
	for _, c := range t.order {
		if c.peer == nil {
			continue
		}
		if c.peer.LedgerToken > 0 {
			full[c.address] = true
		}
		if c.peer.Ready && !c.peer.Stopping {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *contact) int {
		return compareForDuties(a.peer, a.dutyWeight, b.peer, b.dutyWeight)
	})
	for _, c := range candidates[:min(dutyCandidates, len(candidates))] {
		full[c.address] = true
	}
	return full
}

// compareForDuties orders hosts by how soon they claim the duties: stronger ones
// first, since the holder hears of all hosts.
func compareForDuties(a *Peer, weightA uint64, b *Peer, weightB uint64) int {
	return cmp.Or(
		cmp.Compare(b.Extension.Strength, a.Extension.Strength), cmp.Compare(weightB, weightA), cmp.Compare(a.Host, b.Host),
	)
}

// DutyRank returns how many of the peers that can hold the duties precede a host in
// the order of claims.
func DutyRank(host string, strength float64, peers []*Peer) int {
	self := &Peer{Digest: Digest{Host: host, Extension: Extension{Strength: strength}}}
	weight := rendezvous.Weight(dutyKey, host)
	rank := 0
	for _, p := range peers {
		if p.Ready && !p.Stopping && p.Extension.Strength >= strength && compareForDuties(p, rendezvous.Weight(dutyKey, p.Host), self, weight) < 0 {
			rank++
		}
	}
	return rank
}
