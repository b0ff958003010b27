package route

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/fairqueue"
)

// Assignment is the outcome of a waiting request: an upstream or an error.
type Assignment struct {
	ID       uint64
	Upstream *control.Upstream
	// Err is ErrDeadline or an *OverloadError.
	Err error
}

// Ended describes a request that no longer uses the upstream assigned to it.
type Ended struct {
	Service, Upstream, Customer string
	Class                       document.Class
	Cost                        int
	Started                     time.Time
}

// Core decides which upstream takes which request. It does no I/O, starts no
// goroutines and reads no clock: the same calls at the same times give the
// same assignments. It is not safe for concurrent use.
type Core struct {
	rand     *rand.Rand
	snapshot *control.Snapshot
	services map[string]*service
	// ordered holds the services in the order in which they were first requested.
	ordered []*service
	// upstreams maps upstream IDs to this host's use of them.
	upstreams map[string]*usage
	affinity  *affinity
}

// usage is this host's use of one upstream.
type usage struct {
	inFlight int
	// loadVersion identifies the newest load report seen; inFlightAtReport is the
	// number of this host's requests in flight when it was first seen.
	loadVersion      uint64
	inFlightAtReport int
}

// NewCore returns a core without requests. Its random choices are determined by
// seed.
func NewCore(seed uint64) *Core {
	return &Core{
		rand:      rand.New(rand.NewPCG(seed, 0)),
		snapshot:  &control.Snapshot{},
		services:  map[string]*service{},
		upstreams: map[string]*usage{},
		affinity:  newAffinity(),
	}
}

// Update replaces the snapshot.
func (c *Core) Update(now time.Time, snapshot *control.Snapshot) []Assignment {
	c.snapshot = snapshot
	c.prune()
	return c.Tick(now)
}

// prune drops the usage of upstreams without requests in flight once there are
// more than twice as many entries as listed upstreams.
func (c *Core) prune() {
	listed := 0
	for _, list := range c.snapshot.Upstreams {
		listed += len(list)
	}
	if len(c.upstreams) <= 2*listed {
		return
	}
	for id, u := range c.upstreams {
		if u.inFlight == 0 {
			delete(c.upstreams, id)
		}
	}
}

// Arrive adds a request that needs an upstream. The ID must be new.
func (c *Core) Arrive(now time.Time, id uint64, q Query) []Assignment {
	s := c.service(q.Service)
	p := &pending{query: q, class: classIndex(q.Class), explores: c.rand.IntN(exploreEvery) == 0}
	p.version = q.Version
	if p.version == "" {
		p.version = c.drawVersion(q)
	}
	p.item = c.item(now, id, q, s)
	s.measure(now)
	s.add(p)
	out := c.assign(now, s, nil)
	if s.waiting[id] == nil {
		return out
	}
	if wait, late := c.missesDeadline(now, s, p); late {
		s.remove(p)
		out = append(out, Assignment{ID: id, Err: &OverloadError{RetryAfter: wait}})
	}
	return out
}

// Cancel removes a waiting request.
func (c *Core) Cancel(serviceName string, id uint64) {
	s := c.service(serviceName)
	if p := s.waiting[id]; p != nil {
		s.remove(p)
	}
}

// Release frees the slot of an ended request.
func (c *Core) Release(now time.Time, e Ended) []Assignment {
	c.usage(e.Upstream).inFlight--
	s := c.service(e.Service)
	s.measure(now)
	s.ended(now, e)
	return c.assign(now, s, nil)
}

// Tick expires requests past their deadlines and assigns those that it can.
func (c *Core) Tick(now time.Time) []Assignment {
	var out []Assignment
	for _, s := range c.ordered {
		s.measure(now)
		out = s.expire(now, out)
		out = c.assign(now, s, out)
	}
	return out
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int {
	waiting := 0
	for _, s := range c.ordered {
		waiting += len(s.waiting)
	}
	return waiting
}

// Demand returns the waiting and in-flight requests of each service that was ever
// requested.
func (c *Core) Demand() []control.Demand {
	demands := make([]control.Demand, 0, len(c.services))
	for _, s := range c.ordered {
		demand := control.Demand{
			Service: s.name, Waiting: map[string]int{}, InFlight: map[string]int{}, Urgent: s.urgent(),
		}
		for _, p := range s.waiting {
			demand.Waiting[p.version]++
		}
		for _, u := range c.snapshot.Upstreams[s.name] {
			if n := c.usage(u.ID).inFlight; n > 0 {
				demand.InFlight[u.ID] = n
			}
		}
		demands = append(demands, demand)
	}
	return demands
}

// InFlight returns the number of this host's requests in flight at an upstream.
func (c *Core) InFlight(upstream string) int { return c.usage(upstream).inFlight }

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = newService(name)
		c.services[name] = s
		c.ordered = append(c.ordered, s)
	}
	return s
}

func (c *Core) usage(id string) *usage {
	u := c.upstreams[id]
	if u == nil {
		u = &usage{}
		c.upstreams[id] = u
	}
	return u
}

// item returns the fair queue's entry for a request.
func (c *Core) item(now time.Time, id uint64, q Query, s *service) *fairqueue.Item {
	it := &fairqueue.Item{
		ID: id, Customer: q.Customer, Weight: 1, Cost: float64(max(q.Cost, 1)),
		Target: q.Deadline, Deadline: q.Deadline.Add(-s.minDuration(q.Cost)),
	}
	if len(q.Exclude) > 0 {
		// A retry: the customer was charged the full cost at the first attempt.
		it.Cost = 1
	}
	doc := c.snapshot.Document
	if doc == nil {
		return it
	}
	if customer := doc.Customer(q.Customer); customer != nil {
		it.Weight = customer.Share
	}
	if svc := doc.Service(q.Service); svc != nil {
		if r := svc.Route(q.Route); r != nil && r.FirstToken > 0 {
			it.Target = now.Add(r.FirstToken.D())
		}
	}
	return it
}

// missesDeadline returns the estimated wait of a request and reports whether it
// would then start too late to finish before its deadline. This host's share of
// each upstream counts even while other hosts use it, since limits follow demand.
func (c *Core) missesDeadline(now time.Time, s *service, p *pending) (time.Duration, bool) {
	slots, share := 0, 0.0
	for _, u := range c.snapshot.Upstreams[s.name] {
		slots += max(u.LimitAt(now), c.usage(u.ID).inFlight)
		if u.Available && u.Owners > 0 {
			share += float64(u.Capacity) / float64(u.Owners)
		}
	}
	wait := s.estimateWait(p, max(slots, int(share)))
	return wait, now.Add(wait).After(p.item.Deadline)
}

// assign assigns upstreams to waiting requests until none can be assigned.
func (c *Core) assign(now time.Time, s *service, out []Assignment) []Assignment {
	for len(s.waiting) > 0 {
		free, slots := c.free(now, s.name)
		s.slots = slots
		if free == 0 {
			return out
		}
		p, u := c.serveNext(now, s, free)
		if p == nil {
			return out
		}
		c.usage(u.ID).inFlight++
		if p.query.Prefix != 0 {
			c.affinity.record(p.query.Prefix, u.ID)
		}
		out = append(out, Assignment{ID: p.item.ID, Upstream: u})
	}
	return out
}

// free returns the number of free slots and of all slots of a service at this host.
func (c *Core) free(now time.Time, name string) (free, slots int) {
	for _, u := range c.snapshot.Upstreams[name] {
		if !u.Available {
			continue
		}
		limit := u.LimitAt(now)
		used := c.usage(u.ID).inFlight
		slots += max(limit, used)
		free += max(0, limit-used)
	}
	return free, slots
}

// serveNext removes the next request that can be served from its queue and
// returns it with its upstream; nil if there is none.
func (c *Core) serveNext(now time.Time, s *service, free int) (*pending, *control.Upstream) {
	for _, class := range s.order() {
		if !s.admits(class, s.slots) {
			continue
		}
		var chosen *control.Upstream
		it := s.queues[class].Serve(now, func(it *fairqueue.Item) bool {
			if s.customers.mustYield(s.customers.getOrAdd(it.Customer, 0), free, s.slots) {
				return false
			}
			chosen = c.choose(now, s.waiting[it.ID])
			return chosen != nil
		})
		if it != nil {
			p := s.waiting[it.ID]
			s.started(p)
			return p, chosen
		}
	}
	return nil, nil
}

const (
	// maxCandidates is the number of free upstreams compared for a request, apart
	// from those that its prefix prefers.
	maxCandidates = 4
	// The constants from cachedBonus to coldBatchPenalty are in units of load: the
	// share of an upstream's slots in use. priceWeight is for a price of 1 per hour.
	// coldBatchPenalty is negative: batch requests prefer cold upstreams.
	cachedBonus      = 0.35
	homeBonus        = 0.1
	otherZonePenalty = 0.02
	priceWeight      = 0.02
	coldPenalty      = 0.5
	coldBatchPenalty = -0.25
	// exploreEvery is the average number of requests of which one prefers cold
	// upstreams.
	exploreEvery = 16
)

// ownLoadDivisor divides this host's own use where it is added to the reported
// load. This keeps all hosts from choosing the same upstream after a report.
const ownLoadDivisor = 2
