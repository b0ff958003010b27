package experiment

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/route"
)

// job is a caller's request.
type job struct {
	id            uint64
	query         route.Query
	priority      int
	tokens        int
	arrived       time.Time
	firstTokenAt  time.Time
	finishedAt    time.Time
	tokenInterval time.Duration
	attempts      int
	computed      int
	refused       bool
	done          bool
}

// Stream is a flow of requests of one customer on one route.
type Stream struct {
	Route, Customer string
	// PerSecond is the mean number of requests in a second.
	PerSecond float64
}

// prefixCount is the number of prompt prefixes; lower ranks are more popular.
const prefixCount = 120

var priorities = map[document.Class]int{
	document.ClassInteractive: 2, document.ClassStandard: 1, document.ClassBatch: 0,
}

// Capacity returns the number of tokens a second that all engines generate when warm.
func (sim *Simulation) Capacity() float64 {
	perEngine := float64(sim.service.Upstream.MaxInFlight) /
		(tokenInterval + time.Duration(sim.service.Upstream.MaxInFlight-1)*batchSlowdown).Seconds()
	return perEngine * float64(len(sim.engines))
}

// meanTokens returns the mean number of tokens of a response on a route.
func (sim *Simulation) meanTokens(name string) float64 {
	return float64(sim.service.Route(name).MaxTokens) * meanResponseShare
}

// minResponseShare is the length of the shortest response as a share of a
// route's longest; meanResponseShare is that of the mean response.
const (
	minResponseShare  = 0.4
	meanResponseShare = (1 + minResponseShare) / 2
)

// Mixed returns the default mix of routes and customers at a share of the capacity.
func (sim *Simulation) Mixed(load float64) []Stream {
	routes := map[string]float64{"menu": 0.5, "notes": 0.2, "draft": 0.3}
	customers := []struct {
		name  string
		share float64
	}{{"central-branches", 0.4}, {"web-chat", 0.3}, {"riverside", 0.1}, {"planners", 0.1}, {"head-office", 0.1}}
	var streams []Stream
	for _, name := range []string{"menu", "notes", "draft"} {
		for _, c := range customers {
			rate := load * sim.Capacity() * routes[name] * c.share / sim.meanTokens(name)
			streams = append(streams, Stream{Route: name, Customer: c.name, PerSecond: rate})
		}
	}
	return streams
}

// Offer sends streams of requests for a duration. Callers choose the host by
// rendezvous hashing of the prompt's prefix.
func (sim *Simulation) Offer(streams []Stream, duration time.Duration) {
	end := sim.Now.Add(duration)
	for _, s := range streams {
		sim.scheduleNext(s, end)
	}
}

func (sim *Simulation) scheduleNext(s Stream, end time.Time) {
	gap := time.Duration(sim.rand.ExpFloat64() / s.PerSecond * float64(time.Second))
	if sim.Now.Add(gap).After(end) {
		return
	}
	sim.after(gap, func() {
		sim.submit(s)
		sim.scheduleNext(s, end)
	})
}

func (sim *Simulation) submit(s Stream) {
	r := sim.service.Route(s.Route)
	rank := int(math.Pow(prefixCount, sim.rand.Float64()))
	sim.jobs++
	j := &job{
		id: sim.jobs, priority: priorities[r.Class], arrived: sim.Now,
		tokens: int(float64(r.MaxTokens) * (minResponseShare + (1-minResponseShare)*sim.rand.Float64())),
		query: route.Query{
			Service: service, Route: s.Route, Customer: s.Customer, Class: r.Class,
			Deadline: sim.Now.Add(r.Deadline.D()), Cost: r.MaxTokens,
			Prefix: xxhash.Sum64String(s.Route + strconv.Itoa(rank)),
		},
	}
	sim.results = append(sim.results, j)
	sim.hostOf(j.query.Prefix).submit(j)
}

// hostOf returns the host that a caller uses for a prefix: the one with the
// highest rendezvous hash.
func (sim *Simulation) hostOf(prefix uint64) *host {
	var best *host
	var highest uint64
	for _, h := range sim.hosts {
		weight := xxhash.Sum64String(fmt.Sprint(prefix, h.id))
		if best == nil || weight > highest {
			best, highest = h, weight
		}
	}
	return best
}

// Report holds the outcomes of a set of requests.
type Report struct {
	Offered int
	// OnTime, Refused and Finished are shares of the offered requests. Finished
	// counts those that finished by their deadline, OnTime those of them whose first
	// token was in time for the route.
	OnTime, Refused, Finished float64
	// FirstToken and TokenInterval are 95th percentiles over requests that finished
	// by their deadline.
	FirstToken, TokenInterval time.Duration
	// Computed is the mean number of prompt tokens computed for a request that
	// finished by its deadline.
	Computed float64
}

// Results reports on the requests that arrived in [from, to) and that accept
// selects.
func (sim *Simulation) Results(from, to time.Time, accept func(routeName, customer string) bool) Report {
	var r Report
	var first, gaps []time.Duration
	onTime, refused, finished, computed := 0, 0, 0, 0
	for _, j := range sim.results {
		if j.arrived.Before(from) || !j.arrived.Before(to) || !accept(j.query.Route, j.query.Customer) {
			continue
		}
		r.Offered++
		if j.refused {
			refused++
		}
		if j.finishedAt.IsZero() || j.finishedAt.After(j.query.Deadline) {
			continue
		}
		finished++
		computed += j.computed
		latency := j.firstTokenAt.Sub(j.arrived)
		first = append(first, latency)
		gaps = append(gaps, j.tokenInterval)
		if latency <= sim.service.Route(j.query.Route).FirstToken.D() {
			onTime++
		}
	}
	offered := float64(max(1, r.Offered))
	r.OnTime, r.Refused, r.Finished = float64(onTime)/offered, float64(refused)/offered, float64(finished)/offered
	r.FirstToken, r.TokenInterval = percentile(first, 95), percentile(gaps, 95)
	r.Computed = float64(computed) / float64(max(1, finished))
	return r
}

func percentile(values []time.Duration, p int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, len(values)*p/100)]
}
