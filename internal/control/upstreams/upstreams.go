// Package upstreams keeps the upstreams of this host's region: which of them
// this host may send to and under what limits, and the limits over all hosts
// of those upstreams that it keeps.
package upstreams

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/subset"
)

// maxOffset bounds Machine.offset.
const maxOffset = 1 << 16

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of the upstreams.
type Machine struct {
	self     control.Self
	document *document.Document
	listed   []hostlist.Host
	// live holds the live entry hosts; true marks those that may keep upstreams.
	live map[string]bool
	// entries holds the upstreams to which this host may send, ordered by service.
	entries map[string]*entry
	ordered []*entry
	// cells parts the hosts of the region; places holds all upstreams of the
	// region by service, and serviceHosts the hosts that own shares of them.
	cells        [][]subset.Member
	places       map[string][]place
	serviceHosts map[string][]string
	// inCell lists the upstreams of each cell; coordinators holds those cells'
	// coordinators that were asked for.
	inCell       [][]string
	coordinators []map[string]string
	// owned is the number of upstreams of which this host owns shares.
	owned int
	// waiting counts the waiting requests at this host by service and version,
	// and urgent the slots that its urgent classes need, by service.
	waiting map[string]map[string]int
	urgent  map[string]int
	// offset spreads the odd requests of hosts over the upstreams.
	offset    int
	baselines map[baselineKey]*baseline
	// retired holds the upstreams whose hosts are to be stopped.
	retired   map[string]bool
	changed   bool
	published map[string][]*control.Upstream
}

var (
	_ control.Machine    = (*Machine)(nil)
	_ kernel.Provisioner = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.upstreams", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.live = map[string]bool{self.ID: true}
	m.entries = map[string]*entry{}
	m.waiting = map[string]map[string]int{}
	m.urgent = map[string]int{}
	m.offset = int(xxhash.Sum64String(self.ID) % maxOffset)
	m.baselines = map[baselineKey]*baseline{}
}

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Tick:
		return m.tick(now)
	case control.Configured:
		m.document = in.Document
		m.rebuild(now)
	case control.HostsListed:
		if !slices.Equal(m.listed, in.List.Hosts) {
			m.listed = in.List.Hosts
			m.rebuild(now)
		}
	case control.HostsRetired:
		m.retired = in.IDs
		m.markRetired()
	case control.MembersChanged:
		m.membersChanged(now, in.Hosts)
	case control.Demand:
		return m.demand(now, in)
	case control.AttemptEnded:
		m.attemptEnded(now, in)
	case control.LoadReported:
		return m.loadReported(now, in)
	case control.CacheChanged:
		m.cacheChanged(in)
	case control.MessageReceived:
		return m.heard(now, in)
	}
	return nil
}

// markRetired closes the upstreams whose hosts are to be stopped.
func (m *Machine) markRetired() {
	m.changed = true
	for _, e := range m.ordered {
		e.retired = m.retired[e.host.ID]
	}
}

func (m *Machine) membersChanged(now time.Time, hosts []control.EntryHost) {
	live := map[string]bool{m.self.ID: true}
	for _, host := range hosts {
		live[host.ID] = !host.Leaving
	}
	if !mapsEqual(live, m.live) {
		m.live = live
		m.rebuild(now)
	}
}

func mapsEqual(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if other, found := b[key]; !found || other != value {
			return false
		}
	}
	return true
}

func (m *Machine) heard(now time.Time, in control.MessageReceived) []control.Output {
	if want := in.Message.GetWant(); want != nil {
		return m.wanted(now, in.From, want)
	}
	if grant := in.Message.GetGrant(); grant != nil {
		m.granted(now, in.From, grant)
	}
	return nil
}

// demand takes what waits and runs at this host, and asks for more where all
// that may be sent is in use.
func (m *Machine) demand(now time.Time, in control.Demand) []control.Output {
	m.waiting[in.Service] = in.Waiting
	m.urgent[in.Service] = in.Urgent
	waits := false
	for _, n := range in.Waiting {
		waits = waits || n > 0
	}
	if waits && !m.sendsTo(in.Service) {
		m.visit(now, in.Service)
	}
	var outs []control.Output
	for _, e := range m.ordered {
		if e.host.Service != in.Service {
			continue
		}
		e.inFlight = in.InFlight[e.host.ID]
		if waits && m.mayAskEarly(now, e) {
			outs = append(outs, m.ask(now, e)...)
		}
	}
	return outs
}

func (m *Machine) sendsTo(service string) bool {
	for _, e := range m.ordered {
		if e.host.Service == service {
			return true
		}
	}
	return false
}

// tick asks for the credits that are due and polls the kept upstreams.
func (m *Machine) tick(now time.Time) []control.Output {
	m.changed = true
	m.leave(now)
	due := map[string]bool{}
	for _, e := range m.ordered {
		if m.due(now, e) {
			due[e.coordinator] = true
		}
	}
	var outs []control.Output
	for _, e := range m.ordered {
		if due[e.coordinator] && (m.due(now, e) || m.nearlyDue(now, e)) {
			outs = append(outs, m.ask(now, e)...)
		}
		if e.pool != nil && e.kind == document.KindEngine && now.Sub(e.polled) >= m.pace().poll {
			outs = append(outs, e.poll(now))
		}
	}
	return outs
}
