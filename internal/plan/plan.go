// Package plan computes in which zones and host classes the hosts of a service
// should run, from its demand, the prices and the running hosts.
package plan

import (
	"math"
	"slices"
	"sort"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Slot is a zone and host class in which hosts can run.
type Slot struct {
	Zone  string
	Class document.HostClass
}

// Offer describes the hosts that the platform offers in a slot.
type Offer struct {
	Slot
	// Price is the price of one host per hour.
	Price float64
	// Reclaims is the expected number of reclaims of one host per hour.
	Reclaims float64
	// Fixed is the number of running hosts that must not be stopped.
	Fixed int
	// Running is the number of other running hosts.
	Running int
	// Closed is set when the platform has no more hosts in the slot.
	Closed bool
}

// Request holds the requirements and the offers.
type Request struct {
	// Needed is the number of warm hosts that serve the demand within the
	// latency target.
	Needed int
	// Min and Max are the bounds on the number of hosts.
	Min, Max int
	// ReclaimableShare is the maximum share of reclaimable hosts, from 0 to 1.
	ReclaimableShare float64
	// ReclaimHours is the cost of one reclaim in host-hours: the replacement's
	// cold start and loading of weights, and the tokens computed again.
	ReclaimHours float64
	// SwitchHours is the cost, in host-hours, of replacing a running host by a
	// new one, divided by the planning horizon in hours.
	SwitchHours float64
	Offers      []Offer
}

// Equal reports whether two requests are equal.
func (r *Request) Equal(other *Request) bool {
	return r.Needed == other.Needed && r.Min == other.Min && r.Max == other.Max &&
		r.ReclaimableShare == other.ReclaimableShare && r.ReclaimHours == other.ReclaimHours &&
		r.SwitchHours == other.SwitchHours && slices.Equal(r.Offers, other.Offers)
}

// Fleet is the number of hosts in each slot.
type Fleet struct {
	Hosts map[Slot]int
	// Cost is the expected cost per hour, including that of reclaims.
	Cost float64
	// Shortfall is the number of hosts missing for Needed after the loss of the
	// largest of several availability zones, or for Min without a loss,
	// whichever is more.
	Shortfall int
}

// Total returns the number of hosts.
func (f Fleet) Total() int {
	sum := 0
	for _, count := range f.Hosts {
		sum += count
	}
	return sum
}

// Solve returns the cheapest fleet that still has the needed hosts after the
// loss of any one of several zones. If there is none, it returns the one with the
// fewest missing hosts.
func Solve(req Request) Fleet {
	best, found := Fleet{}, false
	for _, limit := range zoneLimits(req) {
		fleet := solveWithin(req, limit)
		if !found || better(fleet, best) {
			best, found = fleet, true
		}
	}
	return best
}

// maxExhaustiveHosts is the number of hosts up to which every limit per zone is
// tried.
const maxExhaustiveHosts = 16

// zoneLimits returns the limits on the hosts per zone to try. For large fleets
// these are only the limits that fill a whole number of zones, at which the
// cheapest fleet may change its shape.
func zoneLimits(req Request) []int {
	target := max(1, req.Needed, req.Min)
	var list []int
	if target <= maxExhaustiveHosts {
		for limit := 1; limit <= target; limit++ {
			list = append(list, limit)
		}
		return list
	}
	for count := 1; count <= max(1, zones(req.Offers)); count++ {
		list = append(list, (target+count-1)/count)
	}
	return list
}

func better(a, b Fleet) bool {
	if a.Shortfall != b.Shortfall {
		return a.Shortfall < b.Shortfall
	}
	return a.Cost < b.Cost
}

// solveWithin plans with at most limit hosts in each zone, except in zones that
// have more fixed hosts. If there are several zones, it plans spare hosts for the
// loss of the largest.
func solveWithin(req Request, limit int) Fleet {
	largest := limit
	for _, hosts := range fixedByZone(req.Offers) {
		largest = max(largest, hosts)
	}
	total := max(req.Needed+largest, req.Min)
	if zones(req.Offers) < 2 {
		total = max(req.Needed, req.Min)
	}
	total = min(total, req.Max)
	maxReclaimable := int(math.Floor(req.ReclaimableShare * float64(total)))
	list := penalties(req)
	first := sort.Search(len(list), func(i int) bool {
		return fill(req, limit, total, math.MaxInt32, list[i]).reclaimable() <= maxReclaimable
	})
	best, found := Fleet{}, false
	for i := max(0, first-penaltyWindow); i <= min(first+penaltyWindow, len(list)-1); i++ {
		f := fill(req, limit, total, maxReclaimable, list[i])
		if !found || better(f, best) {
			best, found = f, true
		}
	}
	return best
}

// penaltyWindow is the number of penalties to try, with the bound on reclaimable
// hosts enforced, on each side of the first that meets it without enforcement.
const penaltyWindow = 2

func (f Fleet) reclaimable() int {
	sum := 0
	for slot, count := range f.Hosts {
		if slot.Class == document.Reclaimable {
			sum += count
		}
	}
	return sum
}

func zones(offers []Offer) int {
	names := map[string]bool{}
	for _, o := range offers {
		names[o.Zone] = true
	}
	return len(names)
}

func fixedByZone(offers []Offer) map[string]int {
	fixed := map[string]int{}
	for _, o := range offers {
		fixed[o.Zone] += o.Fixed
	}
	return fixed
}

// cost returns the expected cost per hour of a host in a slot.
func (r *Request) cost(o *Offer) float64 {
	return o.Price * (1 + o.Reclaims*r.ReclaimHours)
}

// penaltyEpsilon is added to a penalty that makes two costs equal, to reverse
// their order.
const penaltyEpsilon = 1e-9

// penalties returns the surcharges on reclaimable hosts with which the cheapest
// fleet may meet the bound on their share: those at which the order of a
// reclaimable and an on-demand candidate changes.
func penalties(req Request) []float64 {
	var reclaimable, onDemand []float64
	for i := range req.Offers {
		for _, c := range req.candidates(&req.Offers[i], 0) {
			if c.slot.Class == document.Reclaimable {
				reclaimable = append(reclaimable, c.key)
			} else {
				onDemand = append(onDemand, c.key)
			}
		}
	}
	list := []float64{0}
	for _, low := range reclaimable {
		for _, high := range onDemand {
			if high > low {
				list = append(list, high-low, high-low+penaltyEpsilon)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// candidate is a number of hosts of equal cost in a slot.
type candidate struct {
	slot  Slot
	count int
	// key is the sort key, which is the cost with the penalty; cost is the cost
	// of one host per hour.
	key, cost float64
}

// fill adds hosts to the fixed ones in the order of their cost with the penalty,
// up to total hosts, limit per zone and the given number of reclaimable ones.
func fill(req Request, limit, total, reclaimable int, penalty float64) Fleet {
	f := Fleet{Hosts: map[Slot]int{}}
	zoneHosts := map[string]int{}
	var candidates []candidate
	for i := range req.Offers {
		o := &req.Offers[i]
		f.add(o.Slot, o.Fixed, req.cost(o))
		zoneHosts[o.Zone] += o.Fixed
		if o.Class == document.Reclaimable {
			reclaimable -= o.Fixed
		}
		candidates = append(candidates, req.candidates(o, penalty)...)
	}
	sort.SliceStable(candidates, func(i, j int) bool { return less(candidates[i], candidates[j]) })
	remaining := total - f.Total()
	for _, c := range candidates {
		count := min(c.count, remaining, limit-zoneHosts[c.slot.Zone])
		if c.slot.Class == document.Reclaimable {
			count = min(count, reclaimable)
		}
		if count <= 0 {
			continue
		}
		f.add(c.slot, count, c.cost)
		zoneHosts[c.slot.Zone] += count
		remaining -= count
		if c.slot.Class == document.Reclaimable {
			reclaimable -= count
		}
	}
	f.Shortfall = req.shortfall(f, zoneHosts)
	return f
}

func less(a, b candidate) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.slot.Class == document.Reclaimable && b.slot.Class != document.Reclaimable
}

func (f *Fleet) add(slot Slot, count int, cost float64) {
	if count > 0 {
		f.Hosts[slot] += count
		f.Cost += float64(count) * cost
	}
}

// candidates returns the candidates in a slot. Running hosts are cheaper by the
// cost of a switch.
func (r *Request) candidates(o *Offer, penalty float64) []candidate {
	cost := r.cost(o)
	key := cost
	if o.Class == document.Reclaimable {
		key += penalty
	}
	switchCost := o.Price * r.SwitchHours
	candidates := []candidate{{slot: o.Slot, count: o.Running, key: key - switchCost, cost: cost - switchCost}}
	if !o.Closed {
		candidates = append(candidates, candidate{slot: o.Slot, count: math.MaxInt32, key: key, cost: cost})
	}
	return candidates
}

// shortfall returns the value of Fleet.Shortfall, given the hosts in each zone.
func (r *Request) shortfall(f Fleet, zoneHosts map[string]int) int {
	remaining := f.Total()
	if len(zoneHosts) > 1 {
		largest := 0
		for _, hosts := range zoneHosts {
			largest = max(largest, hosts)
		}
		remaining -= largest
	}
	return max(0, r.Needed-remaining, r.Min-f.Total())
}
