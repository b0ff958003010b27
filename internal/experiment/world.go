// Package experiment drives the decision code of several entry hosts with
// seeded load and fault scripts under a stepped virtual clock. The engines and
// the network are small fakes; the routing and control state are the real ones.
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
	// service is the service of model engines that the load is for.
	service = "advice"
	// hostDelay is the time of a message between two hosts, pollDelay that of
	// a load report.
	hostDelay = 2 * time.Millisecond
	pollDelay = 5 * time.Millisecond
	// routerTick is the time between two ticks of a router.
	routerTick = 20 * time.Millisecond
	// demandInterval is the time between two reports of demand.
	demandInterval = 60 * time.Millisecond
)

// Policy names a way to route.
type Policy string

// The policies.
const (
	// RoundRobin takes the upstreams in turn under equal fixed limits.
	RoundRobin Policy = "round-robin"
	// LeastLoad takes the upstream that this host uses least, under equal
	// fixed limits.
	LeastLoad Policy = "least-load"
	// Core is the policy of package route with the limits of control.upstreams.
	Core Policy = "core"
)

// Options describe a world.
type Options struct {
	Policy  Policy
	Hosts   int
	Engines int
	Seed    uint64
	// Warm makes the engines warm at the start.
	Warm bool
}

// Simulation is a virtual deployment.
type Simulation struct {
	Now     time.Time
	opts    Options
	doc     *document.Document
	service *document.Service
	rand    *rand.Rand
	events  events
	order   uint64
	hosts   []*host
	engines map[string]*engineFake
	names   []string
	listed  []hostlist.Host
	results []*job
	jobs    uint64
	// side gives each host its side of a split network.
	side []int
	// messages and messageBytes count what hosts sent to each other.
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

// NewSimulation returns a world whose hosts know the configuration, the list and each other.
func NewSimulation(opts Options) (*Simulation, error) {
	text, err := deploy.Config("chomkaew")
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(text)
	if err != nil {
		return nil, err
	}
	w := &Simulation{
		Now: time.Unix(1_000_000, 0), opts: opts, doc: doc, service: doc.Service(service),
		rand:    rand.New(rand.NewPCG(opts.Seed, 0)),
		engines: map[string]*engineFake{},
		side:    make([]int, opts.Hosts),
	}
	for i := range opts.Engines {
		w.addEngine(fmt.Sprint("advice-", i), w.zone(i), opts.Warm)
	}
	for i := range opts.Hosts {
		id := fmt.Sprint("entry-", i)
		w.listed = append(w.listed, hostlist.Host{ID: id, Role: hostlist.RoleEntry, Address: id, Zone: w.zone(i)})
		w.hosts = append(w.hosts, newHost(w, i, id))
	}
	w.list()
	w.Members()
	w.configure(0)
	for _, h := range w.hosts {
		w.start(h)
	}
	return w, nil
}

func (w *Simulation) zone(i int) string {
	return w.doc.AvailabilityZones[i%len(w.doc.AvailabilityZones)].Name
}

// after runs a function later.
func (w *Simulation) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.Now.Add(delay), w.order, do})
}

// Run lets time pass.
func (w *Simulation) Run(duration time.Duration) {
	end := w.Now.Add(duration)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = end
}

// start begins the ticks of a host, each host at another phase.
func (w *Simulation) start(h *host) {
	phase := time.Duration(h.index) * 7 * time.Millisecond
	w.every(phase, control.TickInterval, func() { h.step(control.Tick{}) })
	w.every(phase, routerTick, h.tickRouter)
	w.every(phase, demandInterval, h.reportDemand)
}

func (w *Simulation) every(phase, interval time.Duration, do func()) {
	w.after(phase+interval, func() {
		do()
		w.every(0, interval, do)
	})
}

func (w *Simulation) addEngine(id, zone string, warm bool) *engineFake {
	traits := w.service.Upstream
	e := &engineFake{
		w: w, id: id, zone: zone, slots: traits.MaxInFlight, bears: traits.ColdInFlight,
		coldStart: traits.ColdStart.D(), running: map[*attempt]bool{}, cache: newCache(),
	}
	if !warm {
		e.coldTill = w.Now.Add(e.coldStart)
	}
	w.engines[id] = e
	w.names = append(w.names, id)
	w.listed = append(w.listed, hostlist.Host{
		ID: id, Role: hostlist.RoleUpstream, Address: id, Zone: zone,
		Class: document.Reclaimable, Service: service, Version: "v1",
	})
	w.every(0, sampleInterval, e.sample)
	return e
}

// list gives the host list to all hosts.
func (w *Simulation) list() {
	hosts := append([]hostlist.Host(nil), w.listed...)
	for _, h := range w.hosts {
		h.step(control.HostsListed{List: hostlist.List{AsOf: w.Now, Hosts: hosts}})
	}
}

// Members tells each host that those on its side of the network are live.
func (w *Simulation) Members() {
	for _, h := range w.hosts {
		var live []control.EntryHost
		for _, other := range w.hosts {
			if w.side[other.index] == w.side[h.index] {
				live = append(live, control.EntryHost{ID: other.id, Zone: other.zone})
			}
		}
		h.step(control.MembersChanged{Hosts: live})
	}
}

// configure puts the document in force at each host within a spread of time.
func (w *Simulation) configure(spread time.Duration) {
	doc := w.doc
	for _, h := range w.hosts {
		delay := time.Duration(0)
		if spread > 0 {
			delay = time.Duration(w.rand.Int64N(int64(spread)))
		}
		if delay == 0 {
			h.step(control.Configured{Document: doc})
			continue
		}
		w.after(delay, func() { h.step(control.Configured{Document: doc}) })
	}
}

// SetZone takes a zone out or in.
func (w *Simulation) SetZone(name string, state document.ZoneState, spread time.Duration) {
	changed := *w.doc
	changed.AvailabilityZones = append([]document.AvailabilityZone(nil), w.doc.AvailabilityZones...)
	changed.Zone(name).State = state
	w.doc = &changed
	w.configure(spread)
}
