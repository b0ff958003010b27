// Package credit keeps the limit of an upstream over all entry hosts together.
//
// Each of the n hosts that may send to an upstream owns 1/n of its limit and
// lends this share to the one host that it takes for the upstream's coordinator.
// The coordinator pools the shares lent to it and grants whole requests out of
// them. A host lends to one coordinator at a time, so that the pools of all hosts
// that take themselves for the coordinator never exceed the limit together.
//
// Shares are lent, and grants used, for the lease that each want names. Both
// are measured without common clocks: the coordinator counts a share from the
// sending time of the grant that the lender echoes, and a holder counts a
// grant from the sending time of the want that it answers.
//
// Nothing here does I/O or reads a clock.
package credit

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memoryLeases is how long, in leases, a coordinator counts the requests of a
	// host that it hears nothing of.
	memoryLeases = 2.5
	// tellLeases is the age, in leases, up to which what a member tells of its
	// requests in flight is set against a load report.
	tellLeases = 0.6
	// maxTold bounds the samples of what members told of.
	maxTold = 64
	// youngLeases is the age, in leases, up to which a pool counts requests of
	// hosts that it does not know.
	youngLeases = 6
	// holdsBonus moves members that have a grant forward, so that odd requests
	// don't change hands without need.
	holdsBonus = 0.75
	// roundingSlack keeps sums of equal shares from falling just below a whole number.
	roundingSlack = 1e-9
)

// Request asks a coordinator for a grant.
type Request struct {
	Host string
	// Members is the number of hosts that own shares, as the sender knows it; 0
	// when the sender owns none.
	Members int
	// Lease is how long the share is lent and grants are used.
	Lease time.Duration
	// Wanted counts requests in flight and waiting at the sender. Urgent is
	// the part that is served before what other hosts want beyond theirs.
	Wanted, Urgent, InFlight int
	// Echo is the Epoch of the newest grant that the sender got.
	Echo int64
	// Sent is the sender's clock, in milliseconds.
	Sent int64
}

// Grant allows a number of requests in flight.
type Grant struct {
	Amount int
	// Epoch is the coordinator's clock, in milliseconds.
	Epoch int64
	// InReplyTo is the Sent of the want.
	InReplyTo int64
}

// Pool is what the coordinator of one upstream has lent and granted.
type Pool struct {
	upstream string
	since    time.Time
	// longest is the longest lease in use.
	longest time.Duration
	// reported tells that a load report of after since came, or that the
	// upstream gives none.
	reported bool
	members  map[string]*member
	order    []*member
	// unknown is the number of requests in the newest load report that no
	// member told of.
	unknown int
	// told holds the sums of requests in flight that members told of.
	told []sample
}

// sample is the number of requests in flight that members told of at a time.
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
	heard      time.Time
	shareUntil time.Time
	sent       int64
	grants     []granted
	lease      time.Duration
	// part and holds are used by target only.
	part  int
	holds bool
}

type granted struct {
	amount int
	epoch  int64
	until  time.Time
}

// NewPool returns the pool of a host that took an upstream over at a time.
// Longest is the longest lease in use; reports tells whether the upstream
// reports its load.
func NewPool(upstream string, now time.Time, longest time.Duration, reports bool) *Pool {
	return &Pool{
		upstream: upstream, since: now, longest: longest, reported: !reports, members: map[string]*member{},
	}
}

// Report takes the number of requests that ran and waited at the upstream at a time.
func (p *Pool) Report(asOf time.Time, running int) {
	p.unknown = max(0, running-p.leastTold(asOf))
	if !asOf.Before(p.since) {
		p.reported = true
	}
}

// leases returns the time of a number of leases.
func (p *Pool) leases(n float64) time.Duration { return time.Duration(n * float64(p.longest)) }

// ready reports whether all that may run at the upstream is known: the grants
// of the last coordinator have ended and a load report shows what they started.
func (p *Pool) ready(now time.Time) bool {
	return p.reported && now.Sub(p.since) >= p.longest
}

// leastTold returns the least sum that members told of around a time, and
// drops older samples.
func (p *Pool) leastTold(asOf time.Time) int {
	age := p.leases(tellLeases)
	least := 0
	kept := p.told[:0]
	for _, s := range p.told {
		if asOf.Sub(s.at) > age {
			continue
		}
		kept = append(kept, s)
		if s.at.Sub(asOf) <= age && (len(kept) == 1 || s.inFlight < least) {
			least = s.inFlight
		}
	}
	p.told = kept
	return least
}

// tell records the sum of what members told of lately.
func (p *Pool) tell(now time.Time) {
	sum := 0
	for _, m := range p.order {
		if now.Sub(m.heard) <= p.leases(tellLeases) {
			sum += m.inFlight
		}
	}
	if len(p.told) == maxTold {
		p.told = append(p.told[:0], p.told[1:]...)
	}
	p.told = append(p.told, sample{now, sum})
}

// Receive takes a want. A want older than the last one is ignored.
func (p *Pool) Receive(now time.Time, w Request) {
	m := p.members[w.Host]
	if m == nil {
		m = &member{id: w.Host, weight: xxhash.Sum64String(p.upstream + "\x00" + w.Host)}
		p.members[w.Host] = m
		p.order = append(p.order, m)
		sort.Slice(p.order, func(i, j int) bool { return p.order[i].weight < p.order[j].weight })
	}
	if w.Sent < m.sent {
		return
	}
	m.sent, m.heard = w.Sent, now
	m.lease = w.Lease
	m.owners, m.wanted, m.urgent, m.inFlight = w.Members, w.Wanted, w.Urgent, w.InFlight
	p.tell(now)
	if w.Echo == 0 {
		return
	}
	if until := time.UnixMilli(w.Echo).Add(w.Lease); w.Members > 0 && until.After(m.shareUntil) {
		m.shareUntil = until
	}
	m.superseded(w.Echo)
}

// superseded drops the grants that the holder has replaced by a newer one.
func (m *member) superseded(echo int64) {
	kept := m.grants[:0]
	for _, g := range m.grants {
		if g.epoch >= echo {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// Grant grants a host its part of what the upstream bears from all hosts
// together. The host must have been heard by Take.
func (p *Pool) Grant(now time.Time, host string, level int) Grant {
	p.forget(now)
	m := p.members[host]
	grant := Grant{Epoch: now.UnixMilli()}
	if m == nil {
		return grant
	}
	grant.InReplyTo = m.sent
	if p.ready(now) {
		grant.Amount = max(0, min(p.target(now, m, level), p.free(now, m, level)))
	}
	// A holder counts the grant from its own want, which was sent before now.
	m.grants = append(m.grants, granted{grant.Amount, grant.Epoch, now.Add(m.lease)})
	return grant
}

// Members returns the hosts that hold or ask for credits.
func (p *Pool) Members() []string {
	ids := make([]string, len(p.order))
	for i, m := range p.order {
		ids[i] = m.id
	}
	return ids
}

// forget drops members of which nothing counts any more.
func (p *Pool) forget(now time.Time) {
	kept := p.order[:0]
	for _, m := range p.order {
		if now.Sub(m.heard) < p.leases(memoryLeases) {
			kept = append(kept, m)
			continue
		}
		delete(p.members, m.id)
	}
	p.order = kept
}

// obligation returns what a member may have in flight.
func (m *member) obligation(now time.Time) int {
	most := m.inFlight
	for _, g := range m.grants {
		if now.Before(g.until) {
			most = max(most, g.amount)
		}
	}
	return most
}

// lenders returns the number of shares in the pool, and of all shares.
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

// lent returns the part of the limit that is in the pool, in whole requests.
func (p *Pool) lent(now time.Time, level int) int {
	lenders, owners := p.lenders(now)
	return min(level, int(float64(level)*float64(lenders)/float64(owners)+roundingSlack))
}

// free returns what the pool has left for a member beside all others. While
// some shares are elsewhere or lately were, the requests that run at the upstream and that no
// member told of count too.
func (p *Pool) free(now time.Time, m *member, level int) int {
	others := 0
	for _, other := range p.order {
		if other != m {
			others += other.obligation(now)
		}
	}
	unknown := 0
	if lenders, owners := p.lenders(now); lenders < owners || now.Sub(p.since) < p.leases(youngLeases) {
		unknown = p.unknown
	}
	return min(p.lent(now, level), level-unknown) - others
}

// target returns a member's part. Urgent wants are met first, then the others;
// where they can't all be met, members get parts in proportion. What nobody
// wants is dealt out equally. Odd requests go to those that have a grant already.
func (p *Pool) target(now time.Time, m *member, level int) int {
	left := p.lent(now, level)
	for _, other := range p.order {
		other.part = 0
		other.holds = other.obligation(now) > 0
	}
	left = p.dealWants(left, func(o *member) int { return o.urgent })
	left = p.dealWants(left, func(o *member) int { return o.wanted })
	for i, other := range p.order {
		other.part += part(left, i, len(p.order))
	}
	return m.part
}

// part returns what one of a number of places gets when a total is dealt out.
func part(total, place, places int) int {
	if place < total%places {
		return total/places + 1
	}
	return total / places
}

// dealWants gives members what they want; where there is less, in proportion by
// the method of Webster.
func (p *Pool) dealWants(left int, want func(*member) int) int {
	for ; left > 0; left-- {
		var next *member
		best := 0.0
		for _, m := range p.order {
			wanted := want(m)
			if m.part >= wanted {
				continue
			}
			rank := (float64(m.part) + 0.5) / float64(wanted)
			if m.holds {
				rank *= holdsBonus
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
