package experiment

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/upstreams"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

var errDown = errors.New("engine down")

// router is what Core and the baselines have in common.
type router interface {
	Update(now time.Time, snapshot *control.Snapshot) []route.Assignment
	Arrive(now time.Time, id uint64, q route.Query) []route.Assignment
	Release(now time.Time, e route.Ended) []route.Assignment
	Tick(now time.Time) []route.Assignment
	Demand() []control.Demand
}

// limiter is the control state that gives the limits.
type limiter interface {
	Step(now time.Time, in control.Input) []control.Output
	Publish(now time.Time, next *control.Snapshot)
}

// host is one entry host.
type host struct {
	w        *Simulation
	index    int
	id, zone string
	router   router
	limits   limiter
	self     control.Self
	doc      *control.Configured
	jobs     map[uint64]*job
}

func newHost(w *Simulation, index int, id string) *host {
	h := &host{w: w, index: index, id: id, zone: w.zone(index), jobs: map[uint64]*job{}}
	h.self = control.Self{ID: id, Zone: h.zone, Region: w.doc.AvailabilityZones[0].Region}
	seed := w.opts.Seed + uint64(index)
	if w.opts.Policy == Core {
		machine := &upstreams.Machine{}
		machine.Init(h.self)
		h.limits = machine
		h.router = route.NewCore(seed)
		return h
	}
	h.limits = &fixedLimits{}
	h.router = newFIFO(w.opts.Policy, seed)
	return h
}

func (h *host) step(in control.Input) {
	if configured, ok := in.(control.Configured); ok {
		h.doc = &configured
	}
	for _, out := range h.limits.Step(h.w.Now, in) {
		h.perform(out)
	}
	h.publish()
}

func (h *host) publish() {
	if h.doc == nil {
		return
	}
	next := &control.Snapshot{At: h.w.Now, Self: h.self, Document: h.doc.Document, Shares: map[control.RouteKey][]control.VersionShare{}}
	for _, r := range h.w.service.Routes {
		next.Shares[control.RouteKey{Service: service, Route: r.Name}] = []control.VersionShare{{Version: "v1", Share: 1}}
	}
	h.limits.Publish(h.w.Now, next)
	h.take(h.router.Update(h.w.Now, next))
}

func (h *host) perform(out control.Output) {
	switch out := out.(type) {
	case control.SendMessage:
		h.tell(out)
	case control.PollUpstream:
		h.w.after(pollDelay, func() { h.poll(out) })
	}
}

func (h *host) tell(out control.SendMessage) {
	h.w.messages++
	h.w.messageBytes += proto.Size(out.Message)
	for _, other := range h.w.hosts {
		if other.id != out.To {
			continue
		}
		h.w.after(hostDelay, func() {
			if h.w.side[h.index] == h.w.side[other.index] {
				other.step(control.MessageReceived{From: h.id, Message: clone(out.Message)})
			}
		})
	}
}

func clone(m *peerv1.Message) *peerv1.Message { return proto.Clone(m).(*peerv1.Message) }

func (h *host) poll(out control.PollUpstream) {
	e := h.w.engines[out.Upstream]
	if e.down() || len(e.reports) == 0 {
		h.step(control.LoadReported{Upstream: out.Upstream, Err: errDown})
		return
	}
	if out.CacheAfter >= 0 {
		h.step(control.CacheChanged{Upstream: out.Upstream, Events: h.cacheEvents(e, out.CacheAfter)})
	}
	h.step(control.LoadReported{Upstream: out.Upstream, Load: e.reports[0]})
}

func (h *host) cacheEvents(e *engineFake, after int64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for i := min(after, int64(len(e.cache.events))); i < int64(len(e.cache.events)); i++ {
		if h.w.rand.Float64() >= lostEvents {
			events = append(events, e.cache.events[i])
		}
	}
	return events
}

func (h *host) tickRouter() { h.take(h.router.Tick(h.w.Now)) }

func (h *host) reportDemand() {
	for _, demand := range h.router.Demand() {
		h.step(demand)
	}
}

// submit takes a job from a caller.
func (h *host) submit(j *job) {
	h.jobs[j.id] = j
	h.take(h.router.Arrive(h.w.Now, j.id, j.query))
}

func (h *host) take(assignments []route.Assignment) {
	for _, a := range assignments {
		j := h.jobs[a.ID]
		delete(h.jobs, a.ID)
		if a.Err != nil {
			j.refused = j.attempts == 0
			j.over = true
			continue
		}
		j.attempts++
		try := &attempt{job: j, host: h, engine: h.w.engines[a.Upstream.ID], started: h.w.Now}
		try.engine.send(try)
	}
}

func (h *host) ended(a *attempt, failure *upstream.Failure) {
	report := control.AttemptEnded{
		Upstream: a.engine.id, Service: service, Route: a.job.query.Route, Version: "v1",
		Started: a.started, Took: h.w.Now.Sub(a.started), Failure: failure,
	}
	if failure == nil {
		report.FirstToken, report.Between, report.Tokens = a.first, a.between, a.job.tokens
	}
	h.step(report)
	q := a.job.query
	h.take(h.router.Release(h.w.Now, route.Ended{
		Service: service, Upstream: a.engine.id, Customer: q.Customer, Class: q.Class, Cost: q.Cost, Started: a.started,
	}))
}

func (h *host) finished(a *attempt) {
	j := a.job
	j.over = true
	j.ended = h.w.Now
	if j.first.IsZero() {
		j.first = a.started.Add(a.first)
	}
	j.between = a.between
	h.ended(a, nil)
}

// maxAttempts bounds the attempts at one job.
const maxAttempts = 4

func (h *host) failed(a *attempt) {
	h.ended(a, &upstream.Failure{Kind: upstream.Lost, Err: errDown})
	j := a.job
	if j.attempts >= maxAttempts || !h.w.Now.Before(j.query.Deadline) {
		j.over = true
		return
	}
	exclude := map[string]bool{a.engine.id: true}
	for id := range j.query.Exclude {
		exclude[id] = true
	}
	j.query.Exclude = exclude
	h.w.jobs++
	retry := h.w.jobs
	h.jobs[retry] = j
	h.take(h.router.Arrive(h.w.Now, retry, j.query))
}
