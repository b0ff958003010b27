// Package plan decides where the hosts of a service should run. It is a pure
// function of demand, prices and what runs already.
package plan

import (
	"math"
	"slices"
	"sort"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Slot is a place where a host can run.
type Slot struct {
	Zone  string
	Class document.HostClass
}

// Offer is what the platform offers in a slot.
type Offer struct {
	Slot
	// Price is the price of a host for an hour.
	Price float64
	// Reclaims is the number of reclaims that a host meets in an hour.
	Reclaims float64
	// Fixed is the number of hosts that run there and may not be stopped.
	Fixed int
	// Running is the number of other hosts that run there.
	Running int
	// Closed tells that no further host can be had there now.
	Closed bool
}

// Request says what to plan for.
type Request struct {
	// Needed is the number of warm hosts that carry the demand within its
	// latency target.
	Needed int
	// Min and Max bound the number of hosts.
	Min, Max int
	// ReclaimableShare bounds the share of reclaimable hosts, from 0 to 1.
	ReclaimableShare float64
	// ReclaimHours is what one reclaim costs, in hours of a host: its
	// replacement's cold start and weight load and the tokens computed again.
	ReclaimHours float64
	// SwitchHours is what starting a host in place of a running one costs, in
	// hours of a host spread over the time that the choice is made for.
	SwitchHours float64
	Offers      []Offer
}

// Equal reports whether two requests are the same.
func (r *Request) Equal(other *Request) bool {
	return r.Needed == other.Needed && r.Min == other.Min && r.Max == other.Max &&
		r.ReclaimableShare == other.ReclaimableShare && r.ReclaimHours == other.ReclaimHours &&
		r.SwitchHours == other.SwitchHours && slices.Equal(r.Offers, other.Offers)
}

// Fleet is the number of hosts in each slot.
type Fleet struct {
	Hosts map[Slot]int
	// Cost is the expected cost of an hour, with that of reclaims.
	Cost float64
	// Short is the number of hosts that are missing from what the request
	// needs, with one availability zone lost.
	Short int
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
// loss of any one zone. Where that cannot be had it returns the fleet that is
// short of the fewest hosts.
func Solve(req Request) Fleet {
	best, found := Fleet{}, false
	for _, limit := range limits(req) {
		fleet := solveWithin(req, limit)
		if !found || better(fleet, best) {
			best, found = fleet, true
		}
	}
	return best
}

// fewHosts is the number of hosts up to which every limit is tried.
const fewHosts = 16

// limits returns the numbers of hosts in a zone at which the cheapest fleet
// may change its shape: those that fill a whole number of zones.
func limits(req Request) []int {
	most := max(1, req.Needed, req.Min)
	var list []int
	if most <= fewHosts {
		for limit := 1; limit <= most; limit++ {
			list = append(list, limit)
		}
		return list
	}
	for count := 1; count <= max(1, zones(req.Offers)); count++ {
		list = append(list, (most+count-1)/count)
	}
	return list
}

func better(a, b Fleet) bool {
	if a.Short != b.Short {
		return a.Short < b.Short
	}
	return a.Cost < b.Cost
}

// solveWithin plans with at most limit hosts in each zone, where no more run
// already: the needed hosts and one zone's worth beside them.
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
	reclaimable := int(math.Floor(req.ReclaimableShare * float64(total)))
	list := penalties(req)
	first := sort.Search(len(list), func(i int) bool {
		return fill(req, limit, total, math.MaxInt32, list[i]).reclaimable() <= reclaimable
	})
	best, found := Fleet{}, false
	for i := max(0, first-around); i <= min(first+around, len(list)-1); i++ {
		f := fill(req, limit, total, reclaimable, list[i])
		if !found || better(f, best) {
			best, found = f, true
		}
	}
	return best
}

// around is the number of penalties on each side of the first that holds the
// bound by itself at which the bound is enforced and the cost compared.
const around = 2

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

// cost is the expected cost of an hour of a host in a slot.
func (r *Request) cost(o *Offer) float64 {
	return o.Price * (1 + o.Reclaims*r.ReclaimHours)
}

// nudge separates two penalties at which the order of equal costs differs.
const nudge = 1e-9

// penalties returns the amounts by which reclaimable hosts may have to look
// dearer for the bound on their share to hold at the least cost: those at
// which the order of a reclaimable and an on-demand choice changes.
func penalties(req Request) []float64 {
	var reclaimable, onDemand []float64
	for i := range req.Offers {
		for _, u := range req.units(&req.Offers[i], 0) {
			if u.slot.Class == document.Reclaimable {
				reclaimable = append(reclaimable, u.key)
			} else {
				onDemand = append(onDemand, u.key)
			}
		}
	}
	list := []float64{0}
	for _, low := range reclaimable {
		for _, high := range onDemand {
			if high > low {
				list = append(list, high-low, high-low+nudge)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// unit is a run of hosts of equal cost in a slot.
type unit struct {
	slot  Slot
	count int
	// key orders the choice; cost is what an hour costs.
	key, cost float64
}

// fill takes hosts in the order of their cost.
func fill(req Request, limit, total, reclaimable int, penalty float64) Fleet {
	f := Fleet{Hosts: map[Slot]int{}}
	inZone := map[string]int{}
	var units []unit
	for i := range req.Offers {
		o := &req.Offers[i]
		f.take(o.Slot, o.Fixed, req.cost(o))
		inZone[o.Zone] += o.Fixed
		if o.Class == document.Reclaimable {
			reclaimable -= o.Fixed
		}
		units = append(units, req.units(o, penalty)...)
	}
	sort.SliceStable(units, func(i, j int) bool { return before(units[i], units[j]) })
	left := total - f.Total()
	for _, u := range units {
		count := min(u.count, left, limit-inZone[u.slot.Zone])
		if u.slot.Class == document.Reclaimable {
			count = min(count, reclaimable)
		}
		if count <= 0 {
			continue
		}
		f.take(u.slot, count, u.cost)
		inZone[u.slot.Zone] += count
		left -= count
		if u.slot.Class == document.Reclaimable {
			reclaimable -= count
		}
	}
	f.Short = req.short(f, inZone)
	return f
}

func before(a, b unit) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.slot.Class == document.Reclaimable && b.slot.Class != document.Reclaimable
}

func (f *Fleet) take(slot Slot, count int, cost float64) {
	if count > 0 {
		f.Hosts[slot] += count
		f.Cost += float64(count) * cost
	}
}

// units returns the hosts to choose from in a slot: those that run are cheaper
// by what a switch costs.
func (r *Request) units(o *Offer, penalty float64) []unit {
	cost := r.cost(o)
	key := cost
	if o.Class == document.Reclaimable {
		key += penalty
	}
	saved := o.Price * r.SwitchHours
	units := []unit{{slot: o.Slot, count: o.Running, key: key - saved, cost: cost - saved}}
	if !o.Closed {
		units = append(units, unit{slot: o.Slot, count: math.MaxInt32, key: key, cost: cost})
	}
	return units
}

// short returns how many hosts are missing after the loss of the largest zone.
func (r *Request) short(f Fleet, inZone map[string]int) int {
	left := f.Total()
	if len(inZone) > 1 {
		largest := 0
		for _, hosts := range inZone {
			largest = max(largest, hosts)
		}
		left -= largest
	}
	return max(0, r.Needed-left, r.Min-f.Total())
}
