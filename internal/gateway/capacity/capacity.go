// Package capacity decides how many upstreams of each kind are ordered in each
// availability zone. It does no I/O.
package capacity

import (
	"math"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// The plan.
const (
	// prefillRate is the number of prompt tokens that an engine reads in a
	// second.
	prefillRate = 112_000.0
	// prefillUse is the part of an engine's time that reading prompts may take:
	// the rest is for generating, for bursts, and for the loss of a zone beyond
	// the one that the plan bears.
	prefillUse = 0.25
	// slotUse is the part of an engine's slots that may be taken.
	slotUse = 0.35
	// tightUse is the part of the need that must be left after the next reclaim
	// of a zone; below it upstreams on demand are ordered beside the reclaimable
	// ones.
	tightUse = 0.7
	// stallTokens is the size of events in tokens from which streams stand still
	// for longer than objectives allow while their engine reads a long prompt
	// between the tokens of one event.
	stallTokens = 8
	// stallMargin is the factor by which more reclaimable engines are ordered
	// where streams stand still, so that few stand beside a long prompt.
	stallMargin = 1.5
	// stallTightUse takes the place of tightUse there.
	stallTightUse = 0.9
	// staffing is the margin until demand is known, beyond the number of
	// upstreams that operators started, in square roots of that number.
	staffing = 0.75
	// findFor is how long a planner looks at what is there before it gives any
	// back: upstreams that start together register one after another.
	findFor = 2 * time.Second
	// leastNeed is the smallest number of upstreams that a plan is made for.
	leastNeed = 6
	// afterRollout is how long after a rollout's deadline no orders are placed.
	afterRollout = 4 * time.Second
	// settleTime is how long enough reclaimable upstreams must be usable before
	// those on demand are given back.
	settleTime = 1500 * time.Millisecond
	// repeatAfter is the pause before an order is repeated that has not shown
	// its effect, besides the time that upstreams need to start.
	repeatAfter = 2 * time.Second
	// retryAfter is the pause after an order that was refused or failed.
	retryAfter = 2500 * time.Millisecond
	// changeAfter is the pause after an order before the number is changed.
	changeAfter = time.Second
)

type subject struct {
	service, zone string
	spot          bool
}

type placed struct {
	count   int
	at      time.Duration
	outcome duty.Outcome
}

// Planner decides orders. Its methods are called by one goroutine.
type Planner struct {
	own interface {
		Demand() map[string]members.Demand
	}
	// placed holds the newest order of each subject.
	placed map[subject]placed
	// enoughSince is the boot time since which reclaimable upstreams suffice,
	// by service.
	enoughSince map[string]time.Duration
	// found is the need that the upstreams of a service found at first suggest.
	found    map[string]int
	meters   map[string]*meter
	counters counters
}

var _ duty.Planner = (*Planner)(nil)

// NewPlanner returns a planner that ordered nothing yet. It is told what this
// host's callers ask.
func NewPlanner(own interface {
	Demand() map[string]members.Demand
}) *Planner {
	return &Planner{
		own: own, placed: map[subject]placed{}, enoughSince: map[string]time.Duration{},
		found: map[string]int{}, meters: map[string]*meter{}, counters: counters{last: map[process]uint64{}},
	}
}

// Orders implements duty.Planner.
func (p *Planner) Orders(s *control.Snapshot, moves duty.RolloutStarts, now time.Duration) []duty.Order {
	if s.View.Document == nil || s.View.ListedAt == 0 {
		return nil
	}
	var orders []duty.Order
	for i := range s.View.Document.Services {
		service := &s.View.Document.Services[i]
		if service.Capacity != nil {
			p.measure(s, service, now)
			if moving(s.View, moves, service.Name, now) {
				continue
			}
			orders = append(orders, p.service(s.View, service, now)...)
		}
	}
	return orders
}

// moving reports whether a service moves to a new version at present: its
// upstreams are the operators' then.
func moving(view *catalog.View, moves duty.RolloutStarts, service string, now time.Duration) bool {
	rollout, ordered := view.Rollouts[service]
	if !ordered {
		return false
	}
	since, begun := moves[service]
	return !begun || now-since < rollout.Within+afterRollout
}

// measure takes in what callers of all hosts ask of a service. What this host
// itself has running is left out: it is one of many.
func (p *Planner) measure(s *control.Snapshot, service *catalog.Service, now time.Duration) {
	m := p.meters[service.Name]
	if m == nil {
		m = &meter{}
		p.meters[service.Name] = m
	}
	tokens := p.counters.since(0, service.Name, p.own.Demand()[service.Name])
	for _, peer := range s.Peers {
		tokens += p.counters.since(peer.Incarnation, service.Name, peer.Demand[service.Name])
	}
	running := 0
	for _, u := range s.View.Members[service.Name] {
		running += s.RemoteLoads[inflight.Hash(u.ID)].Requests
	}
	m.add(tokens, float64(running), now)
}

// foundNeed returns the need that what a planner finds at first was made for.
// Operators start upstreams on demand; reclaimable ones are an earlier holder's
// plan, which has those of one zone to spare.
func foundNeed(have present, zones int) int {
	if have.spot == 0 {
		total := float64(have.total)
		return int(math.Ceil(total + staffing*math.Sqrt(total)))
	}
	return (have.total*(zones-1) + zones - 1) / zones
}

// finding reports whether the upstreams that are there may not all be listed.
func (p *Planner) finding(service string, now time.Duration) bool {
	return now-p.meters[service].first <= findFor
}

// need returns how many upstreams the demand for a service needs. Until demand
// is known, that is what the upstreams that were found were made for.
func (p *Planner) need(have present, service *catalog.Service, now time.Duration) int {
	m := p.meters[service.Name]
	if p.finding(service.Name, now) {
		p.found[service.Name] = max(p.found[service.Name], foundNeed(have, len(service.Capacity.ZonePrices)))
	}
	need := m.rate / (prefillRate * prefillUse)
	if service.Engine != nil && service.Engine.Slots > 0 {
		need = max(need, m.running/(float64(service.Engine.Slots)*slotUse))
	}
	highest := m.highest(int(math.Ceil(need)), now)
	if !m.trusted(now) {
		highest = max(highest, p.found[service.Name])
	}
	return max(highest, leastNeed)
}

// Ordered implements duty.Planner.
func (p *Planner) Ordered(o duty.Order, outcome duty.Outcome, now time.Duration) {
	p.placed[subject{o.Service, o.Zone, o.Spot}] = placed{count: o.Count, at: now, outcome: outcome}
}

// present counts the upstreams of a service.
type present struct {
	// running are those that do not leave, by zone and kind.
	running map[subject]int
	// usableSpot are the reclaimable ones that take full load, by zone.
	usableSpot  map[string]int
	total, spot int
}

// afterReclaim returns the usable reclaimable upstreams without those of the
// zone that has most of them.
func (p present) afterReclaim() int {
	sum, most := 0, 0
	for _, n := range p.usableSpot {
		sum += n
		most = max(most, n)
	}
	return sum - most
}

func count(view *catalog.View, service string, now time.Duration) present {
	result := present{running: map[subject]int{}, usableSpot: map[string]int{}}
	for _, m := range view.Members[service] {
		if m.Draining {
			continue
		}
		result.running[subject{service, m.Zone, m.Spot}]++
		result.total++
		if m.Spot {
			result.spot++
		}
		if m.Spot && !view.ExcludedZones[m.Zone] && now >= m.ColdUntil {
			result.usableSpot[m.Zone]++
		}
	}
	return result
}

func (p *Planner) service(view *catalog.View, service *catalog.Service, now time.Duration) []duty.Order {
	have := count(view, service.Name, now)
	zones := zonesByPrice(service.Capacity)
	if len(zones) == 0 || have.total == 0 {
		return nil
	}
	need := p.need(have, service, now)
	spot := spotWanted(service.Capacity, withMargin(service, need), len(zones))
	var orders []duty.Order
	for _, zone := range zones {
		orders = p.want(orders, have, service, zone, true, spot, now)
	}
	onDemand, known := p.onDemand(have, service, zones, need, spot, now)
	if !known {
		return orders
	}
	for _, zone := range zones {
		orders = p.want(orders, have, service, zone, false, onDemand[zone], now)
	}
	return orders
}

// withMargin returns the need for reclaimable upstreams.
//
// Load pattern: an engine reads a prompt in chunks, between two tokens of each
// stream that it generates. Beside a prompt of 40,000 tokens an event of ten
// tokens takes longer than half a second, and every stream there is late.
func withMargin(service *catalog.Service, need int) int {
	if !stalls(service) {
		return need
	}
	return int(math.Ceil(float64(need) * stallMargin))
}

// stalls reports whether streams of a service stand still beside long prompts.
func stalls(service *catalog.Service) bool {
	return service.Engine != nil && service.Engine.EventTokens >= stallTokens
}

// tight returns the number of reclaimable upstreams that must be left after the
// next reclaim; those on demand make up for the rest.
func tight(service *catalog.Service, need int) int {
	use := tightUse
	if stalls(service) {
		use = stallTightUse
	}
	return int(math.Ceil(float64(need) * use))
}

// spotWanted returns the number of reclaimable upstreams wanted in each zone:
// the need must be met without one of the zones.
//
// Load pattern: all reclaimable upstreams of a zone are reclaimed at once, and
// none are to be had anywhere for some time.
func spotWanted(c *catalog.Capacity, need, zones int) int {
	if c.SpotPrice <= 0 || c.SpotPrice >= 1 {
		return 0
	}
	perZone := (need + zones - 1) / zones
	if zones > 1 {
		perZone = (need + zones - 2) / (zones - 1)
	}
	return min(perZone, c.Max)
}

// zonesByPrice returns the zones, cheapest first.
func zonesByPrice(c *catalog.Capacity) []string {
	zones := make([]string, 0, len(c.ZonePrices))
	for zone := range c.ZonePrices {
		zones = append(zones, zone)
	}
	sort.Slice(zones, func(i, j int) bool {
		if a, b := c.ZonePrices[zones[i]], c.ZonePrices[zones[j]]; a != b {
			return a < b
		}
		return zones[i] < zones[j]
	})
	return zones
}

// onDemand returns the number of upstreams on demand wanted in each zone, or
// false while it is too early to give any back.
//
// Load pattern: ninety upstreams that started together register over seconds,
// and the plan is made when some of them are listed.
func (p *Planner) onDemand(have present, service *catalog.Service, zones []string, need, spot int, now time.Duration) (map[string]int, bool) {
	if p.finding(service.Name, now) {
		return nil, false
	}
	wanted := map[string]int{}
	short := tight(service, need) - have.afterReclaim()
	if spot == 0 {
		short = need
	}
	if short <= 0 {
		since, counting := p.enoughSince[service.Name]
		if !counting {
			p.enoughSince[service.Name] = now
			return nil, false
		}
		if now-since < settleTime {
			return nil, false
		}
	} else {
		delete(p.enoughSince, service.Name)
	}
	room := service.Capacity.Max - spot
	for round := 0; round < room && short > 0; round++ {
		for _, zone := range zones {
			if short > 0 {
				wanted[zone]++
				short--
			}
		}
	}
	for _, zone := range zones {
		if spot == 0 {
			wanted[zone] = max(wanted[zone], service.Capacity.Min)
		}
	}
	return wanted, true
}

// want adds an order if a number of upstreams is wanted that is neither there
// nor ordered.
func (p *Planner) want(orders []duty.Order, have present, service *catalog.Service, zone string, spot bool, count int, now time.Duration) []duty.Order {
	key := subject{service.Name, zone, spot}
	last, ordered := p.placed[key]
	switch {
	case !ordered && have.running[key] == count:
		return orders
	case ordered && last.outcome != duty.Done && now-last.at < retryAfter:
		return orders
	case ordered && last.outcome == duty.Done && now-last.at < changeAfter:
		return orders
	case ordered && last.outcome == duty.Done && last.count == count:
		if have.running[key] == count || now-last.at < service.Capacity.Startup+repeatAfter {
			return orders
		}
	}
	return append(orders, duty.Order{Service: service.Name, Zone: zone, Count: count, Spot: spot})
}
