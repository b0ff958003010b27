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
	window            = 10 * time.Minute
	tickInterval      = 200 * time.Millisecond
	serviceTime       = 600 * time.Millisecond
	requestsPerSecond = 20.0
	entryHosts        = 9
	oldUpstreams      = 6
	newUpstreams      = 3
	oldVersion        = "v1"
	newVersion        = "v2"
	service           = "advice"
	// baseFailed and baseLate are the shares of a good version's attempts that
	// fail or are late.
	baseFailed = 0.005
	baseLate   = 0.03
	// evidentAfter is the number of attempts hit by a version's fault after which
	// the fault counts as evident.
	evidentAfter = 20
	restartTime  = 10 * time.Second
	coldStart    = 20 * time.Second
	// disturbanceTime is how long a disturbance of both versions lasts.
	disturbanceTime = 30 * time.Second
)

// kind is the fault of the new version, if it has one.
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

// routeWeights are the shares of routeNames in the traffic.
var routeWeights = []float64{0.7, 0.25, 0.05}

var errFault = errors.New("fault")

// attempt is one attempt, which ends at endsAt.
type attempt struct {
	version, route, upstream string
	cold, late               bool
	failure                  *upstream.Failure
	endsAt                   time.Time
	host                     int
	fault                    bool
}

// world simulates one seeded run: traffic, upstreams, faults and outages of the
// log.
type world struct {
	kind  kind
	start time.Time
	now   time.Time
	rand  *rand.Rand
	// severity is the probability that the fault hits an attempt.
	severity float64
	// faultStart is when a badLate fault or the second disturbance of a goodSurge
	// begins; faultShare is the new version's share of all requests from which
	// a badLoad fault occurs; faultyRoute is the route of a badRoute fault.
	faultStart  time.Time
	faultShare  float64
	faultyRoute string
	downUntil   map[string]time.Time
	coldUntil   map[string]time.Time
	inFlight    []attempt
	recentNew   []bool
	outageStart time.Time
	outageEnd   time.Time
}

type result struct {
	done, rolledBack, alarm                                              bool
	requests, badRequests, requestsAfterEvident, badRequestsAfterEvident int
}

func newWorld(k kind, seed uint64) *world {
	r := newRand(seed, 11)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		kind: k, start: start, now: start, rand: r,
		severity:    0.1 + 0.9*r.Float64(),
		faultStart:  start.Add(time.Duration((0.1 + 0.7*r.Float64()) * float64(window))),
		faultShare:  0.1 + 0.5*r.Float64(),
		faultyRoute: routeNames[r.IntN(len(routeNames)-1)],
		downUntil:   map[string]time.Time{},
		coldUntil:   map[string]time.Time{},
	}
	if r.Float64() < 0.3 {
		w.outageStart = start.Add(time.Duration(r.Float64() * 0.8 * float64(window)))
		w.outageEnd = w.outageStart.Add(time.Duration((20 + 70*r.Float64()) * float64(time.Second)))
	}
	cold := coldStart
	if k == goodCold {
		cold = 2 * time.Minute
	}
	for i := range newUpstreams {
		w.coldUntil[upstreamID(newVersion, i)] = start.Add(cold)
	}
	return w
}

func upstreamID(version string, i int) string { return fmt.Sprintf("%s-%d", version, i) }

func (w *world) logDown() bool { return !w.now.Before(w.outageStart) && w.now.Before(w.outageEnd) }

// run simulates the window and returns its result.
func (w *world) run(p policy) result {
	var res result
	faults, evident := 0, false
	requests := 0.0
	for w.now.Before(w.start.Add(window)) {
		requests += requestsPerSecond * tickInterval.Seconds()
		for ; requests >= 1; requests-- {
			a := w.request(p)
			if w.now.Sub(w.start) < window {
				res.requests++
			}
			if evident {
				res.requestsAfterEvident++
			}
			if a.version == newVersion && w.badNow(a.route) {
				res.badRequests++
				if evident {
					res.badRequestsAfterEvident++
				}
			}
		}
		faults += w.finish(p)
		evident = evident || faults >= evidentAfter
		w.now = w.now.Add(tickInterval)
		p.tick(w.now)
	}
	res.done, res.rolledBack, res.alarm = p.phase()
	return res
}

// badNow reports whether the fault of the new version is active on a route.
func (w *world) badNow(route string) bool {
	switch w.kind {
	case badLate:
		return !w.now.Before(w.faultStart)
	case badLoad:
		return w.newShare() >= w.faultShare
	case badRoute:
		return route == w.faultyRoute
	}
	return w.kind.bad()
}

// newShare returns the new version's share of the last recentRequests requests.
func (w *world) newShare() float64 {
	hits := 0
	for _, hit := range w.recentNew {
		if hit {
			hits++
		}
	}
	return ratio(hits, max(len(w.recentNew), 1))
}

const recentRequests = 100

// request sends one request and schedules its end.
func (w *world) request(p policy) attempt {
	a := attempt{version: oldVersion, route: w.drawRoute(), host: w.rand.IntN(entryHosts), endsAt: w.now.Add(serviceTime)}
	count := oldUpstreams
	if w.rand.Float64() < p.share(a.host, a.route) {
		a.version, count = newVersion, newUpstreams
	}
	w.recentNew = append(w.recentNew, a.version == newVersion)
	w.recentNew = w.recentNew[max(0, len(w.recentNew)-recentRequests):]
	a.upstream = upstreamID(a.version, w.rand.IntN(count))
	w.decideOutcome(&a)
	w.inFlight = append(w.inFlight, a)
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

// decideOutcome decides how an attempt ends.
func (w *world) decideOutcome(a *attempt) {
	if w.now.Before(w.downUntil[a.upstream]) {
		a.failure = &upstream.Failure{Kind: upstream.NotSent, Err: errFault}
		return
	}
	a.cold = w.now.Before(w.coldUntil[a.upstream])
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

// disturbed reports whether both versions are disturbed now: in goodSurge twice,
// for disturbanceTime each.
func (w *world) disturbed() bool {
	if w.kind != goodSurge {
		return false
	}
	for _, begin := range []time.Duration{w.faultStart.Sub(w.start) / 2, w.faultStart.Sub(w.start)} {
		if since := w.now.Sub(w.start) - begin; since >= 0 && since < disturbanceTime {
			return true
		}
	}
	return false
}

// crash restarts an upstream, which ends all attempts in flight there as lost.
func (w *world) crash(a *attempt) {
	lost := &upstream.Failure{Kind: upstream.Lost, Err: errFault}
	a.failure, a.fault = lost, true
	for i := range w.inFlight {
		if w.inFlight[i].upstream == a.upstream {
			w.inFlight[i].failure, w.inFlight[i].fault = lost, true
		}
	}
	w.downUntil[a.upstream] = w.now.Add(restartTime)
	w.coldUntil[a.upstream] = w.now.Add(restartTime + coldStart)
}

// finish reports the attempts that have ended to the policy and returns how many
// of them a fault hit.
func (w *world) finish(p policy) int {
	faults, kept := 0, w.inFlight[:0]
	for _, a := range w.inFlight {
		if a.endsAt.After(w.now) {
			kept = append(kept, a)
			continue
		}
		if a.fault {
			faults++
		}
		p.observe(w.now, a.host, a)
	}
	w.inFlight = kept
	return faults
}

func (w *world) document() *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name: service, Kind: document.KindEngine,
			Versions: []document.Version{{Name: oldVersion}, {Name: newVersion, Goal: 1, By: w.start.Add(window)}},
			Upstream: document.Traits{MaxInFlight: 16, ColdInFlight: 2, ColdStart: jsonc.Duration(coldStart)},
		}},
		AvailabilityZones: []document.AvailabilityZone{{Name: "bkk-a", Region: "bangkok", State: document.ZoneServing}},
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
