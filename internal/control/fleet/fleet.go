// Package fleet starts and stops the hosts of the services whose configuration
// bounds their number.
//
// One host controls the fleet of a service. It holds a lease, a record in a
// stream of the log whose offset is the fencing token of its orders. The hosts
// that are wanted are in the same stream: a new controller goes on with the
// same IDs, which makes starts and stops idempotent. An ID that was retired is
// never wanted again, so a late start or stop by an old controller does no
// harm. While the log is down the controller replaces hosts that it loses, and
// does nothing else.
package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/checkpoint"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/plan"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

const (
	renewInterval = 10 * time.Second
	takeRetry     = 5 * time.Second
	// demandInterval and hostsPerSecond bound the messages that a controller
	// gets: hosts tell their demand less often where there are more of them.
	demandInterval = 2 * time.Second
	hostsPerSecond = 30
)

func init() { kernel.Register(&Machine{}) }

// ErrOptions says that the module's options are not usable.
var ErrOptions = eris.New("fleet options")

// Planner decides where the hosts of a service should run.
type Planner func(plan.Request) plan.Fleet

// Machine is the control state of the fleet.
type Machine struct {
	// Plan is the planner; nil means plan.Solve.
	Plan Planner `json:"-"`
	// ReclaimableShare bounds the share of a service's hosts that may be
	// reclaimable, from 0 to 1; 0 means 1.
	ReclaimableShare float64 `json:"reclaimableShare,omitempty"`

	self     control.Self
	document *document.Document
	fold     *logfold.Fold[State]
	logUp    bool
	members  []control.EntryHost
	listed   map[string]hostlist.Host
	// seen tells that the host list was read.
	seen        bool
	noticed     map[string]time.Time
	rollouts    []control.Rollout
	services    map[string]*controller
	reclaims    map[string]*reclaimRate
	checkpoints checkpoint.Writer
	retired     int
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamReader = (*Machine)(nil)
	_ kernel.Provisioner   = (*Machine)(nil)
	_ kernel.Validator     = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.fleet", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.checkpoints = checkpoint.NewWriter(self, logsvc.StreamFleet)
	m.fold = logfold.New(Apply)
	m.listed = map[string]hostlist.Host{}
	m.noticed = map[string]time.Time{}
	m.services = map[string]*controller{}
	m.reclaims = map[string]*reclaimRate{}
	if m.Plan == nil {
		m.Plan = plan.Solve
	}
	if m.ReclaimableShare == 0 {
		m.ReclaimableShare = 1
	}
}

// Validate implements kernel.Validator.
func (m *Machine) Validate() error {
	if m.ReclaimableShare < 0 || m.ReclaimableShare > 1 {
		return eris.Wrap(ErrOptions, "reclaimableShare is not from 0 to 1")
	}
	return nil
}

// Streams implements control.StreamReader.
func (*Machine) Streams() []string { return []string{logsvc.StreamFleet} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		m.configured(in.Document)
	case control.MembersChanged:
		m.members = in.Hosts
		m.checkpoints.Members(in.Hosts)
	case control.HostsListed:
		m.hostsListed(now, in.List)
	case control.NoticesListed:
		m.noticesListed(now, in)
	case control.RolloutsChanged:
		m.rollouts = in.Rollouts
	case control.Demand:
		m.demand(in)
	case control.LogHealth:
		m.logUp = in.Up
	case control.Truncated:
		if in.Stream == logsvc.StreamFleet {
			m.fold.Truncate(in.Oldest)
		}
	case control.Record:
		if in.Stream == logsvc.StreamFleet {
			m.noteRecord(in.Record)
			m.fold.ApplyRecord(in.Record)
			return m.raiseRetired()
		}
	case control.MessageReceived:
		m.heard(now, in)
	case control.HostStarted, control.WeightsReserved, control.OrderDone, control.LoadReported:
		m.answered(now, in)
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) configured(doc *document.Document) {
	m.document = doc
	kept := map[string]*controller{}
	for i := range doc.Services {
		service := &doc.Services[i]
		if service.Hosts == nil {
			continue
		}
		c := m.services[service.Name]
		if c == nil {
			c = newController(service.Name)
		}
		c.service = service
		kept[service.Name] = c
	}
	m.services = kept
}

func (m *Machine) hostsListed(now time.Time, list hostlist.List) {
	m.seen = true
	m.listed = make(map[string]hostlist.Host, len(list.Hosts))
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleUpstream && m.services[host.Service] != nil {
			m.listed[host.ID] = host
		}
	}
	for _, c := range m.services {
		c.listed(now, m.listed)
	}
}

func (m *Machine) noticesListed(now time.Time, in control.NoticesListed) {
	noticed := map[string]time.Time{}
	for _, notice := range in.Notices {
		noticed[notice.HostID] = notice.Deadline
		host, listed := m.listed[notice.HostID]
		if _, known := m.noticed[notice.HostID]; !known && listed {
			m.reclaim(host.Zone).add(now)
		}
	}
	m.noticed = noticed
}

func (m *Machine) reclaim(zone string) *reclaimRate {
	if m.reclaims[zone] == nil {
		m.reclaims[zone] = &reclaimRate{}
	}
	return m.reclaims[zone]
}

// demand takes what waits and runs at this host.
func (m *Machine) demand(in control.Demand) {
	c := m.services[in.Service]
	if c == nil {
		return
	}
	c.own = 0
	for _, n := range in.Waiting {
		c.own += n
	}
	for _, n := range in.InFlight {
		c.own += n
	}
}

func (m *Machine) heard(now time.Time, in control.MessageReceived) {
	demand := in.Message.GetFleetDemand()
	if demand == nil {
		return
	}
	if c := m.services[demand.GetService()]; c != nil {
		c.hear(now, in.From, int(demand.GetRequests()))
	}
}

// raiseRetired tells the other machines which hosts are to be stopped.
func (m *Machine) raiseRetired() []control.Output {
	ids := map[string]bool{}
	for _, s := range m.fold.State().Services {
		for id := range s.Retired {
			ids[id] = true
		}
	}
	if !m.fold.Complete() || len(ids) == m.retired {
		return nil
	}
	m.retired = len(ids)
	return []control.Output{control.Emit{Input: control.HostsRetired{IDs: ids}}}
}

// state returns what the log says of a service's fleet.
func (m *Machine) state(service string) Service {
	return m.fold.State().Services[service]
}

func (m *Machine) tick(now time.Time) []control.Output {
	if m.document == nil || !m.seen {
		return nil
	}
	var outs []control.Output
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		c := m.services[name]
		outs = append(outs, m.tellDemand(now, c)...)
		if m.fold.Complete() {
			outs = append(outs, m.tickService(now, c)...)
		}
	}
	if !m.logUp {
		return outs
	}
	return append(outs, m.checkpoints.Tick(now, m.fold)...)
}

// tellDemand sends this host's demand to the service's controller.
func (m *Machine) tellDemand(now time.Time, c *controller) []control.Output {
	interval := max(demandInterval, time.Duration(len(m.members))*time.Second/hostsPerSecond)
	if now.Sub(c.told) < interval {
		return nil
	}
	c.told = now
	to := m.state(c.name).Lease.Host
	if !m.live(to) {
		to = m.candidate(c.name)
	}
	if to == m.self.ID {
		c.hear(now, m.self.ID, c.own)
		return nil
	}
	demand := &peerv1.FleetDemand{Service: c.name, Requests: int32(c.own)}
	return []control.Output{control.SendMessage{To: to, Message: &peerv1.Message{
		Body: &peerv1.Message_FleetDemand{FleetDemand: demand},
	}}}
}

func (m *Machine) live(id string) bool {
	for _, host := range m.members {
		if host.ID == id {
			return !host.Leaving
		}
	}
	return false
}

// candidate returns the host that should control a service's fleet.
func (m *Machine) candidate(service string) string {
	candidates := []string{m.self.ID}
	for _, host := range m.members {
		if !host.Leaving && host.ID != m.self.ID {
			candidates = append(candidates, host.ID)
		}
	}
	return rendezvous.First("fleet/"+service, candidates)
}

// Publish implements control.Machine.
func (*Machine) Publish(time.Time, *control.Snapshot) {}
