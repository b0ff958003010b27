package fleet_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control/fleet"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/plan"
)

const (
	// seedsVariable is the environment variable that sets the number of seeds of
	// the cost benchmark.
	seedsVariable        = "FLEET_SEEDS"
	defaultSeeds         = 20
	dayLength            = 12 * time.Hour
	tickLength           = 5 * time.Second
	requestDuration      = 5 * time.Second
	maxOnTimeUtilization = 0.8
	tokensLostPerRequest = 400
	longRequestShare     = 0.15
	wavesPerHour         = 0.5
	unannouncedShare     = 0.25
	priceInterval        = time.Hour
	minRefusalTime       = 15 * time.Minute
)

// dayResult is the result of one seeded run. Counts are of requests, tokens and
// host starts; cost is in the unit of the prices, and worst is the lowest share of
// requests on time in 5 minutes.
type dayResult struct {
	cost, requests, onTime, recomputed float64
	starts                             int
	worst                              float64
}

// BenchmarkCost prints the cost per request on time under the planner and under
// baseline policies, for the same seeds of demand, prices and reclaim waves. Run it
// once:
//
//	go test -run '^$' -bench Cost -benchtime 1x ./internal/control/fleet
func BenchmarkCost(b *testing.B) {
	planners := []struct {
		name string
		plan fleet.Planner
	}{
		{"planner", plan.Solve},
		{"planner, two thirds reclaimable", twoThirds},
		{"all on-demand, a zone in reserve", onDemandReserved},
		{"all on-demand, no reserve", onDemandOnly},
		{"cheapest now", cheapestNow},
	}
	for b.Loop() {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(out, "\npolicy\tseeds\tcost per 1000 on time\ton time %\tworst 5 min on time %\trecomputed tokens per 1000\tstarts a day")
		for _, p := range planners {
			var sum dayResult
			count := costSeeds()
			worst := 1.0
			for seed := range count {
				d := runDay(seed, p.plan)
				sum.cost += d.cost
				sum.requests += d.requests
				sum.onTime += d.onTime
				sum.recomputed += d.recomputed
				sum.starts += d.starts
				worst = min(worst, d.worst)
			}
			_, _ = fmt.Fprintf(out, "%s\t%d\t%.4f\t%.2f\t%.1f\t%.0f\t%.0f\n", p.name, count, 1000*sum.cost/sum.onTime,
				100*sum.onTime/sum.requests, 100*worst, 1000*sum.recomputed/sum.requests,
				float64(sum.starts)/float64(count)*24/dayLength.Hours())
		}
		_ = out.Flush()
	}
}

func costSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(seedsVariable), 10, 32); err == nil {
		return n
	}
	return defaultSeeds
}

// twoThirds plans with at most two thirds of the hosts reclaimable.
func twoThirds(req plan.Request) plan.Fleet {
	req.ReclaimableShare = 0.67
	return plan.Solve(req)
}

// onDemandReserved plans without reclaimable hosts and with reserve for the loss of
// a zone.
func onDemandReserved(req plan.Request) plan.Fleet {
	req.ReclaimableShare = 0
	return plan.Solve(req)
}

// onDemandOnly covers the demand with on-demand hosts and no reserve.
func onDemandOnly(req plan.Request) plan.Fleet {
	return cheapestOf(req, func(o plan.Offer) bool { return o.Class == document.OnDemand })
}

// cheapestNow covers the demand in the slot with the lowest current price.
func cheapestNow(req plan.Request) plan.Fleet {
	return cheapestOf(req, func(plan.Offer) bool { return true })
}

func cheapestOf(req plan.Request, usable func(plan.Offer) bool) plan.Fleet {
	best := plan.Slot{}
	lowest := math.Inf(1)
	for _, o := range req.Offers {
		if usable(o) && !o.Closed && o.Price < lowest {
			best, lowest = o.Slot, o.Price
		}
	}
	return plan.Fleet{Hosts: map[plan.Slot]int{best: min(req.Max, max(req.Needed, req.Min))}}
}

// scenario holds the events of a day by tick. They are drawn in advance, so that
// every policy gets the same.
type scenario struct {
	demand []int
	prices map[int][]float64
	waves  map[int]wave
}

// wave reclaims the reclaimable hosts of a zone and refuses new ones there.
type wave struct {
	zone              string
	notice, refuseFor time.Duration
}

func newScenario(seed uint64) *scenario {
	r := rand.New(rand.NewPCG(seed, 21))
	s := &scenario{prices: map[int][]float64{}, waves: map[int]wave{}}
	noise := 0.0
	for i := range int(dayLength / tickLength) {
		hours := (time.Duration(i) * tickLength).Hours()
		noise += 0.02*(r.Float64()-0.5) - 0.001*noise
		level := 60 + 45*math.Sin(2*math.Pi*hours/dayLength.Hours()-math.Pi/2) + 20*noise
		s.demand = append(s.demand, max(3, int(level+6*(r.Float64()-0.5))))
		if (time.Duration(i)*tickLength)%priceInterval == 0 {
			for range 4 {
				s.prices[i] = append(s.prices[i], 0.5+0.8*r.Float64())
			}
		}
		if r.Float64() < wavesPerHour*tickLength.Hours() {
			w := wave{zone: zoneName(r.IntN(4)), notice: noticeTime}
			w.refuseFor = minRefusalTime + time.Duration(r.Float64()*float64(30*time.Minute))
			if r.Float64() < unannouncedShare {
				w.notice = tickLength
			}
			s.waves[i] = w
		}
	}
	return s
}

// runDay runs the scenario of a seed with a planner.
func runDay(seed uint64, planner fleet.Planner) dayResult {
	sc := newScenario(seed)
	s := newSimulation(planner)
	s.tick = tickLength
	s.requests = sc.demand[0]
	s.run(10 * time.Minute)
	d := dayResult{worst: 1}
	s.starts = 0
	window := make([]float64, 0, int(5*time.Minute/tickLength))
	for i, demand := range sc.demand {
		s.requests = demand
		s.applyEvents(sc, i, &d)
		s.step()
		share := d.addTick(s, demand)
		window = append(window, share)
		if len(window) == cap(window) {
			sum := 0.0
			for _, v := range window {
				sum += v
			}
			d.worst = min(d.worst, sum/float64(len(window)))
			window = window[:0]
		}
	}
	d.starts = s.starts
	return d
}

// applyEvents applies the events of tick i.
func (s *simulation) applyEvents(sc *scenario, i int, d *dayResult) {
	for z, price := range sc.prices[i] {
		s.doc.AvailabilityZones[z].Prices[document.Reclaimable] = price
	}
	w, found := sc.waves[i]
	if !found {
		return
	}
	use := s.utilization()
	for _, h := range s.reclaim(w.zone, w.notice, w.refuseFor) {
		if h.warmAt.IsZero() || s.now.Before(h.warmAt) {
			continue
		}
		inFlight := use * engineSlots
		if w.notice >= noticeTime {
			inFlight *= longRequestShare
		}
		d.recomputed += inFlight * tokensLostPerRequest
	}
}

// utilization returns the share of the warm hosts' slots in use.
func (s *simulation) utilization() float64 {
	return min(1, float64(s.requests)/float64(max(1, total(s.warm())*engineSlots)))
}

// addTick adds a tick to the result and returns the share of its requests on time.
func (d *dayResult) addTick(s *simulation, demand int) float64 {
	for _, h := range s.hosts {
		d.cost += s.doc.Zone(h.Zone).Prices[h.Class] * s.tick.Hours()
	}
	good := min(float64(demand), maxOnTimeUtilization*engineSlots*float64(total(s.warm())))
	scale := s.tick.Seconds() / requestDuration.Seconds()
	d.requests += float64(demand) * scale
	d.onTime += good * scale
	return good / float64(demand)
}
