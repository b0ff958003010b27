// Package members keeps which entry hosts are live, from the digests that hosts
// send one another. It does no I/O.
package members

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Timing of liveness in a small fleet.
const (
	// digestInterval is the pause between two digests of a host to a peer.
	digestInterval = 200 * time.Millisecond
	// deadIntervals is the number of intervals of silence after which a host counts
	// as down; it bears the loss of three digests in a row.
	deadIntervals = 5
	// forgetAfter is the silence after which a host no longer counts among
	// those that may hold a share of a limit.
	forgetAfter = 15 * time.Second
	// probeDuration is how long a silent host is still sent digests.
	probeDuration = 2 * time.Minute
	// probeInterval is the pause between digests to a silent host.
	probeInterval = time.Second
	// sendTolerance is how much sooner than due a digest may be sent, since hosts look
	// in steps.
	sendTolerance = 25 * time.Millisecond
)

// In larger fleets hosts tell one another less, and less often, so that the
// links of small hosts bear it.
const (
	// maxAllFull is the number of hosts up to which all get full digests.
	maxAllFull = 16
	// hostsPerHeartbeatInterval and hostsPerLoad are the numbers of hosts for each interval
	// between two digests, and two digests with the load.
	hostsPerHeartbeatInterval = 64
	hostsPerLoadInterval = 24
	// dutyCandidates is the number of hosts that get full digests beside the holder
	// of the duties; they may follow it.
	dutyCandidates = 3
)

// DutyKey ranks hosts for the duties by rendezvous hashing.
const DutyKey = "duty"

// heartbeatInterval returns the pause between two digests to a peer in a fleet.
func heartbeatInterval(hosts int) time.Duration { return digestInterval * time.Duration(1+(hosts-1)/hostsPerHeartbeatInterval) }

// loadInterval returns the pause between two digests with the load.
func loadInterval(hosts int) time.Duration { return digestInterval * time.Duration(1+(hosts-1)/hostsPerLoadInterval) }

// PropagationDelay returns how much longer the load of a host is on its way to its peers than
// in a small fleet.
func PropagationDelay(hosts int) time.Duration { return loadInterval(hosts) - digestInterval }

// deadAfter returns the silence after which a host counts as down.
func deadAfter(hosts int) time.Duration { return deadIntervals * heartbeatInterval(hosts) }

// Peer is another host.
type Peer struct {
	Digest
	// ReceivedAt is the boot time at which the last digest came.
	ReceivedAt time.Duration
}

type contact struct {
	addedAt time.Duration
	// sentAt and loadAt are when a digest, and one with the load, was last sent.
	sentAt, loadAt time.Duration
	// contacted tells that a digest was sent before.
	contacted bool
}

// Outgoing is a digest that is due.
type Outgoing struct {
	Address string
	Detail  Detail
}

// Table holds the known hosts.
type Table struct {
	self     string
	peers    map[string]*Peer
	contacts map[string]*contact
}

// NewTable returns a table of a host with an address for digests.
func NewTable(self string) *Table {
	return &Table{self: self, peers: map[string]*Peer{}, contacts: map[string]*contact{}}
}

// AddAddresses adds addresses that may be those of hosts.
func (t *Table) AddAddresses(addresses []string, now time.Duration) {
	for _, address := range addresses {
		if address != t.self && t.contacts[address] == nil {
			t.contacts[address] = &contact{addedAt: now}
		}
	}
}

// Receive takes in a digest. It reports whether the host was unknown or down.
func (t *Table) Receive(d Digest, now time.Duration) bool {
	if d.PeerAddress == t.self || d.PeerAddress == "" {
		return false
	}
	old := t.peers[d.PeerAddress]
	if old != nil && old.Incarnation == d.Incarnation && old.Sequence >= d.Sequence {
		return false
	}
	t.AddAddresses([]string{d.PeerAddress}, now)
	if old != nil && old.Incarnation == d.Incarnation {
		d = d.withMissingFrom(&old.Digest)
	}
	t.peers[d.PeerAddress] = &Peer{Digest: d, ReceivedAt: now}
	return old == nil || old.Incarnation != d.Incarnation || now-old.ReceivedAt > deadAfter(t.fleetSize())
}

// fleetSize returns the number of hosts that are known, this one included.
func (t *Table) fleetSize() int { return len(t.contacts) + 1 }

// Live returns the hosts that were heard lately, by address.
func (t *Table) Live(now time.Duration) []*Peer {
	dead := deadAfter(t.fleetSize())
	var live []*Peer
	for _, p := range t.peers {
		if now-p.ReceivedAt <= dead {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].PeerAddress < live[j].PeerAddress })
	return live
}

// SenderCount returns the number of other hosts that may hold a share of a limit:
// all that were heard lately and did not leave.
func (t *Table) SenderCount(now time.Duration) int { return len(t.SenderNames(now)) }

// SenderNames returns the names of these hosts.
func (t *Table) SenderNames(now time.Duration) []string {
	var names []string
	for _, p := range t.peers {
		silence := now - p.ReceivedAt
		left := p.Stopping && silence > deadAfter(t.fleetSize())
		if silence <= forgetAfter && !left {
			names = append(names, p.Host)
		}
	}
	return names
}

// Due returns the digests that are to be sent now, and counts them as sent.
//
// Load pattern: ninety hosts with links of 10 Mbit/s, of which full digests of
// each to each at short intervals would take the larger part.
func (t *Table) Due(now time.Duration) []Outgoing {
	hosts := t.fleetSize()
	full := t.fullDigestPeers()
	var due []Outgoing
	for address, c := range t.contacts {
		heard := c.addedAt
		if p := t.peers[address]; p != nil {
			heard = p.ReceivedAt
		}
		silence := now - heard
		if silence > probeDuration {
			delete(t.contacts, address)
			delete(t.peers, address)
			continue
		}
		pause := heartbeatInterval(hosts)
		if silence > forgetAfter {
			pause = max(pause, probeInterval)
		}
		if c.contacted && now-c.sentAt < pause-sendTolerance {
			continue
		}
		parts := Heartbeat
		if !c.contacted || now-c.loadAt >= loadInterval(hosts)-sendTolerance {
			parts, c.loadAt = Load, now
		}
		if parts == Load && (hosts <= maxAllFull || full[address]) {
			parts = Full
		}
		c.sentAt = now
		if !c.contacted {
			c.contacted = true
			c.sentAt -= phase(address, hosts)
		}
		due = append(due, Outgoing{Address: address, Detail: parts})
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Address < due[j].Address })
	return due
}

// phase spreads the digests of a larger fleet over the pause between them.
func phase(address string, hosts int) time.Duration {
	if hosts <= maxAllFull {
		return 0
	}
	return time.Duration(xxhash.Sum64String(address) % uint64(heartbeatInterval(hosts)))
}

// fullDigestPeers returns the addresses of the hosts that hold the duties or are
// next to hold them.
func (t *Table) fullDigestPeers() map[string]bool {
	if t.fleetSize() <= maxAllFull {
		return nil
	}
	collecting := map[string]bool{}
	addresses := make(map[string]string, len(t.peers))
	names := make([]string, 0, len(t.peers))
	for address, p := range t.peers {
		if p.LedgerToken > 0 {
			collecting[address] = true
		}
		if p.Ready && !p.Stopping {
			addresses[p.Host] = address
			names = append(names, p.Host)
		}
	}
	for _, name := range rendezvous.Order(DutyKey, names)[:min(dutyCandidates, len(names))] {
		collecting[addresses[name]] = true
	}
	return collecting
}
