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
	id       uint64
	query    route.Query
	priority int
	tokens   int
	arrived  time.Time
	first    time.Time
	ended    time.Time
	between  time.Duration
	attempts int
	computed int
	refused  bool
	over     bool
}

// Stream is a flow of requests of one customer on one route.
type Stream struct {
	Route, Customer string
	// PerSecond is the mean number of requests in a second.
	PerSecond float64
}

// prefixes is the number of prompt prefixes; their popularity falls with rank.
const prefixes = 120

var priorities = map[document.Class]int{
	document.ClassInteractive: 2, document.ClassStandard: 1, document.ClassBatch: 0,
}

// Capacity returns the tokens that all warm engines generate in a second.
func (w *Simulation) Capacity() float64 {
	perEngine := float64(w.service.Upstream.MaxInFlight) /
		(between + time.Duration(w.service.Upstream.MaxInFlight-1)*crowding).Seconds()
	return perEngine * float64(len(w.engines))
}

// tokensOf returns the mean number of tokens of an answer on a route.
func (w *Simulation) tokensOf(name string) float64 {
	return float64(w.service.Route(name).MaxTokens) * meanAnswer
}

// leastAnswer is the shortest answer as a share of a route's longest;
// meanAnswer is the mean.
const (
	leastAnswer = 0.4
	meanAnswer  = (1 + leastAnswer) / 2
)

// Mixed returns the usual mix of routes and customers at a share of the capacity.
func (w *Simulation) Mixed(load float64) []Stream {
	routes := map[string]float64{"menu": 0.5, "notes": 0.2, "draft": 0.3}
	customers := []struct {
		name  string
		share float64
	}{{"central-branches", 0.4}, {"web-chat", 0.3}, {"riverside", 0.1}, {"planners", 0.1}, {"head-office", 0.1}}
	var streams []Stream
	for _, name := range []string{"menu", "notes", "draft"} {
		for _, c := range customers {
			rate := load * w.Capacity() * routes[name] * c.share / w.tokensOf(name)
			streams = append(streams, Stream{Route: name, Customer: c.name, PerSecond: rate})
		}
	}
	return streams
}

// Offer sends streams of requests for a time. Callers take the host
// that rendezvous hashing of the prompt's prefix names first.
func (w *Simulation) Offer(streams []Stream, duration time.Duration) {
	end := w.Now.Add(duration)
	for _, s := range streams {
		w.next(s, end)
	}
}

func (w *Simulation) next(s Stream, end time.Time) {
	gap := time.Duration(w.rand.ExpFloat64() / s.PerSecond * float64(time.Second))
	if w.Now.Add(gap).After(end) {
		return
	}
	w.after(gap, func() {
		w.submit(s)
		w.next(s, end)
	})
}

func (w *Simulation) submit(s Stream) {
	r := w.service.Route(s.Route)
	rank := int(math.Pow(prefixes, w.rand.Float64()))
	w.jobs++
	j := &job{
		id: w.jobs, priority: priorities[r.Class], arrived: w.Now,
		tokens: int(float64(r.MaxTokens) * (leastAnswer + (1-leastAnswer)*w.rand.Float64())),
		query: route.Query{
			Service: service, Route: s.Route, Customer: s.Customer, Class: r.Class,
			Deadline: w.Now.Add(r.Deadline.D()), Cost: r.MaxTokens,
			Prefix: xxhash.Sum64String(s.Route + strconv.Itoa(rank)),
		},
	}
	w.results = append(w.results, j)
	w.hostOf(j.query.Prefix).submit(j)
}

// hostOf returns the host that a caller uses: the first that is named for the prefix.
func (w *Simulation) hostOf(prefix uint64) *host {
	var best *host
	var highest uint64
	for _, h := range w.hosts {
		weight := xxhash.Sum64String(fmt.Sprint(prefix, h.id))
		if best == nil || weight > highest {
			best, highest = h, weight
		}
	}
	return best
}

// Report is what became of the requests of one route.
type Report struct {
	Offered int
	// OnTime, Refused and Finished are shares of those offered.
	OnTime, Refused, Finished float64
	// First and Between are 95th percentiles over answered requests.
	First, Between time.Duration
	// Computed is the mean number of prompt tokens computed for a request.
	Computed float64
}

// Results reports on the requests that arrived within a span of time and that
// a test accepts.
func (w *Simulation) Results(from, to time.Time, accept func(routeName, customer string) bool) Report {
	var r Report
	var first, gaps []time.Duration
	onTime, refused, finished, computed := 0, 0, 0, 0
	for _, j := range w.results {
		if j.arrived.Before(from) || !j.arrived.Before(to) || !accept(j.query.Route, j.query.Customer) {
			continue
		}
		r.Offered++
		if j.refused {
			refused++
		}
		if j.ended.IsZero() || j.ended.After(j.query.Deadline) {
			continue
		}
		finished++
		computed += j.computed
		latency := j.first.Sub(j.arrived)
		first = append(first, latency)
		gaps = append(gaps, j.between)
		if latency <= w.service.Route(j.query.Route).FirstToken.D() {
			onTime++
		}
	}
	offered := float64(max(1, r.Offered))
	r.OnTime, r.Refused, r.Finished = float64(onTime)/offered, float64(refused)/offered, float64(finished)/offered
	r.First, r.Between = percentile(first, 95), percentile(gaps, 95)
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
