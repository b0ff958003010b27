package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// How many hosts read.
const (
	// leastReaders read at least, so that one may fail.
	leastReaders = 2
	// hostsPerReader is the number of hosts for each reader in larger fleets.
	hostsPerReader = 24
)

// readerKey ranks hosts as readers by rendezvous hashing.
const readerKey = "reader"

// When hosts read the log by themselves although they are no readers.
const (
	// staleAfter is the age of beliefs above which a follower reads by itself.
	// Beliefs that come by way of a sound reader are younger; what operators
	// and upstreams say must be in force within two seconds.
	staleAfter = 1300 * time.Millisecond
	// readFor is how long such a follower goes on reading.
	readFor = 3 * time.Second
	// avoidFor is how long a reader that did not answer is not asked.
	avoidFor = 3 * time.Second
)

// Host is an entry host that may read for others.
type Host struct {
	// Address is where its peers reach it.
	Address, Zone string
	// ViewAge is that of its beliefs.
	ViewAge time.Duration
}

// Source is where a host gets its beliefs from.
type Source struct {
	// Reader is the address of the reader to ask, "" if there is none.
	Reader string
	// ReadsLog tells that the host reads the log by itself.
	ReadsLog bool
}

// SourceSelector says which host to ask. It is used by one goroutine.
type SourceSelector struct {
	self, zone string
	avoid      map[string]time.Duration
	readUntil  time.Duration
	// relies tells that the host got its beliefs from a reader only.
	relies bool
}

// NewSourceSelector returns the chooser of a host with an address and an availability
// zone.
func NewSourceSelector(self, zone string) *SourceSelector {
	return &SourceSelector{self: self, zone: zone, avoid: map[string]time.Duration{}}
}

// MarkFailed notes that a reader did not answer.
func (c *SourceSelector) MarkFailed(address string, now time.Duration) {
	c.avoid[address] = now + avoidFor
}

// Select returns where to get beliefs from. The age is that of the host's own,
// and the peers are the live hosts besides this one.
//
// Load pattern: a deployment of many hosts, whose calls to the log cost more
// than all else; its readers are cut off from the log, silent or killed, or the
// log serves nobody.
func (c *SourceSelector) Select(peers []Host, age time.Duration, now time.Duration) Source {
	for address, until := range c.avoid {
		if now >= until {
			delete(c.avoid, address)
		}
	}
	if age > staleAfter && c.relies {
		c.readUntil = now + readFor
	}
	reader := c.reader(peers, age)
	choice := Source{Reader: reader, ReadsLog: reader == "" || age > staleAfter || now < c.readUntil}
	c.relies = !choice.ReadsLog
	return choice
}

// reader returns the reader to ask, one in the same availability zone if there
// is any, or "" if this host is a reader or no reader answers.
func (c *SourceSelector) reader(peers []Host, age time.Duration) string {
	best, weight := "", uint64(0)
	bestNear := false
	for _, r := range c.readers(peers, age) {
		if r.Address == c.self {
			return ""
		}
		if _, avoided := c.avoid[r.Address]; avoided {
			continue
		}
		near := r.Zone == c.zone
		w := rendezvous.Weight(c.self, r.Address)
		if best == "" || near && !bestNear || near == bestNear && w > weight {
			best, bestNear, weight = r.Address, near, w
		}
	}
	return best
}

// readers returns the hosts that read: those of the highest weights among the
// ones with fresh beliefs, or among all while no beliefs are fresh.
func (c *SourceSelector) readers(peers []Host, age time.Duration) []Host {
	all := append([]Host{{Address: c.self, Zone: c.zone, ViewAge: age}}, peers...)
	var fresh []Host
	for _, h := range all {
		if h.ViewAge <= staleAfter {
			fresh = append(fresh, h)
		}
	}
	if len(fresh) == 0 {
		fresh = all
	}
	return highest(fresh, max(leastReaders, (len(fresh)+hostsPerReader-1)/hostsPerReader))
}

// highest returns the hosts of the highest weights.
func highest(hosts []Host, count int) []Host {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Compare(rendezvous.Weight(readerKey, b.Address), rendezvous.Weight(readerKey, a.Address))
	})
	return ranked[:min(count, len(ranked))]
}
