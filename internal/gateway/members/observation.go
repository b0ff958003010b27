package members

import (
	"slices"
	"sync"
	"time"
)

// Observation is what a host observed of an engine: that it sent it a prompt, or the speed
// that the engine reported.
type Observation struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Host is the HostID of the host, and Upstream the hash of the engine's ID.
	Host, Upstream uint32
	// Prefixes are the hashes of the shared beginnings of a prompt, and Tokens is the number
	// of tokens that the request adds to the engine's cache.
	Prefixes []uint32
	Tokens   uint32
	// SlowdownPercent is how long work takes at the engine, in percent of the usual time; 0
	// for a prompt.
	SlowdownPercent uint16
}

// Observations are consecutive observations, numbered by their sender.
type Observations struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// First is the number of the first one.
	First uint64
	List  []Observation
}

// maxObservations bounds the observations in a datagram; the newest are sent. Older ones
// are lost: a host then knows less of caches and speeds.
const maxObservations = 64

// maxPrefixes bounds the prefixes of an observation, so that a wrong one does not make the
// datagrams of its hub too long.
const maxPrefixes = 4

// ObservationLog numbers observations and keeps the newest. It is safe for concurrent use.
type ObservationLog struct {
	mu   sync.Mutex
	next uint64
	list []Observation
	at   []time.Duration
}

// Add adds observations.
func (l *ObservationLog) Add(now time.Duration, list ...Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range list {
		l.list = append(l.list, o)
		l.at = append(l.at, now)
		l.next++
	}
	if excess := len(l.list) - maxObservations; excess > 0 {
		l.list, l.at = slices.Delete(l.list, 0, excess), slices.Delete(l.at, 0, excess)
	}
}

// Since returns the observations that were added since a time, nil if there are none.
func (l *ObservationLog) Since(from time.Duration) *Observations {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearch(l.at, from)
	if i == len(l.list) {
		return nil
	}
	return &Observations{First: l.next - uint64(len(l.list)-i), List: slices.Clone(l.list[i:])}
}

// unseen returns the observations of a sender that were not received before. A gap in the
// numbers is accepted: lost observations are not sent again.
func (t *Table) unseen(sender uint64, o *Observations) []Observation {
	if o == nil {
		return nil
	}
	list := o.List[:min(len(o.List), maxObservations)]
	if len(list) == 0 {
		return nil
	}
	next := t.received[sender]
	end := o.First + uint64(len(list))
	if end <= next {
		return nil
	}
	t.received[sender] = end
	if next > o.First {
		list = list[next-o.First:]
	}
	return list
}

// observe adds observations to those that TakeObservations returns and, at a hub, to those
// that its summaries tell. ofZone is set if they come from a host of this zone, else from a
// hub.
func (t *Table) observe(list []Observation, ofZone bool, now time.Duration) {
	if len(list) == 0 {
		return
	}
	for i := range list {
		list[i].Prefixes = list[i].Prefixes[:min(len(list[i].Prefixes), maxPrefixes)]
	}
	t.observed = append(t.observed, list...)
	if !t.tree.place.isHub() {
		return
	}
	t.tree.fleetLog.Add(now, list...)
	if ofZone {
		t.tree.zoneLog.Add(now, list...)
	}
}

// TakeObservations returns what was received of other hosts' observations since the last
// call.
func (t *Table) TakeObservations() []Observation {
	list := t.observed
	t.observed = nil
	self := HostID(t.self.Address)
	return slices.DeleteFunc(list, func(o Observation) bool { return o.Host == self })
}

// observations returns the observations for a summary of a scope, nil unless this host is
// the first hub of its zone. It adds this host's own ones first, which no peer reports.
func (t *Table) observations(scope Scope, own *Digest, now time.Duration) *Observations {
	t.observe(t.unseen(own.Incarnation, own.Extension.Observed), true, now)
	if t.tree.place.rank != 0 {
		return nil
	}
	// Summaries may follow each other later than due by twice the tolerance.
	since := now - t.summaryPause() - 2*sendTolerance
	if scope == FleetScope {
		return t.tree.fleetLog.Since(since)
	}
	return t.tree.zoneLog.Since(since)
}

// forgetSenders bounds the number of senders, most of which have ended when there are many.
// It forgets all: what live ones repeat at that moment counts twice.
func (t *Table) forgetSenders() {
	if len(t.received) <= 4*len(t.contacts)+maxObservations {
		return
	}
	clear(t.received)
}
