package rollout_test

import (
	"errors"
	"fmt"

	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	window       = 10 * time.Minute
	tickTime     = 200 * time.Millisecond
	serviceTime  = 600 * time.Millisecond
	rate         = 20.0
	entryHosts   = 9
	oldUpstreams = 6
	newUpstreams = 3
	oldVersion   = "v1"
	newVersion   = "v2"
	service      = "advice"
	// baseFailed and baseLate are the shares of a good version's attempts.
	baseFailed = 0.005
	baseLate   = 0.03
	// shownAfter is the number of attempts that failed by a version's fault
	// after which the fault counts as shown.
	shownAfter = 20
	restart    = 10 * time.Second
	coldStart  = 20 * time.Second
	// disturbance is how long both versions suffer.
	disturbance = 30 * time.Second
)

// kind is what is wrong with the new version.
type kind string

const (
	good      kind = "good"
	goodCold  kind = "good, long cold start"
	goodSurge kind = "good, both disturbed"
	badAtOnce kind = "fails at once"
	badSlow   kind = "slow"
	badLate   kind = "fails later"
	badLoad   kind = "fails under load only"
	badRoute  kind = "fails on one route only"
	badCrash  kind = "crashes"
)

var worldKinds = []kind{good, goodCold, goodSurge, badAtOnce, badSlow, badLate, badLoad, badRoute, badCrash}

func (k kind) bad() bool { return k != good && k != goodCold && k != goodSurge }

var routeNames = []string{"menu", "notes", "draft"}

// routeWeights are the shares of the routes in the traffic.
var routeWeights = []float64{0.7, 0.25, 0.05}

var errFault = errors.New("fault")

// attempt is one finished attempt.
type attempt struct {
	version, route, upstream string
	cold, late               bool
	failure                  *upstream.Failure
	at                       time.Time
	host                     int
	fault                    bool
}

// world is one seeded run: its version, its faults, its outages.
type world struct {
	kind  kind
	start time.Time
	now   time.Time
	rand  *rand.Rand
	// severity is the share of attempts that the fault hits.
	severity float64
	// from is when a late fault begins; minShare the share of all requests
	// from which on a load fault shows; route the one that is bad.
	from      time.Time
	minShare  float64
	route     string
	downTill  map[string]time.Time
	coldTill  map[string]time.Time
	ending    []attempt
	recent    []bool
	outage    time.Time
	outageEnd time.Time
}

type result struct {
	done, back, alarm                                bool
	requests, metBad, requestsAfterShown, afterShown int
}

func newWorld(k kind, seed uint64) *world {
	r := drawRand(seed, 11)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		kind: k, start: start, now: start, rand: r,
		severity: 0.1 + 0.9*r.Float64(),
		from:     start.Add(time.Duration((0.1 + 0.7*r.Float64()) * float64(window))),
		minShare: 0.1 + 0.5*r.Float64(),
		route:    routeNames[r.IntN(len(routeNames)-1)],
		downTill: map[string]time.Time{},
		coldTill: map[string]time.Time{},
	}
	if r.Float64() < 0.3 {
		w.outage = start.Add(time.Duration(r.Float64() * 0.8 * float64(window)))
		w.outageEnd = w.outage.Add(time.Duration((20 + 70*r.Float64()) * float64(time.Second)))
	}
	cold := coldStart
	if k == goodCold {
		cold = 2 * time.Minute
	}
	for i := range newUpstreams {
		w.coldTill[upstreamID(newVersion, i)] = start.Add(cold)
	}
	return w
}

func upstreamID(version string, i int) string { return fmt.Sprintf("%s-%d", version, i) }

func (w *world) logDown() bool { return !w.now.Before(w.outage) && w.now.Before(w.outageEnd) }

// run plays the window and a little more, so that late decisions show.
func (w *world) run(p policy) result {
	var res result
	faults, shown := 0, false
	requests := 0.0
	for w.now.Before(w.start.Add(window)) {
		requests += rate * tickTime.Seconds()
		for ; requests >= 1; requests-- {
			a := w.request(p)
			if w.now.Sub(w.start) < window {
				res.requests++
			}
			if shown {
				res.requestsAfterShown++
			}
			if a.version == newVersion && w.badNow(a.route) {
				res.metBad++
				if shown {
					res.afterShown++
				}
			}
		}
		faults += w.finish(p)
		shown = shown || faults >= shownAfter
		w.now = w.now.Add(tickTime)
		p.tick(w.now)
	}
	res.done, res.back, res.alarm = p.phase()
	return res
}

// badNow reports whether a request of a route to the new version would meet
// its fault now.
func (w *world) badNow(route string) bool {
	switch w.kind {
	case badLate:
		return !w.now.Before(w.from)
	case badLoad:
		return w.newShare() >= w.minShare
	case badRoute:
		return route == w.route
	}
	return w.kind.bad()
}

// newShare returns the new version's share of the latest requests.
func (w *world) newShare() float64 {
	hits := 0
	for _, hit := range w.recent {
		if hit {
			hits++
		}
	}
	return ratio(hits, max(len(w.recent), 1))
}

const recentRequests = 100

// request sends one request and plans its end.
func (w *world) request(p policy) attempt {
	a := attempt{version: oldVersion, route: w.drawRoute(), host: w.rand.IntN(entryHosts), at: w.now.Add(serviceTime)}
	count := oldUpstreams
	if w.rand.Float64() < p.share(a.host, a.route) {
		a.version, count = newVersion, newUpstreams
	}
	w.recent = append(w.recent, a.version == newVersion)
	w.recent = w.recent[max(0, len(w.recent)-recentRequests):]
	a.upstream = upstreamID(a.version, w.rand.IntN(count))
	w.fate(&a)
	w.ending = append(w.ending, a)
	return a
}

func (w *world) drawRoute() string {
	draw := w.rand.Float64()
	for i, weight := range routeWeights {
		if draw -= weight; draw < 0 {
			return routeNames[i]
		}
	}
	return routeNames[0]
}

// fate decides how an attempt ends.
func (w *world) fate(a *attempt) {
	if w.now.Before(w.downTill[a.upstream]) {
		a.failure = &upstream.Failure{Kind: upstream.NotSent, Err: errFault}
		return
	}
	a.cold = w.now.Before(w.coldTill[a.upstream])
	failed, late := baseFailed, baseLate
	if a.cold {
		failed, late = 0.1, 0.6
	}
	if w.disturbed() {
		failed, late = 0.3, 0.5
	}
	if a.version == newVersion && w.badNow(a.route) && w.rand.Float64() < w.severity {
		switch w.kind {
		case badSlow:
			late, a.fault = 1, true
		case badCrash:
			if w.rand.Float64() < 0.2 {
				w.crash(a)
				return
			}
		default:
			failed, a.fault = 1, true
		}
	}
	switch {
	case w.rand.Float64() < failed:
		a.failure = &upstream.Failure{Kind: upstream.Faulted, Err: errFault}
	case w.rand.Float64() < late:
		a.late = true
	}
}

// disturbed reports whether both versions suffer now, as they do for half a
// minute at two times of a surge.
func (w *world) disturbed() bool {
	if w.kind != goodSurge {
		return false
	}
	for _, begin := range []time.Duration{w.from.Sub(w.start) / 2, w.from.Sub(w.start)} {
		if since := w.now.Sub(w.start) - begin; since >= 0 && since < disturbance {
			return true
		}
	}
	return false
}

// crash ends an upstream and breaks off all that runs there.
func (w *world) crash(a *attempt) {
	lost := &upstream.Failure{Kind: upstream.Lost, Err: errFault}
	a.failure, a.fault = lost, true
	for i := range w.ending {
		if w.ending[i].upstream == a.upstream {
			w.ending[i].failure, w.ending[i].fault = lost, true
		}
	}
	w.downTill[a.upstream] = w.now.Add(restart)
	w.coldTill[a.upstream] = w.now.Add(restart + coldStart)
}

// finish reports the attempts that have ended and counts the version's faults.
func (w *world) finish(p policy) int {
	faults, kept := 0, w.ending[:0]
	for _, a := range w.ending {
		if a.at.After(w.now) {
			kept = append(kept, a)
			continue
		}
		if a.fault {
			faults++
		}
		p.ended(w.now, a.host, a)
	}
	w.ending = kept
	return faults
}

func (w *world) document() *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name: service, Kind: document.KindEngine,
			Versions: []document.Version{{Name: oldVersion}, {Name: newVersion, Goal: 1, By: w.start.Add(window)}},
			Upstream: document.Traits{MaxInFlight: 16, ColdInFlight: 2, ColdStart: jsonc.Duration(coldStart)},
		}},
		AvailabilityZones: []document.AvailabilityZone{{Name: "bkk-a", Region: "bangkok", State: document.ZoneIn}},
	}
	for _, name := range routeNames {
		doc.Services[0].Routes = append(doc.Services[0].Routes, document.Route{Name: name})
	}
	return doc
}

func (w *world) list() hostlist.List {
	list := hostlist.List{AsOf: w.now}
	add := func(version string, count int) {
		for i := range count {
			list.Hosts = append(list.Hosts, hostlist.Host{
				ID: upstreamID(version, i), Role: hostlist.RoleUpstream, Zone: "bkk-a", Service: service, Version: version,
			})
		}
	}
	add(oldVersion, oldUpstreams)
	add(newVersion, newUpstreams)
	return list
}
