// Package members keeps track of the live gateway hosts by the digests that hosts
// send to each other. It does no I/O.
package members

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Timing of liveness in a small fleet.
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

// In larger fleets hosts send less, and less often, to spare the links of small
// hosts.
const (
	// maxFullDigestHosts is the largest number of hosts at which all peers get full
	// digests.
	maxFullDigestHosts = 16
	// For each hostsPerHeartbeatInterval or hostsPerLoadInterval hosts, the time
	// between two digests or two digests with the load grows by digestInterval.
	hostsPerHeartbeatInterval = 64
	hostsPerLoadInterval      = 24
	// dutyCandidates is the number of hosts that get full digests besides the
	// holder of the duties, since they may take over the duties.
	dutyCandidates = 3
)

// DutyKey is the rendezvous hashing key that ranks hosts for the duties.
const DutyKey = "duty"

// heartbeatInterval returns the time between two digests to a peer.
func heartbeatInterval(hosts int) time.Duration {
	return digestInterval * time.Duration(1+(hosts-1)/hostsPerHeartbeatInterval)
}

// loadInterval returns the time between two digests with the load to a peer.
func loadInterval(hosts int) time.Duration {
	return digestInterval * time.Duration(1+(hosts-1)/hostsPerLoadInterval)
}

// PropagationDelay returns how much later the load of a host reaches its peers
// than in a small fleet.
func PropagationDelay(hosts int) time.Duration { return loadInterval(hosts) - digestInterval }

// deadAfter returns the time without a digest after which a host counts as down.
func deadAfter(hosts int) time.Duration { return deadIntervals * heartbeatInterval(hosts) }

// Peer is another host.
type Peer struct {
	Digest
	// ReceivedAt is the boot time at which the last digest was received.
	ReceivedAt time.Duration
}

type contact struct {
	addedAt time.Duration
	// sentAt and loadAt are when a digest, and one with the load, was last sent.
	sentAt, loadAt time.Duration
	// contacted is set when a digest was sent before.
	contacted bool
}

// Outgoing is a digest that is due.
type Outgoing struct {
	Address string
	Detail  Detail
}

// Table holds the known hosts. It is not safe for concurrent use.
type Table struct {
	self     string
	peers    map[string]*Peer
	contacts map[string]*contact
}

// NewTable returns the table of a host with an address for digests.
func NewTable(self string) *Table {
	return &Table{self: self, peers: map[string]*Peer{}, contacts: map[string]*contact{}}
}

// AddAddresses adds addresses of possible hosts, which then get digests.
func (t *Table) AddAddresses(addresses []string, now time.Duration) {
	for _, address := range addresses {
		if address != t.self && t.contacts[address] == nil {
			t.contacts[address] = &contact{addedAt: now}
		}
	}
}

// Receive merges a digest. It reports whether the host was unknown, restarted or
// down. Digests of this host and outdated ones are ignored.
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

// fleetSize returns the number of known hosts, this one included.
func (t *Table) fleetSize() int { return len(t.contacts) + 1 }

// Live returns the hosts that are not down, sorted by address.
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
// all that sent a digest within forgetAfter and have not left.
func (t *Table) SenderCount(now time.Duration) int { return len(t.SenderNames(now)) }

// SenderNames returns the names of the hosts that SenderCount counts.
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

// Due returns the digests to send now and records them as sent. It drops hosts
// that have sent no digest for probeDuration.
//
// Load pattern: ninety hosts with links of 10 Mbit/s, of which full digests
// between all hosts at short intervals would take the larger part.
func (t *Table) Due(now time.Duration) []Outgoing {
	hosts := t.fleetSize()
	full := t.fullDigestPeers()
	var due []Outgoing
	for address, c := range t.contacts {
		receivedAt := c.addedAt
		if p := t.peers[address]; p != nil {
			receivedAt = p.ReceivedAt
		}
		silence := now - receivedAt
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
		detail := Heartbeat
		if !c.contacted || now-c.loadAt >= loadInterval(hosts)-sendTolerance {
			detail, c.loadAt = Load, now
		}
		if detail == Load && (hosts <= maxFullDigestHosts || full[address]) {
			detail = Full
		}
		c.sentAt = now
		if !c.contacted {
			c.contacted = true
			c.sentAt -= phase(address, hosts)
		}
		due = append(due, Outgoing{Address: address, Detail: detail})
	}
	sort.Slice(due, func(i, j int) bool { return due[i].Address < due[j].Address })
	return due
}

// phase spreads the digests of a larger fleet over the interval between them.
func phase(address string, hosts int) time.Duration {
	if hosts <= maxFullDigestHosts {
		return 0
	}
	return time.Duration(xxhash.Sum64String(address) % uint64(heartbeatInterval(hosts)))
}

// fullDigestPeers returns the addresses of the peers that hold the duties or are
// the next candidates for them; nil if all peers get full digests.
func (t *Table) fullDigestPeers() map[string]bool {
	if t.fleetSize() <= maxFullDigestHosts {
		return nil
	}
	full := map[string]bool{}
	addressOf := make(map[string]string, len(t.peers))
	names := make([]string, 0, len(t.peers))
	for address, p := range t.peers {
		if p.LedgerToken > 0 {
			full[address] = true
		}
		if p.Ready && !p.Stopping {
			addressOf[p.Host] = address
			names = append(names, p.Host)
		}
	}
	for _, name := range rendezvous.Order(DutyKey, names)[:min(dutyCandidates, len(names))] {
		full[addressOf[name]] = true
	}
	return full
}
