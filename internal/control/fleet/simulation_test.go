package fleet_test

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/fleet"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/plan"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	service          = "advice"
	engineSlots      = 16
	listingDelay     = 20 * time.Second
	coldStart        = time.Minute
	downloadInterval = 10 * time.Second
	noticeTime       = 30 * time.Second
	entryHosts       = 3
	defaultTick      = time.Second
)

// simulation runs the fleet machines of three entry hosts on a simulated platform,
// log and clock. A node is an entry host, given by its index in machines.
type simulation struct {
	now, start time.Time
	tick       time.Duration
	doc        *document.Document
	machines   []*fleet.Machine
	paused     map[int]bool
	log        []logsvc.Record
	// logRead is the number of log records that each node has read.
	logRead []int
	logDown bool
	hosts   map[string]*simHost
	// refusedUntil is the time until which starts in a slot are refused.
	refusedUntil map[plan.Slot]time.Time
	// nextDownload is when the next weight download may be reserved.
	nextDownload time.Time
	queue        []delivery
	starts       int
	refusals     int
	// requests is the number of requests that wait or run at all entry hosts
	// together.
	requests int
	// pausedOutputs holds the outputs of paused nodes until they resume.
	pausedOutputs map[int][]control.Output
}

type simHost struct {
	cloud.StartRequest
	started, listedAt, warmAt, deadline time.Time
	engine                              *standin.Engine
	fixed                               bool
}

type delivery struct {
	node int
	in   control.Input
}

func newDocument() *document.Document {
	doc := &document.Document{
		Services: []document.Service{{
			Name: service, Kind: document.KindEngine,
			Routes:   []document.Route{{Name: "menu", Deadline: jsonc.Duration(6 * time.Second)}},
			Versions: []document.Version{{Name: "v1", Goal: 1}},
			Upstream: document.Traits{MaxInFlight: engineSlots, ColdInFlight: 2, ColdStart: jsonc.Duration(coldStart)},
			Hosts:    &document.FleetBounds{Min: 4, Max: 24},
		}},
	}
	for i, price := range []float64{0.7, 0.8, 0.6, 0.9} {
		doc.AvailabilityZones = append(doc.AvailabilityZones, document.AvailabilityZone{
			Name: fmt.Sprintf("bkk-%c", 'a'+i), Region: "bangkok", State: document.ZoneServing,
			Prices: map[document.HostClass]float64{document.Reclaimable: price, document.OnDemand: 2.1},
		})
	}
	return doc
}

func newSimulation(planner fleet.Planner) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		now: start, start: start, tick: defaultTick, doc: newDocument(), paused: map[int]bool{},
		hosts: map[string]*simHost{}, refusedUntil: map[plan.Slot]time.Time{}, pausedOutputs: map[int][]control.Output{},
	}
	for i := range entryHosts {
		machine := &fleet.Machine{Plan: planner}
		machine.Init(control.Self{ID: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("run-%d", i)})
		s.machines = append(s.machines, machine)
		s.logRead = append(s.logRead, 0)
		s.deliver(i, control.LogHealth{Up: true})
		s.deliver(i, s.members())
	}
	s.configure(1)
	return s
}

func (s *simulation) members() control.MembersChanged {
	var changed control.MembersChanged
	for i := range entryHosts {
		changed.Hosts = append(changed.Hosts, control.EntryHost{ID: fmt.Sprintf("entry-%d", i)})
	}
	return changed
}

func (s *simulation) configure(offset int64) {
	for i := range s.machines {
		s.deliver(i, control.Configured{Offset: offset, Document: s.doc})
	}
}

// addFixed lists a warm host that the fleet did not start.
func (s *simulation) addFixed(id string, slot plan.Slot) {
	s.hosts[id] = &simHost{
		StartRequest: cloud.StartRequest{ID: id, Service: service, Version: "v1", Zone: slot.Zone, Class: slot.Class},
		started:      s.now, listedAt: s.now, warmAt: s.now, fixed: true, engine: s.newEngine(),
	}
}

func (s *simulation) newEngine() *standin.Engine {
	return standin.NewEngine(standin.EngineOptions{
		Version: "v1", Slots: engineSlots, ChecksFencing: s.doc.Services[0].Upstream.ChecksFencing,
	})
}

func (s *simulation) deliver(node int, in control.Input) {
	control.Drive(s.now, []control.Machine{s.machines[node]}, in, func(out control.Output) {
		if s.paused[node] {
			s.pausedOutputs[node] = append(s.pausedOutputs[node], out)
			return
		}
		s.perform(node, out)
	})
}

func (s *simulation) enqueue(node int, in control.Input) {
	s.queue = append(s.queue, delivery{node, in})
}

func (s *simulation) perform(node int, out control.Output) {
	switch out := out.(type) {
	case control.Append:
		if s.logDown {
			s.enqueue(node, control.AppendFailed{Stream: out.Stream, ID: out.ID})
			return
		}
		s.log = append(s.log, logsvc.Record{Offset: int64(len(s.log)), Time: s.now, ID: out.ID, Data: out.Data})
	case control.SendMessage:
		to := 0
		_, _ = fmt.Sscanf(out.To, "entry-%d", &to)
		s.enqueue(to, control.MessageReceived{From: fmt.Sprintf("entry-%d", node), Message: out.Message})
	case control.StartHost:
		s.enqueue(node, s.startHost(out.StartRequest))
	case control.StopHost:
		delete(s.hosts, out.ID)
		s.enqueue(node, control.HostStopped{ID: out.ID})
	case control.ReserveWeights:
		reserved := control.WeightsReserved{HostID: out.HostID, Artifact: out.Artifact}
		if s.now.Before(s.nextDownload) {
			reserved.RetryAfter, reserved.Err = s.nextDownload.Sub(s.now), context.DeadlineExceeded
		} else {
			s.nextDownload = s.now.Add(downloadInterval)
		}
		s.enqueue(node, reserved)
	case control.OrderEngine:
		s.enqueue(node, control.OrderDone{Upstream: out.Upstream, OrderID: out.Order.ID, Err: s.order(out)})
	case control.PollUpstream:
		if h := s.hosts[out.Upstream]; h != nil {
			load, err := h.engine.Load(context.Background())
			s.enqueue(node, control.LoadReported{Upstream: out.Upstream, Load: load, Err: err})
		}
	}
}

func (s *simulation) order(out control.OrderEngine) error {
	h := s.hosts[out.Upstream]
	if h == nil {
		return context.Canceled
	}
	err := h.engine.Order(context.Background(), out.Order)
	if err == nil && h.warmAt.IsZero() && out.Order.Kind == engine.OrderLoad {
		h.warmAt = s.now.Add(coldStart)
	}
	return err
}

func (s *simulation) startHost(req cloud.StartRequest) control.Input {
	if _, known := s.hosts[req.ID]; known {
		return control.HostStarted{ID: req.ID}
	}
	if s.now.Before(s.refusedUntil[plan.Slot{Zone: req.Zone, Class: req.Class}]) {
		s.refusals++
		return control.HostStarted{ID: req.ID, Refused: true, Err: cloud.ErrRefused}
	}
	s.starts++
	s.hosts[req.ID] = &simHost{
		StartRequest: req, started: s.now, listedAt: s.now.Add(listingDelay), engine: s.newEngine(),
	}
	return control.HostStarted{ID: req.ID}
}

// reclaim gives notice to the reclaimable hosts of a zone, refuses reclaimable starts
// there for the duration refuseFor and returns the hosts.
func (s *simulation) reclaim(zone string, notice, refuseFor time.Duration) []*simHost {
	var reclaimed []*simHost
	for _, id := range s.ids() {
		h := s.hosts[id]
		if h.Zone == zone && h.Class == document.Reclaimable && h.deadline.IsZero() {
			h.deadline = s.now.Add(notice)
			reclaimed = append(reclaimed, h)
		}
	}
	s.refusedUntil[plan.Slot{Zone: zone, Class: document.Reclaimable}] = s.now.Add(refuseFor)
	return reclaimed
}

func (s *simulation) ids() []string {
	ids := make([]string, 0, len(s.hosts))
	for id := range s.hosts {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// step advances the clock by one tick and delivers what is due.
func (s *simulation) step() {
	s.now = s.now.Add(s.tick)
	list := hostlist.List{AsOf: s.now}
	var notices control.NoticesListed
	for _, id := range s.ids() {
		h := s.hosts[id]
		if !h.deadline.IsZero() && !s.now.Before(h.deadline) {
			delete(s.hosts, id)
			continue
		}
		if !h.deadline.IsZero() {
			notices.Notices = append(notices.Notices, cloud.Notice{HostID: id, Deadline: h.deadline})
		}
		if !s.now.Before(h.listedAt) {
			list.Hosts = append(list.Hosts, hostlist.Host{
				ID: id, Role: hostlist.RoleUpstream, Address: id, Zone: h.Zone, Class: h.Class, Service: service, Version: h.Version,
			})
		}
	}
	due := s.queue
	s.queue = nil
	for _, d := range due {
		s.deliver(d.node, d.in)
	}
	for i := range s.machines {
		if s.paused[i] {
			continue
		}
		s.deliver(i, control.HostsListed{List: list})
		s.deliver(i, notices)
		s.deliver(i, control.Demand{Service: service, InFlight: map[string]int{"any": s.requests / entryHosts}})
		for ; !s.logDown && s.logRead[i] < len(s.log); s.logRead[i]++ {
			s.deliver(i, control.Record{Stream: logsvc.StreamFleet, Record: s.log[s.logRead[i]]})
		}
		s.deliver(i, control.Tick{})
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *simulation) setLogDown(down bool) {
	s.logDown = down
	for i := range s.machines {
		s.deliver(i, control.LogHealth{Up: !down})
	}
}

// pause stops a node's periodic inputs and holds back its outputs until it
// resumes; results, messages and LogHealth still reach it.
func (s *simulation) pause(node int) { s.paused[node] = true }

func (s *simulation) resume(node int) {
	s.paused[node] = false
	for _, out := range s.pausedOutputs[node] {
		s.perform(node, out)
	}
	s.pausedOutputs[node] = nil
}

// warm returns the number of warm hosts, by zone.
func (s *simulation) warm() map[string]int {
	counts := map[string]int{}
	for _, h := range s.hosts {
		if !h.warmAt.IsZero() && !s.now.Before(h.warmAt) {
			counts[h.Zone]++
		}
	}
	return counts
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// state returns the state of the service folded from the whole log.
func (s *simulation) state() fleet.Service {
	var state fleet.State
	for _, rec := range s.log {
		applyRecord(&state, rec)
	}
	return state.Services[service]
}

// holder returns the index of the node that holds the lease, or -1.
func (s *simulation) holder() int {
	node := -1
	_, _ = fmt.Sscanf(s.state().Lease.Host, "entry-%d", &node)
	return node
}
