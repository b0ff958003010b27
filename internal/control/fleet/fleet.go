// Package fleet starts and stops the hosts of the services whose configuration
// bounds their number.
//
// One host at a time controls the fleet of a service. It holds a lease, a record
// in a stream of the log whose offset is the fencing token of its orders. The
// wanted hosts are recorded in the same stream: a new controller continues with
// the same IDs, which makes starts and stops idempotent. A retired ID is never
// wanted again, so a late start or stop by a previous controller is harmless.
// While the log is down the controller only starts hosts that the plan is
// missing, such as replacements of lost ones.
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
	renewInterval        = 10 * time.Second
	acquireRetryInterval = 5 * time.Second
	// demandInterval is the least time between two demand messages of a host.
	// It grows with the number of hosts, so that a controller receives at most
	// demandMessagesPerSecond.
	demandInterval          = 2 * time.Second
	demandMessagesPerSecond = 30
)

func init() { kernel.Register(&Machine{}) }

// ErrOptions is returned when the module's options are invalid.
var ErrOptions = eris.New("invalid fleet options")

// Planner decides where the hosts of a service should run.
type Planner func(plan.Request) plan.Fleet

// Machine is the control state machine of the fleets of all services.
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
	// hostsKnown is set once the host list has been read.
	hostsKnown bool
	// notices holds the deadlines of reclaim notices by host ID.
	notices      map[string]time.Time
	rollouts     []control.Rollout
	controllers  map[string]*controller
	reclaims     map[string]*reclaimRate
	checkpoints  checkpoint.Writer
	retiredCount int
}

var (
	_ control.Machine      = (*Machine)(nil)
	_ control.StreamFolder = (*Machine)(nil)
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

// Init prepares a machine for the given host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.checkpoints = checkpoint.NewWriter(self, logsvc.StreamFleet)
	m.fold = logfold.New(Apply)
	m.listed = map[string]hostlist.Host{}
	m.notices = map[string]time.Time{}
	m.controllers = map[string]*controller{}
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
		return eris.Wrap(ErrOptions, "reclaimableShare must be between 0 and 1")
	}
	return nil
}

// Streams implements control.StreamFolder.
func (*Machine) Streams() []string { return []string{logsvc.StreamFleet} }

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		m.applyConfig(in.Document)
	case control.MembersChanged:
		m.members = in.Hosts
		m.checkpoints.SetMembers(in.Hosts)
	case control.HostsListed:
		m.applyHostList(now, in.List)
	case control.NoticesListed:
		m.applyNotices(now, in)
	case control.RolloutsChanged:
		m.rollouts = in.Rollouts
	case control.Demand:
		m.setLocalDemand(in)
	case control.LogHealth:
		m.logUp = in.Up
	case control.Truncated:
		if in.Stream == logsvc.StreamFleet {
			m.fold.Truncate(in.Oldest)
		}
	case control.Record:
		if in.Stream == logsvc.StreamFleet {
			m.confirmAppend(in.Record)
			m.fold.ApplyRecord(in.Record)
			return m.emitRetired()
		}
	case control.MessageReceived:
		m.handleMessage(now, in)
	case control.HostStarted, control.WeightsReserved, control.OrderDone, control.LoadReported:
		m.handleResult(now, in)
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) applyConfig(doc *document.Document) {
	m.document = doc
	kept := map[string]*controller{}
	for i := range doc.Services {
		service := &doc.Services[i]
		if service.Hosts == nil {
			continue
		}
		c := m.controllers[service.Name]
		if c == nil {
			c = newController(service.Name)
		}
		c.service = service
		kept[service.Name] = c
	}
	m.controllers = kept
}

func (m *Machine) applyHostList(now time.Time, list hostlist.List) {
	m.hostsKnown = true
	m.listed = make(map[string]hostlist.Host, len(list.Hosts))
	for _, host := range list.Hosts {
		if host.Role == hostlist.RoleUpstream && m.controllers[host.Service] != nil {
			m.listed[host.ID] = host
		}
	}
	for _, c := range m.controllers {
		c.updateListed(now, m.listed)
	}
}

func (m *Machine) applyNotices(now time.Time, in control.NoticesListed) {
	noticed := map[string]time.Time{}
	for _, notice := range in.Notices {
		noticed[notice.HostID] = notice.Deadline
		host, listed := m.listed[notice.HostID]
		if _, known := m.notices[notice.HostID]; !known && listed {
			m.zoneReclaims(host.Zone).add(now)
		}
	}
	m.notices = noticed
}

func (m *Machine) zoneReclaims(zone string) *reclaimRate {
	if m.reclaims[zone] == nil {
		m.reclaims[zone] = &reclaimRate{}
	}
	return m.reclaims[zone]
}

// setLocalDemand updates the number of requests that wait or run at this host.
func (m *Machine) setLocalDemand(in control.Demand) {
	c := m.controllers[in.Service]
	if c == nil {
		return
	}
	c.localDemand = 0
	for _, n := range in.Waiting {
		c.localDemand += n
	}
	for _, n := range in.InFlight {
		c.localDemand += n
	}
}

func (m *Machine) handleMessage(now time.Time, in control.MessageReceived) {
	demand := in.Message.GetFleetDemand()
	if demand == nil {
		return
	}
	if c := m.controllers[demand.GetService()]; c != nil {
		c.recordDemand(now, in.From, int(demand.GetRequests()))
	}
}

// emitRetired passes the IDs of all retired hosts to the other machines when
// their number has changed.
func (m *Machine) emitRetired() []control.Output {
	ids := map[string]bool{}
	for _, s := range m.fold.State().Services {
		for id := range s.Retired {
			ids[id] = true
		}
	}
	if !m.fold.Complete() || len(ids) == m.retiredCount {
		return nil
	}
	m.retiredCount = len(ids)
	return []control.Output{control.Emit{Input: control.HostsRetired{IDs: ids}}}
}

// state returns the state of a service's fleet as recorded in the log.
func (m *Machine) state(service string) Service {
	return m.fold.State().Services[service]
}

func (m *Machine) tick(now time.Time) []control.Output {
	if m.document == nil || !m.hostsKnown {
		return nil
	}
	var outs []control.Output
	for _, name := range slices.Sorted(maps.Keys(m.controllers)) {
		c := m.controllers[name]
		outs = append(outs, m.sendDemand(now, c)...)
		if m.fold.Complete() {
			outs = append(outs, m.tickService(now, c)...)
		}
	}
	if !m.logUp {
		return outs
	}
	return append(outs, m.checkpoints.Tick(now, m.fold)...)
}

// sendDemand sends this host's demand to the holder of the service's lease, or
// to the host that should take the lease if the holder is not live.
func (m *Machine) sendDemand(now time.Time, c *controller) []control.Output {
	interval := max(demandInterval, time.Duration(len(m.members))*time.Second/demandMessagesPerSecond)
	if now.Sub(c.demandSentAt) < interval {
		return nil
	}
	c.demandSentAt = now
	to := m.state(c.name).Lease.Host
	if !m.isLive(to) {
		to = m.candidate(c.name)
	}
	if to == m.self.ID {
		c.recordDemand(now, m.self.ID, c.localDemand)
		return nil
	}
	demand := &peerv1.FleetDemand{Service: c.name, Requests: int32(c.localDemand)}
	return []control.Output{control.SendMessage{To: to, Message: &peerv1.Message{
		Body: &peerv1.Message_FleetDemand{FleetDemand: demand},
	}}}
}

// isLive reports whether an entry host is a member that is not leaving.
func (m *Machine) isLive(id string) bool {
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
