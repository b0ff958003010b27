// Package credit enforces the concurrency limit of an upstream across all hosts
// that send requests to it.
//
// Each of the n hosts that may send to an upstream owns 1/n of its limit and
// lends this share to the host that, in its view, is the upstream's coordinator.
// The coordinator pools the shares lent to it and grants whole requests out of
// them. A host lends to one coordinator at a time, so that the pools never
// exceed the limit in total, even if several hosts act as coordinator.
//
// Shares are lent, and grants used, for the lease given in each request. Neither
// needs synchronized clocks: the coordinator counts a share from the time at
// which it sent the grant that the lender echoes, and a holder counts a grant
// from the time at which it sent the request that the grant responds to.
//
// The package does no I/O and reads no clock.
package credit

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberTTLLeases is how long, in leases, a coordinator counts the requests of
	// a host after the last request for credits from it.
	memberTTLLeases = 2.5
	// maxSampleAgeLeases is the age, in leases, up to which the number of requests
	// in flight that a member reported is compared with a load report.
	maxSampleAgeLeases = 0.6
	// maxSamples bounds Pool.samples.
	maxSamples = 64
	// warmupLeases is the age, in leases, up to which a pool counts unattributed
	// requests even if it holds all shares.
	warmupLeases = 6
	// incumbentFactor ranks members first that already have a grant or requests in
	// flight, so that remainders do not move between members without need.
	incumbentFactor = 0.75
	// roundingSlack keeps floating-point sums of equal shares from being truncated
	// to the next lower whole number.
	roundingSlack = 1e-9
)

// Request is a host's request to a coordinator for a grant.
type Request struct {
	Host string
	// Members is the number of hosts that own shares in the sender's view; 0 if
	// the sender owns none.
	Members int
	// Lease is how long the share is lent and the grant may be used.
	Lease time.Duration
	// Wanted is the number of requests in flight and waiting at the sender.
	// Urgent is the part of it that is granted before the non-urgent part of
	// any host. InFlight counts requests in flight.
	Wanted, Urgent, InFlight int
	// Echo is the Epoch of the newest grant that the sender received; 0 if it
	// has no recent one.
	Echo int64
	// Sent is the sender's clock when it sent the request, in milliseconds.
	Sent int64
}

// Grant allows a number of requests in flight.
type Grant struct {
	Amount int
	// Epoch is the coordinator's clock when it made the grant, in milliseconds.
	Epoch int64
	// InReplyTo is Sent of the request.
	InReplyTo int64
}

// Pool holds the shares lent to the coordinator of one upstream and the grants
// that it made.
type Pool struct {
	upstream string
	// since is when this host became the coordinator.
	since time.Time
	// longest is the longest lease in use.
	longest time.Duration
	// loadKnown is set when the upstream does not report its load, or a report
	// of since or later was received.
	loadKnown bool
	members   map[string]*member
	order     []*member
	// unattributed is the number of requests in the newest load report that no
	// member accounted for.
	unattributed int
	// samples holds the recent totals of requests in flight reported by members.
	samples []sample
}

// sample is the total of requests in flight reported by members at one time.
type sample struct {
	at       time.Time
	inFlight int
}

type member struct {
	id         string
	weight     uint64
	owners     int
	wanted     int
	urgent     int
	inFlight   int
	receivedAt time.Time
	shareUntil time.Time
	sent       int64
	grants     []outstandingGrant
	lease      time.Duration
	// part and incumbent are scratch fields of target. incumbent is set
	// when the member has requests in flight or a valid grant.
	part      int
	incumbent bool
}

type outstandingGrant struct {
	amount int
	epoch  int64
	until  time.Time
}

// NewPool returns the pool of a host that became the coordinator of an upstream
// at now. Longest is the longest lease in use; reports is set when the upstream
// reports its load.
func NewPool(upstream string, now time.Time, longest time.Duration, reports bool) *Pool {
	return &Pool{
		upstream: upstream, since: now, longest: longest, loadKnown: !reports, members: map[string]*member{},
	}
}

// Report applies a load report: the number of requests that ran and waited at
// the upstream at asOf.
func (p *Pool) Report(asOf time.Time, running int) {
	p.unattributed = max(0, running-p.minInFlight(asOf))
	if !asOf.Before(p.since) {
		p.loadKnown = true
	}
}

// leases returns the duration of n of the longest leases.
func (p *Pool) leases(n float64) time.Duration { return time.Duration(n * float64(p.longest)) }

// ready reports whether all requests that may run at the upstream are known: the
// grants of the previous coordinator have expired, and a load report includes
// the requests started under them.
func (p *Pool) ready(now time.Time) bool {
	return p.loadKnown && now.Sub(p.since) >= p.longest
}

// minInFlight returns the smallest sample within maxSampleAgeLeases of asOf, and
// drops the samples from before.
func (p *Pool) minInFlight(asOf time.Time) int {
	age := p.leases(maxSampleAgeLeases)
	least := 0
	kept := p.samples[:0]
	for _, s := range p.samples {
		if asOf.Sub(s.at) > age {
			continue
		}
		kept = append(kept, s)
		if s.at.Sub(asOf) <= age && (len(kept) == 1 || s.inFlight < least) {
			least = s.inFlight
		}
	}
	p.samples = kept
	return least
}

// addSample records the total of requests in flight that members reported
// within maxSampleAgeLeases.
func (p *Pool) addSample(now time.Time) {
	sum := 0
	for _, m := range p.order {
		if now.Sub(m.receivedAt) <= p.leases(maxSampleAgeLeases) {
			sum += m.inFlight
		}
	}
	if len(p.samples) == maxSamples {
		p.samples = append(p.samples[:0], p.samples[1:]...)
	}
	p.samples = append(p.samples, sample{now, sum})
}

// Receive applies a request. One older than the last from its host is ignored.
func (p *Pool) Receive(now time.Time, r Request) {
	m := p.members[r.Host]
	if m == nil {
		m = &member{id: r.Host, weight: xxhash.Sum64String(p.upstream + "\x00" + r.Host)}
		p.members[r.Host] = m
		p.order = append(p.order, m)
		sort.Slice(p.order, func(i, j int) bool { return p.order[i].weight < p.order[j].weight })
	}
	if r.Sent < m.sent {
		return
	}
	m.sent, m.receivedAt = r.Sent, now
	m.lease = r.Lease
	m.owners, m.wanted, m.urgent, m.inFlight = r.Members, r.Wanted, r.Urgent, r.InFlight
	p.addSample(now)
	if r.Echo == 0 {
		return
	}
	if until := time.UnixMilli(r.Echo).Add(r.Lease); r.Members > 0 && until.After(m.shareUntil) {
		m.shareUntil = until
	}
	m.dropSuperseded(r.Echo)
}

// dropSuperseded drops the grants older than the one that the holder echoed.
func (m *member) dropSuperseded(echo int64) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if g.epoch >= echo {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// GrantTo grants a host its part of level, the number of requests that the
// upstream can handle from all hosts. The host gets nothing if Receive had no
// request from it.
func (p *Pool) GrantTo(now time.Time, host string, level int) Grant {
	p.expireMembers(now)
	m := p.members[host]
	grant := Grant{Epoch: now.UnixMilli()}
	if m == nil {
		return grant
	}
	grant.InReplyTo = m.sent
	if p.ready(now) {
		grant.Amount = max(0, min(p.target(now, m, level), p.free(now, m, level)))
	}
	// The holder counts the lease from its request, which was sent before now.
	m.grants = append(m.grants, outstandingGrant{grant.Amount, grant.Epoch, now.Add(m.lease)})
	return grant
}

// Members returns the hosts that hold or request credits.
func (p *Pool) Members() []string {
	ids := make([]string, len(p.order))
	for i, m := range p.order {
		ids[i] = m.id
	}
	return ids
}

// expireMembers drops members that sent no request for memberTTLLeases.
func (p *Pool) expireMembers(now time.Time) {
	kept := p.order[:0]
	for _, m := range p.order {
		if now.Sub(m.receivedAt) < p.leases(memberTTLLeases) {
			kept = append(kept, m)
			continue
		}
		delete(p.members, m.id)
	}
	p.order = kept
}

// maxInFlight returns the most requests that a member may have in flight.
func (m *member) maxInFlight(now time.Time) int {
	highest := m.inFlight
	for _, g := range m.grants {
		if now.Before(g.until) {
			highest = max(highest, g.amount)
		}
	}
	return highest
}

// lenders returns the number of shares in the pool and the total number of shares.
func (p *Pool) lenders(now time.Time) (lenders, owners int) {
	owners = 1
	for _, m := range p.order {
		owners = max(owners, m.owners)
		if now.Before(m.shareUntil) {
			lenders++
		}
	}
	return lenders, owners
}

// lent returns the part of the limit that is lent to the pool, in whole requests.
func (p *Pool) lent(now time.Time, level int) int {
	lenders, owners := p.lenders(now)
	return min(level, int(float64(level)*float64(lenders)/float64(owners)+roundingSlack))
}

// free returns what the pool has left for a member after all others. While some
// shares are not in the pool, and until warmupLeases have passed, requests at
// the upstream that no member accounted for are subtracted too.
func (p *Pool) free(now time.Time, m *member, level int) int {
	others := 0
	for _, other := range p.order {
		if other != m {
			others += other.maxInFlight(now)
		}
	}
	unknown := 0
	if lenders, owners := p.lenders(now); lenders < owners || now.Sub(p.since) < p.leases(warmupLeases) {
		unknown = p.unattributed
	}
	return min(p.lent(now, level), level-unknown) - others
}

// target returns a member's part of the pool. Urgent demand is met first, then
// the rest; demand that exceeds the pool is met in proportion. What is left is
// divided equally. Members that have a grant or requests in flight are preferred
// for remainders.
func (p *Pool) target(now time.Time, m *member, level int) int {
	left := p.lent(now, level)
	for _, other := range p.order {
		other.part = 0
		other.incumbent = other.maxInFlight(now) > 0
	}
	left = p.allocate(left, func(o *member) int { return o.urgent })
	left = p.allocate(left, func(o *member) int { return o.wanted })
	for i, other := range p.order {
		other.part += part(left, i, len(p.order))
	}
	return m.part
}

// part returns the part of total for one of a number of places, divided as evenly
// as whole numbers allow.
func part(total, place, places int) int {
	if place < total%places {
		return total/places + 1
	}
	return total / places
}

// allocate gives members up to what they want and returns the rest. If left is
// too small, it is divided in proportion by the Webster (Sainte-Laguë) method.
func (p *Pool) allocate(left int, demand func(*member) int) int {
	for ; left > 0; left-- {
		var next *member
		best := 0.0
		for _, m := range p.order {
			wanted := demand(m)
			if m.part >= wanted {
				continue
			}
			rank := (float64(m.part) + 0.5) / float64(wanted)
			if m.incumbent {
				rank *= incumbentFactor
			}
			if next == nil || rank < best {
				next, best = m, rank
			}
		}
		if next == nil {
			return left
		}
		next.part++
	}
	return left
}
