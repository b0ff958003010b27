package route

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/fairqueue"
)

// Assignment ends the wait of a request: with an upstream or with an error.
type Assignment struct {
	ID       uint64
	Upstream *control.Upstream
	// Err is ErrDeadline or an *OverloadError.
	Err error
}

// Ended gives back what an Assignment gave out.
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
	// ordered holds the services in the order in which they were first asked for.
	ordered []*service
	// upstreams holds the use that this host makes of each upstream.
	upstreams map[string]*usage
	affinity  *affinity
}

// usage is the use that this host makes of one upstream.
type usage struct {
	inFlight int
	// loadSeen names the newest load report and atReport is what this host had
	// in flight when it came.
	loadSeen uint64
	atReport int
}

// NewCore returns a core without requests. Its random choices follow from seed.
func NewCore(seed uint64) *Core {
	return &Core{
		rand:      rand.New(rand.NewPCG(seed, 0)),
		snapshot:  &control.Snapshot{},
		services:  map[string]*service{},
		upstreams: map[string]*usage{},
		affinity:  newAffinity(),
	}
}

// Update takes a newer snapshot.
func (c *Core) Update(now time.Time, snapshot *control.Snapshot) []Assignment {
	c.snapshot = snapshot
	c.prune()
	return c.Tick(now)
}

// prune forgets upstreams that are neither listed nor in use.
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

// Arrive takes a request that needs an upstream. The ID must be new.
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
	if wait, hopeless := c.hopeless(now, s, p); hopeless {
		s.remove(p)
		out = append(out, Assignment{ID: id, Err: &OverloadError{RetryAfter: wait}})
	}
	return out
}

// Cancel takes out a request that waits no longer.
func (c *Core) Cancel(serviceName string, id uint64) {
	s := c.service(serviceName)
	if p := s.waiting[id]; p != nil {
		s.remove(p)
	}
}

// Release takes back what an assignment gave out.
func (c *Core) Release(now time.Time, e Ended) []Assignment {
	c.usage(e.Upstream).inFlight--
	s := c.service(e.Service)
	s.measure(now)
	s.ended(now, e)
	return c.assign(now, s, nil)
}

// Tick ends waits that are out of time and assigns what can be assigned.
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

// Demand returns what waits and runs of each service that was ever asked for.
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

// InFlight returns the number of requests of this host at an upstream.
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

// item describes a request to the fair queue.
func (c *Core) item(now time.Time, id uint64, q Query, s *service) *fairqueue.Item {
	it := &fairqueue.Item{
		ID: id, Customer: q.Customer, Share: 1, Cost: float64(max(q.Cost, 1)),
		Target: q.Deadline, Deadline: q.Deadline.Add(-s.shortest(q.Cost)),
	}
	if len(q.Exclude) > 0 {
		// A request that failed elsewhere was paid for when it first ran.
		it.Cost = 1
	}
	doc := c.snapshot.Document
	if doc == nil {
		return it
	}
	if customer := doc.Customer(q.Customer); customer != nil {
		it.Share = customer.Share
	}
	if svc := doc.Service(q.Service); svc != nil {
		if r := svc.Route(q.Route); r != nil && r.FirstToken > 0 {
			it.Target = now.Add(r.FirstToken.D())
		}
	}
	return it
}

// hopeless tells whether a request would most likely come out of the queue too
// late to finish in time, and how long the queue is. This host's share counts
// also where other hosts have it now: limits follow what waits.
func (c *Core) hopeless(now time.Time, s *service, p *pending) (time.Duration, bool) {
	slots, share := 0, 0.0
	for _, u := range c.snapshot.Upstreams[s.name] {
		slots += max(u.LimitAt(now), c.usage(u.ID).inFlight)
		if u.Available && u.Owners > 0 {
			share += float64(u.Capacity) / float64(u.Owners)
		}
	}
	wait := s.wait(p, max(slots, int(share)))
	return wait, now.Add(wait).After(p.item.Deadline)
}

// drawVersion draws a version by the shares in force, among those that have an
// upstream for the query.
func (c *Core) drawVersion(q Query) string {
	shares := c.snapshot.Shares[control.RouteKey{Service: q.Service, Route: q.Route}]
	if len(shares) == 1 {
		return shares[0].Version
	}
	total := 0.0
	for _, s := range shares {
		if c.versionOpen(q, s.Version) {
			total += s.Share
		}
	}
	draw := c.rand.Float64() * total
	for _, s := range shares {
		if !c.versionOpen(q, s.Version) {
			continue
		}
		if draw -= s.Share; draw < 0 {
			return s.Version
		}
	}
	return ""
}

// versionOpen reports whether a version has an open upstream that the query
// does not exclude.
func (c *Core) versionOpen(q Query, version string) bool {
	for _, u := range c.snapshot.Upstreams[q.Service] {
		if u.Available && u.Version == version && !q.Exclude[u.ID] {
			return true
		}
	}
	return false
}

// keepVersion draws again for a request whose version may get no more work.
func (c *Core) keepVersion(p *pending) {
	if p.query.Version != "" {
		return
	}
	key := control.RouteKey{Service: p.query.Service, Route: p.query.Route}
	for _, s := range c.snapshot.Shares[key] {
		if s.Version == p.version && s.Share > 0 && c.versionOpen(p.query, p.version) {
			return
		}
	}
	p.version = c.drawVersion(p.query)
}

// assign gives upstreams to waiting requests for as long as there are both.
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
			c.affinity.sent(p.query.Prefix, u.ID)
		}
		out = append(out, Assignment{ID: p.item.ID, Upstream: u})
	}
	return out
}

// free returns the free slots of a service at this host, and all of its slots.
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

// serveNext takes the request that comes next off its queue and returns it
// with its upstream; nil if none can be served.
func (c *Core) serveNext(now time.Time, s *service, free int) (*pending, *control.Upstream) {
	for _, class := range s.order() {
		if !s.admits(class, s.slots) {
			continue
		}
		var chosen *control.Upstream
		it := s.queues[class].Serve(now, func(it *fairqueue.Item) bool {
			if s.customers.yields(s.customers.get(it.Customer, 0), free, s.slots) {
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
	// choices is the number of free upstreams that are compared.
	choices = 4
	// The weights below are added to the share of an upstream's slots in use.
	cachedBonus  = 0.35
	homeBonus    = 0.1
	otherZone    = 0.02
	priceWeight  = 0.02
	coldPenalty  = 0.5
	coldForBatch = -0.25
	// exploreEvery is the number of requests of which one prefers cold upstreams.
	exploreEvery = 16
)

// choose returns an upstream for a request, or nil if none is free. A request
// for a version that is not proved yet and has no free upstream goes to a
// proved one.
func (c *Core) choose(now time.Time, p *pending) *control.Upstream {
	c.keepVersion(p)
	u := c.chooseOf(now, p)
	if u != nil || p.query.Version != "" || !c.moving(p.query.Service, p.version) {
		return u
	}
	if proved := c.provedVersion(p.query); proved != "" {
		p.version = proved
		return c.chooseOf(now, p)
	}
	return nil
}

// moving reports whether a version is not proved yet.
func (c *Core) moving(service, version string) bool {
	for _, r := range c.snapshot.Rollouts {
		if r.Service == service && r.Version == version {
			return r.Phase != control.RolloutDone
		}
	}
	return false
}

// provedVersion returns the proved version with the largest share that has an
// upstream for the query, or an empty string.
func (c *Core) provedVersion(q Query) string {
	best, share := "", 0.0
	for _, s := range c.snapshot.Shares[control.RouteKey{Service: q.Service, Route: q.Route}] {
		if s.Share > share && !c.moving(q.Service, s.Version) && c.versionOpen(q, s.Version) {
			best, share = s.Version, s.Share
		}
	}
	return best
}

// chooseOf compares a few free upstreams of the request's version, from a
// random one on, and those that are likely to have its prefix in their cache.
func (c *Core) chooseOf(now time.Time, p *pending) *control.Upstream {
	list := c.snapshot.Upstreams[p.query.Service]
	if len(list) == 0 {
		return nil
	}
	hint := c.affinity.hint(p.query.Prefix, list, p.version)
	var best *control.Upstream
	bestScore := math.Inf(1)
	seen := 0
	offset := c.rand.IntN(len(list))
	for i := range list {
		u := list[(offset+i)%len(list)]
		if seen >= choices && u != hint.home && u.ID != hint.last {
			continue
		}
		if !c.usable(now, u, p) {
			continue
		}
		seen++
		if score := c.score(u, p, hint); score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

func (c *Core) usable(now time.Time, u *control.Upstream, p *pending) bool {
	return u.Available && u.Version == p.version && !p.query.Exclude[u.ID] && c.usage(u.ID).inFlight < u.LimitAt(now)
}

// score rates an upstream for a request; the lowest is best.
func (c *Core) score(u *control.Upstream, p *pending, hint hint) float64 {
	score := c.load(u) + priceWeight*u.Price
	if u.Zone != c.snapshot.Self.Zone {
		score += otherZone
	}
	if _, cached := u.Prefixes[p.query.Prefix]; cached || u.ID == hint.last {
		score -= cachedBonus
	}
	if u == hint.home {
		score -= homeBonus
	}
	switch {
	case !u.Cold:
	case p.explores:
		score -= coldPenalty
	case p.class == batch:
		score += coldForBatch
	default:
		score += coldPenalty
	}
	return score
}

// load estimates the share of an upstream's slots in use: what the newest
// report says, corrected by what this host sent and got back since.
func (c *Core) load(u *control.Upstream) float64 {
	use := c.usage(u.ID)
	if use.loadSeen != u.LoadVersion {
		use.loadSeen, use.atReport = u.LoadVersion, use.inFlight
	}
	own := float64(use.inFlight) / float64(max(1, u.Limit))
	if u.Capacity == 0 || u.LoadVersion == 0 {
		return own
	}
	all := u.Load + float64(use.inFlight-use.atReport)/float64(u.Capacity)
	return max(0, all) + own/float64(ownWeight)
}

// ownWeight is the part that this host's own use has beside the reported load:
// it keeps the hosts from running after the same report.
const ownWeight = 2
