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

// router is the interface that Core and the baselines implement.
type router interface {
	Update(now time.Time, snapshot *control.Snapshot) []route.Assignment
	Arrive(now time.Time, id uint64, q route.Query) []route.Assignment
	Release(now time.Time, e route.Ended) []route.Assignment
	Tick(now time.Time) []route.Assignment
	Demand() []control.Demand
}

// limiter is the control state that sets the limits of upstreams.
type limiter interface {
	Step(now time.Time, in control.Input) []control.Output
	Publish(now time.Time, next *control.Snapshot)
}

// host is one entry host.
type host struct {
	sim      *Simulation
	index    int
	id, zone string
	router   router
	limits   limiter
	self     control.Self
	doc      *control.Configured
	jobs     map[uint64]*job
}

func newHost(sim *Simulation, index int, id string) *host {
	h := &host{sim: sim, index: index, id: id, zone: sim.zone(index), jobs: map[uint64]*job{}}
	h.self = control.Self{ID: id, Zone: h.zone, Region: sim.doc.AvailabilityZones[0].Region}
	seed := sim.opts.Seed + uint64(index)
	if sim.opts.Policy == Core {
		machine := &upstreams.Machine{}
		machine.Init(h.self)
		h.limits = machine
		h.router = route.NewCore(seed)
		return h
	}
	h.limits = &fixedLimits{}
	h.router = newFIFO(sim.opts.Policy, seed)
	return h
}

func (h *host) step(in control.Input) {
	if configured, ok := in.(control.Configured); ok {
		h.doc = &configured
	}
	for _, out := range h.limits.Step(h.sim.Now, in) {
		h.perform(out)
	}
	h.publish()
}

func (h *host) publish() {
	if h.doc == nil {
		return
	}
	next := &control.Snapshot{At: h.sim.Now, Self: h.self, Document: h.doc.Document, Shares: map[control.RouteKey][]control.VersionShare{}}
	for _, r := range h.sim.service.Routes {
		next.Shares[control.RouteKey{Service: service, Route: r.Name}] = []control.VersionShare{{Version: "v1", Share: 1}}
	}
	h.limits.Publish(h.sim.Now, next)
	h.dispatch(h.router.Update(h.sim.Now, next))
}

func (h *host) perform(out control.Output) {
	switch out := out.(type) {
	case control.SendMessage:
		h.sendMessage(out)
	case control.PollUpstream:
		h.sim.after(pollDelay, func() { h.poll(out) })
	}
}

func (h *host) sendMessage(out control.SendMessage) {
	h.sim.messages++
	h.sim.messageBytes += proto.Size(out.Message)
	for _, other := range h.sim.hosts {
		if other.id != out.To {
			continue
		}
		h.sim.after(messageDelay, func() {
			if h.sim.partition[h.index] == h.sim.partition[other.index] {
				other.step(control.MessageReceived{From: h.id, Message: clone(out.Message)})
			}
		})
	}
}

func clone(m *peerv1.Message) *peerv1.Message { return proto.Clone(m).(*peerv1.Message) }

func (h *host) poll(out control.PollUpstream) {
	e := h.sim.engines[out.Upstream]
	if e.down() || len(e.reports) == 0 {
		h.step(control.LoadReported{Upstream: out.Upstream, Err: errDown})
		return
	}
	if out.CacheAfter >= 0 {
		h.step(control.CacheChanged{Upstream: out.Upstream, Events: h.cacheEvents(e, out.CacheAfter)})
	}
	h.step(control.LoadReported{Upstream: out.Upstream, Load: e.reports[0]})
}

func (h *host) cacheEvents(e *fakeEngine, after int64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for i := min(after, int64(len(e.cache.events))); i < int64(len(e.cache.events)); i++ {
		if h.sim.rand.Float64() >= eventLossRate {
			events = append(events, e.cache.events[i])
		}
	}
	return events
}

func (h *host) tickRouter() { h.dispatch(h.router.Tick(h.sim.Now)) }

func (h *host) reportDemand() {
	for _, demand := range h.router.Demand() {
		h.step(demand)
	}
}

// submit accepts a job from a caller.
func (h *host) submit(j *job) {
	h.jobs[j.id] = j
	h.dispatch(h.router.Arrive(h.sim.Now, j.id, j.query))
}

func (h *host) dispatch(assignments []route.Assignment) {
	for _, a := range assignments {
		j := h.jobs[a.ID]
		delete(h.jobs, a.ID)
		if a.Err != nil {
			j.refused = j.attempts == 0
			j.done = true
			continue
		}
		j.attempts++
		try := &attempt{job: j, host: h, engine: h.sim.engines[a.Upstream.ID], started: h.sim.Now}
		try.engine.accept(try)
	}
}

func (h *host) attemptEnded(a *attempt, failure *upstream.Failure) {
	report := control.AttemptEnded{
		Upstream: a.engine.id, Service: service, Route: a.job.query.Route, Version: "v1",
		Started: a.started, Took: h.sim.Now.Sub(a.started), Failure: failure,
	}
	if failure == nil {
		report.FirstToken, report.Between, report.Tokens = a.firstToken, a.tokenInterval, a.job.tokens
	}
	h.step(report)
	q := a.job.query
	h.dispatch(h.router.Release(h.sim.Now, route.Ended{
		Service: service, Upstream: a.engine.id, Customer: q.Customer, Class: q.Class, Cost: q.Cost, Started: a.started,
	}))
}

func (h *host) attemptFinished(a *attempt) {
	j := a.job
	j.done = true
	j.finishedAt = h.sim.Now
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = a.started.Add(a.firstToken)
	}
	j.tokenInterval = a.tokenInterval
	h.attemptEnded(a, nil)
}

// maxAttempts bounds the attempts at one job.
const maxAttempts = 4

func (h *host) attemptFailed(a *attempt) {
	h.attemptEnded(a, &upstream.Failure{Kind: upstream.Lost, Err: errDown})
	j := a.job
	if j.attempts >= maxAttempts || !h.sim.Now.Before(j.query.Deadline) {
		j.done = true
		return
	}
	exclude := map[string]bool{a.engine.id: true}
	for id := range j.query.Exclude {
		exclude[id] = true
	}
	j.query.Exclude = exclude
	h.sim.jobs++
	retry := h.sim.jobs
	h.jobs[retry] = j
	h.dispatch(h.router.Arrive(h.sim.Now, retry, j.query))
}
