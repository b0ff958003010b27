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
	// fleetSeeds is the environment variable that sets the number of seeds of
	// the experiment on cost.
	fleetSeeds      = "FLEET_SEEDS"
	defaultSeeds    = 20
	costDay         = 12 * time.Hour
	costTick        = 5 * time.Second
	requestTime     = 5 * time.Second
	lateUse         = 0.8
	tokensLost      = 400
	longRequests    = 0.15
	wavesPerHour    = 0.5
	unannounced     = 0.25
	priceInterval   = time.Hour
	refusalsMinimum = 15 * time.Minute
)

// day is the account of one seeded run.
type day struct {
	cost, requests, onTime, recomputed float64
	starts                             int
	worst                              float64
}

// BenchmarkCost prints what a request on time costs under the planner and under
// baselines, on the same seeds of demand, prices and reclaim waves. Run it once:
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
			var sum day
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
				float64(sum.starts)/float64(count)*24/costDay.Hours())
		}
		_ = out.Flush()
	}
}

func costSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(fleetSeeds), 10, 32); err == nil {
		return n
	}
	return defaultSeeds
}

// twoThirds bounds the reclaimable hosts.
func twoThirds(req plan.Request) plan.Fleet {
	req.ReclaimableShare = 0.67
	return plan.Solve(req)
}

// onDemandReserved plans without reclaimable hosts, for the loss of a zone.
func onDemandReserved(req plan.Request) plan.Fleet {
	req.ReclaimableShare = 0
	return plan.Solve(req)
}

// onDemandOnly takes what the demand needs on demand, with no reserve.
func onDemandOnly(req plan.Request) plan.Fleet {
	return cheapestOf(req, func(o plan.Offer) bool { return o.Class == document.OnDemand })
}

// cheapestNow takes what the demand needs where it is cheapest at the moment.
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

// script holds what happens in a day, drawn before it begins, so that each
// policy meets the same.
type script struct {
	demand []int
	prices map[int][]float64
	waves  map[int]wave
}

type wave struct {
	zone           string
	notice, refuse time.Duration
}

func newScript(seed uint64) *script {
	r := rand.New(rand.NewPCG(seed, 21))
	s := &script{prices: map[int][]float64{}, waves: map[int]wave{}}
	noise := 0.0
	for i := range int(costDay / costTick) {
		hours := (time.Duration(i) * costTick).Hours()
		noise += 0.02*(r.Float64()-0.5) - 0.001*noise
		level := 60 + 45*math.Sin(2*math.Pi*hours/costDay.Hours()-math.Pi/2) + 20*noise
		s.demand = append(s.demand, max(3, int(level+6*(r.Float64()-0.5))))
		if (time.Duration(i)*costTick)%priceInterval == 0 {
			for range 4 {
				s.prices[i] = append(s.prices[i], 0.5+0.8*r.Float64())
			}
		}
		if r.Float64() < wavesPerHour*costTick.Hours() {
			w := wave{zone: zoneName(r.IntN(4)), notice: noticeTime}
			w.refuse = refusalsMinimum + time.Duration(r.Float64()*float64(30*time.Minute))
			if r.Float64() < unannounced {
				w.notice = costTick
			}
			s.waves[i] = w
		}
	}
	return s
}

// runDay plays a script under a planner.
func runDay(seed uint64, planner fleet.Planner) day {
	sc := newScript(seed)
	s := newSite(planner)
	s.tick = costTick
	s.requests = sc.demand[0]
	s.run(10 * time.Minute)
	d := day{worst: 1}
	s.starts = 0
	window := make([]float64, 0, int(5*time.Minute/costTick))
	for i, demand := range sc.demand {
		s.requests = demand
		s.meet(sc, i, &d)
		s.step()
		share := d.account(s, demand)
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

// meet brings what the script holds for a tick.
func (s *site) meet(sc *script, i int, d *day) {
	for z, price := range sc.prices[i] {
		s.doc.AvailabilityZones[z].Prices[document.Reclaimable] = price
	}
	w, waves := sc.waves[i]
	if !waves {
		return
	}
	use := s.use()
	for _, h := range s.reclaim(w.zone, w.notice, w.refuse) {
		if h.warm.IsZero() || s.now.Before(h.warm) {
			continue
		}
		inFlight := use * slots
		if w.notice >= noticeTime {
			inFlight *= longRequests
		}
		d.recomputed += inFlight * tokensLost
	}
}

// use returns the share of the warm slots in use.
func (s *site) use() float64 {
	return min(1, float64(s.requests)/float64(max(1, total(s.warm())*slots)))
}

// account adds a tick and returns the share of its requests that were on time.
func (d *day) account(s *site, demand int) float64 {
	for _, h := range s.hosts {
		d.cost += s.doc.Zone(h.Zone).Prices[h.Class] * s.tick.Hours()
	}
	good := min(float64(demand), lateUse*slots*float64(total(s.warm())))
	scale := s.tick.Seconds() / requestTime.Seconds()
	d.requests += float64(demand) * scale
	d.onTime += good * scale
	return good / float64(demand)
}
