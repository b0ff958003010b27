package plan_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/plan"

	// The seed of property tests is fixed.
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

func drawRequest(t *rapid.T) plan.Request {
	req := plan.Request{
		Needed: rapid.IntRange(1, 5).Draw(t, "needed"), Max: 100,
		ReclaimableShare: 0.67, ReclaimHours: 0.2, SwitchHours: 0.05,
	}
	for z := range rapid.IntRange(2, 3).Draw(t, "zones") {
		for _, class := range []document.HostClass{document.Reclaimable, document.OnDemand} {
			price := float64(rapid.IntRange(5, 12).Draw(t, "price"))
			if class == document.OnDemand {
				price += 8
			}
			req.Offers = append(req.Offers, plan.Offer{
				Slot: plan.Slot{Zone: fmt.Sprint("z", z), Class: class}, Price: price,
				Running: rapid.IntRange(0, 1).Draw(t, "running"),
			})
		}
	}
	return req
}

// cheapest returns the least cost over all fleets, found by exhaustive search.
func cheapest(req plan.Request, hosts []int) float64 {
	if len(hosts) < len(req.Offers) {
		best := math.Inf(1)
		for count := range 2*req.Needed + 1 {
			best = min(best, cheapest(req, append(hosts[:len(hosts):len(hosts)], count)))
		}
		return best
	}
	total, reclaimable, cost := 0, 0, 0.0
	zoneHosts := map[string]int{}
	for i, count := range hosts {
		o := req.Offers[i]
		total += count
		zoneHosts[o.Zone] += count
		if o.Class == document.Reclaimable {
			reclaimable += count
		}
		cost += float64(count)*o.Price - float64(min(count, o.Running))*o.Price*req.SwitchHours
	}
	for _, lost := range zoneHosts {
		if total-lost < req.Needed {
			return math.Inf(1)
		}
	}
	if float64(reclaimable) > req.ReclaimableShare*float64(total) {
		return math.Inf(1)
	}
	return cost
}

func TestFleetHandlesLossOfAnyZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := drawRequest(t)
		f := plan.Solve(req)
		require.Zero(t, f.Shortfall)
		zoneHosts, reclaimable := map[string]int{}, 0
		for slot, count := range f.Hosts {
			zoneHosts[slot.Zone] += count
			if slot.Class == document.Reclaimable {
				reclaimable += count
			}
		}
		for name, lost := range zoneHosts {
			require.GreaterOrEqual(t, f.Total()-lost, req.Needed, name)
		}
		require.LessOrEqual(t, float64(reclaimable), req.ReclaimableShare*float64(f.Total()))
	})
}

func TestFleetIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := drawRequest(t)
		req.Needed = min(req.Needed, 2)
		require.InEpsilon(t, cheapest(req, nil), plan.Solve(req).Cost, 1e-9)
	})
}

func TestFixedHostsAreKeptAndClosedSlotsGetNone(t *testing.T) {
	a := plan.Slot{Zone: "a", Class: document.Reclaimable}
	b := plan.Slot{Zone: "b", Class: document.OnDemand}
	c := plan.Slot{Zone: "c", Class: document.OnDemand}
	f := plan.Solve(plan.Request{
		Needed: 2, Max: 10, ReclaimableShare: 0.67,
		Offers: []plan.Offer{
			{Slot: a, Price: 1, Fixed: 3},
			{Slot: b, Price: 2, Closed: true},
			{Slot: c, Price: 9},
		},
	})
	require.Equal(t, map[plan.Slot]int{a: 3, c: 2}, f.Hosts)
	require.Zero(t, f.Shortfall)
}

// BenchmarkSolve plans the hosts of a large service in twelve zones.
func BenchmarkSolve(b *testing.B) {
	req := plan.Request{Needed: 1300, Max: 1900, ReclaimableShare: 0.67, ReclaimHours: 0.2, SwitchHours: 0.05}
	for z := range 12 {
		for class, price := range map[document.HostClass]float64{document.Reclaimable: 0.6, document.OnDemand: 2} {
			req.Offers = append(req.Offers, plan.Offer{
				Slot: plan.Slot{Zone: fmt.Sprint("z", z), Class: class}, Price: price + float64(z)/50, Running: 70,
			})
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		plan.Solve(req)
	}
}
