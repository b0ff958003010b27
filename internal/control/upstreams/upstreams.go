// Package upstreams determines to which upstreams of its region this host may
// send and under what limits. For the upstreams that it coordinates, it also
// divides their capacity among the hosts that send to them.
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
	// live holds the live entry hosts; the value is false for other hosts that are
	// leaving, which must not coordinate upstreams.
	live map[string]bool
	// entries holds the upstreams to which this host may send, by ID; ordered
	// lists them by service and ID.
	entries map[string]*entry
	ordered []*entry
	// cells divides the entry hosts of the region; placements holds all upstreams
	// of the region by service, and serviceHosts the hosts that own shares of
	// them (empty with a single cell).
	cells        [][]subset.Member
	placements   map[string][]placement
	serviceHosts map[string][]string
	// cellUpstreams lists the upstreams of each cell. coordinators caches the
	// coordinators of a cell's upstreams; a cell's map is nil until it is needed.
	cellUpstreams [][]string
	coordinators  []map[string]string
	// owned is the average number of upstreams per cell: about the number of
	// which this host owns shares.
	owned int
	// waiting is the number of requests waiting at this host by service and
	// version; urgent is the number of slots that its urgent classes need, by
	// service.
	waiting map[string]map[string]int
	urgent  map[string]int
	// offset varies by host so that the remainders of divided demand spread over
	// the upstreams.
	offset    int
	baselines map[baselineKey]*baseline
	// retired holds the upstreams whose hosts are to be stopped.
	retired map[string]bool
	// changed is set when published may be out of date.
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

// Init initializes the machine for a host.
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
		return m.messageReceived(now, in)
	}
	return nil
}

// markRetired updates which upstreams' hosts are to be stopped.
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

func (m *Machine) messageReceived(now time.Time, in control.MessageReceived) []control.Output {
	if want := in.Message.GetWant(); want != nil {
		return m.creditRequestReceived(now, in.From, want)
	}
	if grant := in.Message.GetGrant(); grant != nil {
		m.grantReceived(now, in.From, grant)
	}
	return nil
}

// demand records the requests waiting and in flight at this host. Where requests
// wait, it requests credits early for upstreams whose limit is used up, and
// becomes a guest if it has no upstream of the service.
func (m *Machine) demand(now time.Time, in control.Demand) []control.Output {
	m.waiting[in.Service] = in.Waiting
	m.urgent[in.Service] = in.Urgent
	hasWaiting := false
	for _, n := range in.Waiting {
		hasWaiting = hasWaiting || n > 0
	}
	if hasWaiting && !m.sendsTo(in.Service) {
		m.joinAsGuest(now, in.Service)
	}
	var outs []control.Output
	for _, e := range m.ordered {
		if e.host.Service != in.Service {
			continue
		}
		e.inFlight = in.InFlight[e.host.ID]
		if hasWaiting && m.mayRequestEarly(now, e) {
			outs = append(outs, m.requestCredits(now, e)...)
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

// tick requests the credits that are due and polls the load of the engines that
// this host coordinates.
func (m *Machine) tick(now time.Time) []control.Output {
	m.changed = true
	m.expireGuests(now)
	due := map[string]bool{}
	for _, e := range m.ordered {
		if m.due(now, e) {
			due[e.coordinator] = true
		}
	}
	var outs []control.Output
	for _, e := range m.ordered {
		if due[e.coordinator] && (m.due(now, e) || m.nearlyDue(now, e)) {
			outs = append(outs, m.requestCredits(now, e)...)
		}
		if e.pool != nil && e.kind == document.KindEngine && now.Sub(e.lastPoll) >= m.timing().poll {
			outs = append(outs, e.poll(now))
		}
	}
	return outs
}
