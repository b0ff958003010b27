// Package brittle bounds what hosts send to upstreams that fall over when they have to reject
// too many requests in a second. It does no I/O and reads no clock.
package brittle

import (
	"strconv"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

const (
	// rejectedShare is the share of an upstream's limit of rejections per second that all
	// hosts together use. The rejections of two seconds can fall into one, and the loads that
	// hosts know of each other are out of date.
	rejectedShare = 0.25
	// fillersPerRejection is the number of hosts that may use all slots of an upstream, per
	// rejection per second of its limit. Two of them may take the same free slot.
	fillersPerRejection = 0.5
	// othersFill is the share of the slots up to which other hosts send.
	othersFill = 0.75
	// roomWait is the pause after which a host looks for a free slot again.
	roomWait = 250 * time.Millisecond
	// retention is how long a service counts as brittle after an upstream last said so.
	retention = 30 * time.Second
)

// service is what the upstreams of a service say.
type service struct {
	// limit is the highest number of rejections per second that does not make an upstream
	// fall over.
	limit  int
	saidAt time.Duration
}

// allowance is the number of rejections that this host may cause at an upstream now.
type allowance struct {
	rejections float64
	at         time.Duration
}

// Limiter bounds what this host sends to brittle upstreams. It is safe for concurrent use.
type Limiter struct {
	self string

	mu         sync.Mutex
	services   map[string]service
	allowances map[advisory.Instance]allowance
}

// NewLimiter returns the limiter of a host.
func NewLimiter(self string) *Limiter {
	return &Limiter{self: self, services: map[string]service{}, allowances: map[advisory.Instance]allowance{}}
}

// Upstream is an upstream and what is known of its load.
type Upstream struct {
	Instance advisory.Instance
	Service  string
	// Slots is the number of requests that it runs at once, 0 if that is not known.
	Slots int
	// Own is the number of requests that this host has there, and Others that of all others.
	Own, Others int
}

// Said records the limit of rejections per second that an upstream of a service states, 0 if it
// states none. It counts for all upstreams of the service.
func (l *Limiter) Said(name string, limit int, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 {
		l.services[name] = service{limit: limit, saidAt: now}
		return
	}
	delete(l.services, name)
}

// Concerns reports whether the upstreams of a service are brittle.
func (l *Limiter) Concerns(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.services[name]
	return known
}

// Rejected records that an upstream rejected a request of this host. hosts are all hosts that
// may send to it.
func (l *Limiter) Rejected(u Upstream, hosts []string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.services[u.Service]
	if !known {
		return
	}
	a := l.refilled(u, s, hosts, now)
	a.rejections--
	l.allowances[u.Instance] = a
}

// Wait returns how long this host is to send nothing more to an upstream, 0 if it may send now.
//
// Load pattern: callers want more than the upstreams of a service can run, hosts know of each
// other's requests late, and each request beyond the slots is rejected. A host that has caused
// few rejections lately sends what finds a slot by what it knows, and a little more: the upstream
// may let some wait. One that has caused some uses its share of the slots only, and one that has
// caused more still sends nothing.
func (l *Limiter) Wait(u Upstream, hosts []string, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, known := l.services[u.Service]
	if !known || now-s.saidAt > retention {
		return 0
	}
	left := l.refilled(u, s, hosts, now).rejections
	switch {
	case left < 0:
		return time.Duration(-left / rate(s, len(hosts)) * float64(time.Second))
	case u.Slots == 0:
		return 0
	}
	share, requests := l.share(u, hosts), u.Own+u.Others
	switch {
	case left < 1:
		return waitUnless(u.Own < share)
	case !l.fills(u, s, hosts):
		return waitUnless(u.Own < max(share, 1) && requests < int(float64(u.Slots)*othersFill))
	}
	return waitUnless(u.Own < share+int(left) && requests < u.Slots+int(left)-1)
}

// waitUnless returns the pause of a host that finds no room.
func waitUnless(room bool) time.Duration {
	if room {
		return 0
	}
	return roomWait
}

// share returns the number of slots of an upstream that are this host's. All hosts together have
// all of them.
func (l *Limiter) share(u Upstream, hosts []string) int {
	if len(hosts) == 0 {
		return 0
	}
	share := u.Slots / len(hosts)
	if l.rank(u, hosts) < u.Slots%len(hosts) {
		share++
	}
	return share
}

// rank returns how many hosts precede this one at an upstream.
func (l *Limiter) rank(u Upstream, hosts []string) int {
	return rendezvous.Rank(strconv.FormatUint(uint64(u.Instance), 36), l.self, hosts)
}

// rate returns the rejections in a second that one of some hosts may cause at an upstream.
func rate(s service, hosts int) float64 {
	return float64(s.limit) * rejectedShare / float64(max(hosts, 1))
}

// refilled returns the allowance at an upstream as it is at now. A host that may not fill the
// upstream begins with none: if there are more hosts than the limit, they could exceed it with
// one rejection each. l.mu must be held.
func (l *Limiter) refilled(u Upstream, s service, hosts []string, now time.Duration) allowance {
	perSecond := rate(s, len(hosts))
	most := max(perSecond, 1)
	a, known := l.allowances[u.Instance]
	if !known {
		a = allowance{at: now}
		if l.fills(u, s, hosts) {
			a.rejections = most
		}
		l.allowances[u.Instance] = a
	}
	return allowance{rejections: min(a.rejections+perSecond*(now-a.at).Seconds(), most), at: now}
}

// fills reports whether this host may fill an upstream to its last slot: some hosts may at
// once take the same free slot. While the hosts are not known, none does.
func (l *Limiter) fills(u Upstream, s service, hosts []string) bool {
	fillers := max(int(float64(s.limit)*fillersPerRejection), 1)
	return len(hosts) > 0 && (fillers >= len(hosts) || l.rank(u, hosts) < fillers)
}

// Retain drops what is kept of upstreams that are not listed.
func (l *Limiter) Retain(listed map[advisory.Instance]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.allowances {
		if !listed[i] {
			delete(l.allowances, i)
		}
	}
}
