// Package experiment drives the decision code of several entry hosts with
// seeded load and fault scripts on a stepped virtual clock. The engines and the
// network are small fakes; the routing and control state are the real ones.
package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

const (
	// service is the service of model engines that receives the load.
	service = "advice"
	// messageDelay is the latency of a message between two hosts, pollDelay the
	// latency of a load report.
	messageDelay = 2 * time.Millisecond
	pollDelay    = 5 * time.Millisecond
	// routerTick is the time between two ticks of a router.
	routerTick = 20 * time.Millisecond
	// demandInterval is the time between two reports of demand.
	demandInterval = 60 * time.Millisecond
)

// Policy names a routing policy.
type Policy string

// The policies.
const (
	// RoundRobin takes the upstreams in turn under equal fixed limits.
	RoundRobin Policy = "round-robin"
	// LeastLoad takes the upstream with the fewest requests in flight from this
	// host, under equal fixed limits.
	LeastLoad Policy = "least-load"
	// Core is the policy of package route with the limits of control.upstreams.
	Core Policy = "core"
)

// Options configure a simulation.
type Options struct {
	Policy  Policy
	Hosts   int
	Engines int
	Seed    uint64
	// Warm is set when the engines start warm.
	Warm bool
}

// Simulation is a virtual deployment.
type Simulation struct {
	Now       time.Time
	opts      Options
	doc       *document.Document
	service   *document.Service
	rand      *rand.Rand
	events    events
	order     uint64
	hosts     []*host
	engines   map[string]*fakeEngine
	engineIDs []string
	listed    []hostlist.Host
	results   []*job
	jobs      uint64
	// partition holds, by host index, the part of a split network that the host is in.
	partition []int
	// messages and messageBytes count what hosts sent to one another.
	messages, messageBytes int
}

type event struct {
	at    time.Time
	order uint64
	do    func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// NewSimulation returns a simulation whose hosts have the configuration, the
// host list and the list of live hosts.
func NewSimulation(opts Options) (*Simulation, error) {
	text, err := deploy.Config("chomkaew")
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	sim := &Simulation{
		Now: time.Unix(1_000_000, 0), opts: opts, doc: doc, service: doc.Service(service),
		rand:      rand.New(rand.NewPCG(opts.Seed, 0)),
		engines:   map[string]*fakeEngine{},
		partition: make([]int, opts.Hosts),
	}
	for i := range opts.Engines {
		sim.addEngine(fmt.Sprint("advice-", i), sim.zone(i), opts.Warm)
	}
	for i := range opts.Hosts {
		id := fmt.Sprint("entry-", i)
		sim.listed = append(sim.listed, hostlist.Host{ID: id, Role: hostlist.RoleEntry, Address: id, Zone: sim.zone(i)})
		sim.hosts = append(sim.hosts, newHost(sim, i, id))
	}
	sim.updateHostList()
	sim.UpdateMembers()
	sim.configure(0)
	for _, h := range sim.hosts {
		sim.start(h)
	}
	return sim, nil
}

func (sim *Simulation) zone(i int) string {
	return sim.doc.AvailabilityZones[i%len(sim.doc.AvailabilityZones)].Name
}

// after schedules a function to run after a delay.
func (sim *Simulation) after(delay time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.events, event{sim.Now.Add(delay), sim.order, do})
}

// Run advances the virtual clock and runs the events that are due.
func (sim *Simulation) Run(duration time.Duration) {
	end := sim.Now.Add(duration)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.Now = e.at
		e.do()
	}
	sim.Now = end
}

// start schedules the ticks of a host, each host at a different phase.
func (sim *Simulation) start(h *host) {
	phase := time.Duration(h.index) * 7 * time.Millisecond
	sim.every(phase, control.TickInterval, func() { h.step(control.Tick{}) })
	sim.every(phase, routerTick, h.tickRouter)
	sim.every(phase, demandInterval, h.reportDemand)
}

func (sim *Simulation) every(phase, interval time.Duration, do func()) {
	sim.after(phase+interval, func() {
		do()
		sim.every(0, interval, do)
	})
}

func (sim *Simulation) addEngine(id, zone string, warm bool) *fakeEngine {
	traits := sim.service.Upstream
	e := &fakeEngine{
		sim: sim, id: id, zone: zone, slots: traits.MaxInFlight, coldInFlight: traits.ColdInFlight,
		coldStart: traits.ColdStart.D(), running: map[*attempt]bool{}, cache: newCache(),
	}
	if !warm {
		e.coldUntil = sim.Now.Add(e.coldStart)
	}
	sim.engines[id] = e
	sim.engineIDs = append(sim.engineIDs, id)
	sim.listed = append(sim.listed, hostlist.Host{
		ID: id, Role: hostlist.RoleUpstream, Address: id, Zone: zone,
		Class: document.Reclaimable, Service: service, Version: "v1",
	})
	sim.every(0, sampleInterval, e.sample)
	return e
}

// updateHostList gives the current host list to all hosts.
func (sim *Simulation) updateHostList() {
	hosts := append([]hostlist.Host(nil), sim.listed...)
	for _, h := range sim.hosts {
		h.step(control.HostsListed{List: hostlist.List{AsOf: sim.Now, Hosts: hosts}})
	}
}

// UpdateMembers gives each host the live hosts of its part of the network.
func (sim *Simulation) UpdateMembers() {
	for _, h := range sim.hosts {
		var live []control.EntryHost
		for _, other := range sim.hosts {
			if sim.partition[other.index] == sim.partition[h.index] {
				live = append(live, control.EntryHost{ID: other.id, Zone: other.zone})
			}
		}
		h.step(control.MembersChanged{Hosts: live})
	}
}

// configure makes the document active on each host after a random delay below spread.
func (sim *Simulation) configure(spread time.Duration) {
	doc := sim.doc
	for _, h := range sim.hosts {
		delay := time.Duration(0)
		if spread > 0 {
			delay = time.Duration(sim.rand.Int64N(int64(spread)))
		}
		if delay == 0 {
			h.step(control.Configured{Document: doc})
			continue
		}
		sim.after(delay, func() { h.step(control.Configured{Document: doc}) })
	}
}

// SetZone changes the state of an availability zone; the change reaches each
// host after a random delay below spread.
func (sim *Simulation) SetZone(name string, state document.ZoneState, spread time.Duration) {
	changed := *sim.doc
	changed.AvailabilityZones = append([]document.AvailabilityZone(nil), sim.doc.AvailabilityZones...)
	changed.Zone(name).State = state
	sim.doc = &changed
	sim.configure(spread)
}
