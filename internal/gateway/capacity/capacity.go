// Package capacity plans how many reclaimable and on-demand upstreams are ordered in
// each availability zone. It does no I/O.
package capacity

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// Parameters of the plan.
const (
	// prefillUtilization is the planned share of an engine's time for reading
	// prompts. The rest is for generating, for bursts, and for the loss of a
	// zone beyond the one that the plan allows for.
	prefillUtilization = 0.25
	// slotUtilization is the planned share of an engine's slots in use.
	slotUtilization = 0.35
	// minShareAfterReclaim is the share of the need that reclaimable upstreams
	// must cover after the next reclaim of a zone; below it on-demand upstreams
	// are ordered as well.
	minShareAfterReclaim = 0.7
	// stallEventTokens is the size of events in tokens from which streams stall
	// for longer than objectives allow while their engine reads a long prompt
	// between the tokens of one event.
	stallEventTokens = 8
	// stallMargin is the factor for the number of reclaimable engines of services
	// whose streams stall, so that few streams share an engine with a long
	// prompt.
	stallMargin = 1.5
	// stallMinShareAfterReclaim is minShareAfterReclaim for these services.
	stallMinShareAfterReclaim = 0.9
	// staffingMargin is the margin over the number of upstreams that operators
	// started, in square roots of that number (square-root staffing). It applies
	// until demand is known.
	staffingMargin = 0.75
	// discoveryTime is how long a new planner counts the existing upstreams
	// before it releases any: upstreams that start together register one after
	// another.
	discoveryTime = 2 * time.Second
	// minNeed is the smallest number of upstreams that is planned for a service.
	minNeed = 6
	// rolloutCooldown is the time after a rollout's deadline in which no orders
	// are placed.
	rolloutCooldown = 4 * time.Second
	// releaseDelay is how long enough reclaimable upstreams must be usable before
	// on-demand ones are released.
	releaseDelay = 1500 * time.Millisecond
	// reorderDelay is the time after which an order without effect is repeated,
	// in addition to the startup time of upstreams.
	reorderDelay = 2 * time.Second
	// retryDelay is the pause after an order that was refused or failed.
	retryDelay = 2500 * time.Millisecond
	// changeDelay is the pause after an order before a different number is
	// ordered.
	changeDelay = time.Second
)

// orderKey identifies what an order replaces: the number of upstreams of a kind in an
// availability zone.
type orderKey struct {
	service, zone string
	spot          bool
}

// placedOrder is an order that was placed.
type placedOrder struct {
	count   int
	at      time.Duration
	outcome duty.Outcome
}

// Planner decides which upstreams to order. Its methods are called by one goroutine.
type Planner struct {
	observed Observations
	// placed holds the newest order of each key.
	placed map[orderKey]placedOrder
	// enoughSince is the boot time since which reclaimable upstreams suffice,
	// by service.
	enoughSince map[string]time.Duration
	// initialNeeds holds the need by service that is derived from the upstreams
	// found in discoveryTime.
	initialNeeds map[string]int
	meters       map[string]*meter
	counters     counters
}

var _ duty.Planner = (*Planner)(nil)

// Observations are what this host observes of its callers and of engines.
type Observations interface {
	// Demand returns the demand of this host's callers by service.
	Demand() map[string]members.Demand
	// PrefillRate returns the number of prompt tokens that an engine of a service
	// processes per millisecond.
	PrefillRate(service string) float64
}

// NewPlanner returns a planner that has ordered nothing yet.
func NewPlanner(observed Observations) *Planner {
	return &Planner{
		observed: observed, placed: map[orderKey]placedOrder{}, enoughSince: map[string]time.Duration{},
		initialNeeds: map[string]int{}, meters: map[string]*meter{}, counters: counters{last: map[processKey]uint64{}},
	}
}

// Orders implements duty.Planner.
func (p *Planner) Orders(s *control.Snapshot, starts duty.RolloutStarts, now time.Duration) []duty.Order {
	if s.View.Document == nil || s.View.ListedAt == 0 {
		return nil
	}
	var orders []duty.Order
	for i := range s.View.Document.Services {
		service := &s.View.Document.Services[i]
		if service.Capacity != nil {
			p.measure(s, service, now)
			if rolloutActive(s.View, starts, service.Name, now) {
				continue
			}
			orders = append(orders, p.planService(s.View, service, now)...)
		}
	}
	return orders
}

// rolloutActive reports whether a rollout of a service is in progress, during which
// operators control the number of its upstreams.
func rolloutActive(view *catalog.View, starts duty.RolloutStarts, service string, now time.Duration) bool {
	rollout, ordered := view.Rollouts[service]
	if !ordered {
		return false
	}
	since, started := starts[service]
	return !started || now-since < rollout.Within+rolloutCooldown
}

// measure updates the demand for a service from the counters of all hosts and the
// in-flight requests of peers. This host's own in-flight requests are left out, since
// it is one of many hosts.
func (p *Planner) measure(s *control.Snapshot, service *catalog.Service, now time.Duration) {
	m := p.meters[service.Name]
	if m == nil {
		m = &meter{}
		p.meters[service.Name] = m
	}
	tokens := p.counters.delta(0, service.Name, p.observed.Demand()[service.Name])
	for _, peer := range s.Peers {
		tokens += p.counters.delta(peer.Incarnation, service.Name, peer.Demand[service.Name])
	}
	running := 0
	for _, u := range s.View.Members[service.Name] {
		running += int(s.RemoteLoads[inflight.Hash(u.ID)].Requests)
	}
	m.add(tokens, float64(running), now)
}

// initialNeed returns the need for which the existing upstreams were started. If all
// are on-demand ones, operators started them, and staffingMargin is added. Reclaimable
// ones were ordered by an earlier holder of the duties, whose plan has a spare zone.
func initialNeed(have inventory, zones int) int {
	if have.spot == 0 {
		total := float64(have.total)
		return int(math.Ceil(total + staffingMargin*math.Sqrt(total)))
	}
	return (have.total*(zones-1) + zones - 1) / zones
}

// discovering reports whether some existing upstreams may not be listed yet.
func (p *Planner) discovering(service string, now time.Duration) bool {
	return now-p.meters[service].startedAt <= discoveryTime
}

// need returns the number of upstreams that the demand for a service requires. Until
// demand was measured for long enough, it is at least the initial need.
func (p *Planner) need(have inventory, service *catalog.Service, now time.Duration) int {
	m := p.meters[service.Name]
	if p.discovering(service.Name, now) {
		p.initialNeeds[service.Name] = max(p.initialNeeds[service.Name], initialNeed(have, len(service.Capacity.ZonePrices)))
	}
	tokensPerSecond := p.observed.PrefillRate(service.Name) * 1000
	need := m.rate / (tokensPerSecond * prefillUtilization)
	if service.Engine != nil && service.Engine.Slots > 0 {
		need = max(need, m.running/(float64(service.Engine.Slots)*slotUtilization))
	}
	highest := m.recentPeak(int(math.Ceil(need)), now)
	if !m.trusted(now) {
		highest = max(highest, p.initialNeeds[service.Name])
	}
	return max(highest, minNeed)
}

// Ordered implements duty.Planner.
func (p *Planner) Ordered(o duty.Order, outcome duty.Outcome, now time.Duration) {
	p.placed[orderKey{o.Service, o.Zone, o.Spot}] = placedOrder{count: o.Count, at: now, outcome: outcome}
}

// planService returns the orders that are due for a service. It orders nothing for a
// service without upstreams.
func (p *Planner) planService(view *catalog.View, service *catalog.Service, now time.Duration) []duty.Order {
	have := countUpstreams(view, service.Name, now)
	zones := zonesByPrice(service.Capacity)
	if len(zones) == 0 || have.total == 0 {
		return nil
	}
	need := p.need(have, service, now)
	spot := spotPerZone(service.Capacity, addStallMargin(service, need), len(zones))
	var orders []duty.Order
	for _, zone := range zones {
		orders = p.appendOrder(orders, have, service, zone, true, min(spot, p.room(have, service, zone, true, now)), now)
	}
	onDemand, known := p.onDemandPerZone(have, service, zones, need, spot, now)
	if !known {
		return orders
	}
	for _, zone := range zones {
		orders = p.appendOrder(orders, have, service, zone, false, onDemand[zone], now)
	}
	return orders
}

// addStallMargin returns the need for reclaimable upstreams, which includes a margin
// for services whose streams stall.
//
// Load pattern: an engine reads a prompt in chunks, between two tokens of each stream
// that it generates. While it reads a prompt of 40,000 tokens, an event of ten tokens
// takes longer than half a second, so that all streams of the engine are late.
func addStallMargin(service *catalog.Service, need int) int {
	if !stalls(service) {
		return need
	}
	return int(math.Ceil(float64(need) * stallMargin))
}

// stalls reports whether streams of a service stall while their engine reads a long
// prompt.
func stalls(service *catalog.Service) bool {
	return service.Engine != nil && service.Engine.EventTokens >= stallEventTokens
}

// minAfterReclaim returns the number of reclaimable upstreams that must remain after
// the next reclaim of a zone; on-demand ones make up for missing ones.
func minAfterReclaim(service *catalog.Service, need int) int {
	share := minShareAfterReclaim
	if stalls(service) {
		share = stallMinShareAfterReclaim
	}
	return int(math.Ceil(float64(need) * share))
}

// onDemandPerZone returns the wanted number of on-demand upstreams in each zone, or
// false while it is too early to release any.
//
// Load pattern: ninety upstreams that were started together register over several
// seconds, and the first plan is made when only some of them are listed.
//
// Scenario: a zone may have thirty upstreams, all of which are wanted as reclaimable
// ones, and none of those are available. On-demand ones are not released to make room.
func (p *Planner) onDemandPerZone(have inventory, service *catalog.Service, zones []string, need, spot int, now time.Duration) (map[string]int, bool) {
	if p.discovering(service.Name, now) {
		return nil, false
	}
	wanted := map[string]int{}
	short := minAfterReclaim(service, need) - have.afterReclaim()
	if spot == 0 {
		short = need
	}
	if short <= 0 {
		since, counting := p.enoughSince[service.Name]
		if !counting {
			p.enoughSince[service.Name] = now
			return nil, false
		}
		if now-since < releaseDelay {
			return nil, false
		}
	} else {
		delete(p.enoughSince, service.Name)
	}
	for added := true; added && short > 0; {
		added = false
		for _, zone := range zones {
			if short > 0 && wanted[zone] < p.room(have, service, zone, false, now) {
				wanted[zone]++
				short--
				added = true
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

// room returns how many upstreams of a kind a zone may have. Its limit applies to both
// kinds together, so those of the other kind count against it: as many as run, or as
// were ordered while these may still be starting or ending.
func (p *Planner) room(have inventory, service *catalog.Service, zone string, spot bool, now time.Duration) int {
	other := orderKey{service.Name, zone, !spot}
	count := have.running[other]
	last, ordered := p.placed[other]
	if ordered && last.outcome == duty.Done && now-last.at < service.Capacity.Startup+reorderDelay {
		count = last.count
	}
	return max(service.Capacity.Max-count, 0)
}

// appendOrder appends an order for count upstreams unless they exist without an order,
// were ordered and exist or may still be starting, or the last order of the same kind
// and zone is too recent to be changed or retried.
func (p *Planner) appendOrder(orders []duty.Order, have inventory, service *catalog.Service, zone string, spot bool, count int, now time.Duration) []duty.Order {
	key := orderKey{service.Name, zone, spot}
	last, ordered := p.placed[key]
	switch {
	case !ordered && have.running[key] == count:
		return orders
	case ordered && last.outcome != duty.Done && now-last.at < retryDelay:
		return orders
	case ordered && last.outcome == duty.Done && now-last.at < changeDelay:
		return orders
	case ordered && last.outcome == duty.Done && last.count == count:
		if have.running[key] == count || now-last.at < service.Capacity.Startup+reorderDelay {
			return orders
		}
	}
	return append(orders, duty.Order{Service: service.Name, Zone: zone, Count: count, Spot: spot})
}
