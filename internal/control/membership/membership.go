// Package membership decides which entry hosts of the region are live. It
// probes a few hosts a second, directly and through others, and passes changes
// on with the probes, in the manner of SWIM. The platform's host list tells
// whom to probe; a host that is listed but silent is not live.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

func init() { kernel.Register(&Machine{}) }

const (
	// introduction is how long updates of a new incarnation carry its address.
	introduction = time.Minute
	// urgency is how long a change of status is passed on at the higher rate.
	urgency = 2 * time.Second
)

// Machine is the control state of membership.
type Machine struct {
	self     control.Self
	own      member
	document *document.Document
	deadline time.Time
	rand     *rand.Rand

	// peers holds the other hosts of the region, remote those of others.
	peers   map[string]*member
	remote  map[string]control.EntryHost
	updates updates
	probes  map[string]*probe
	relays  map[string][]relay
	// introduced holds the incarnation of each host that got a digest.
	introduced map[string]string

	turn, deadTurn, helperTurn []string
	sequence, ticks            uint64
	heardAny                   time.Time
	// urgent is until when each tick brings a probe, to pass on a change of status.
	urgent   time.Time
	listed   []hostlist.Host
	notices  []cloud.Notice
	reclaims map[string]time.Time

	// changed tells that MembersChanged is due and the shared maps are stale.
	changed bool
	hosts   map[string]control.EntryHost
	inForce map[string]int64
}

var (
	_ control.Machine    = (*Machine)(nil)
	_ kernel.Provisioner = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.membership", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.own = member{
		host: control.EntryHost{
			ID: self.ID, Incarnation: self.Incarnation, Address: self.Address,
			Zone: self.Zone, Region: self.Region,
		},
		status: peerv1.HostStatus_HOST_STATUS_ALIVE,
	}
	m.rand = rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), xxhash.Sum64String(self.Incarnation)))
	m.peers = map[string]*member{}
	m.remote = map[string]control.EntryHost{}
	m.updates = updates{}
	m.probes = map[string]*probe{}
	m.relays = map[string][]relay{}
	m.introduced = map[string]string{}
	m.reclaims = map[string]time.Time{}
	m.changed = true
	m.hosts = map[string]control.EntryHost{self.ID: m.own.host}
}

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	m.begin(now)
	var outs []control.Output
	switch in := in.(type) {
	case control.Tick:
		outs = m.tick(now)
	case control.HostsListed:
		m.listed = in.List.Hosts
		m.takeList(now)
		m.rebuildReclaims()
	case control.NoticesListed:
		outs = m.takeNotices(in.Notices)
	case control.Configured:
		m.document = in.Document
		m.own.configOffset = in.Offset
		m.inForce = nil
		m.updates.add(m.self.ID)
		m.takeList(now)
	case control.MessageReceived:
		outs = m.heard(now, in)
	case control.Delivered:
		outs = m.confirm(now, in.To)
	case control.DeliverFailed:
		outs = m.deliverFailed(now, in.To)
	case control.Leaving:
		m.leave(now, in.Deadline)
	}
	return append(outs, m.announceChange()...)
}

// begin sets the counter at the first input: a later process of the same host
// starts with a higher one.
func (m *Machine) begin(now time.Time) {
	if m.own.counter == 0 {
		m.own.counter = uint64(now.UnixMilli())
		m.own.joined = now
		m.heardAny = now
	}
}

func (m *Machine) tick(now time.Time) []control.Output {
	outs := m.checkProbes(now)
	m.expire(now)
	for id, asked := range m.relays {
		if now.Sub(asked[len(asked)-1].started) >= probeTimeout {
			delete(m.relays, id)
		}
	}
	m.ticks++
	if m.ticks%probeTicks != 0 && now.After(m.urgent) {
		return outs
	}
	return append(outs, m.probeNext(now)...)
}

func (m *Machine) deliverFailed(now time.Time, id string) []control.Output {
	p := m.probes[id]
	if p == nil || p.indirect {
		return nil
	}
	return m.askHelpers(now, p)
}

// leave tells all that this host takes no new work.
func (m *Machine) leave(now time.Time, deadline time.Time) {
	m.deadline = deadline
	m.urgent = now.Add(urgency)
	m.own.counter++
	m.own.status = peerv1.HostStatus_HOST_STATUS_LEAVING
	m.own.host.Leaving = true
	m.updates.add(m.self.ID)
	m.changed = true
}

func (m *Machine) takeNotices(notices []cloud.Notice) []control.Output {
	m.notices = notices
	m.rebuildReclaims()
	deadline, leaving := m.reclaims[m.self.ID]
	if !leaving || m.own.host.Leaving {
		return nil
	}
	return []control.Output{control.Emit{Input: control.Leaving{Deadline: deadline}}}
}

// rebuildReclaims collects the hosts that are to go: those under notice, and
// those that are listed as leaving without a deadline.
func (m *Machine) rebuildReclaims() {
	reclaims := make(map[string]time.Time, len(m.notices))
	for _, host := range m.listed {
		if host.Leaving {
			reclaims[host.ID] = time.Time{}
		}
	}
	for _, notice := range m.notices {
		reclaims[notice.HostID] = notice.Deadline
	}
	m.reclaims = reclaims
}

// takeList compares the peers with the newest list.
func (m *Machine) takeList(now time.Time) {
	for _, peer := range m.peers {
		peer.listed = false
	}
	remote := map[string]control.EntryHost{}
	for _, host := range m.listed {
		if host.Role != hostlist.RoleEntry || host.ID == m.self.ID {
			continue
		}
		entry := control.EntryHost{
			ID: host.ID, Address: host.Address, Zone: host.Zone,
			Region: m.region(host.Zone), Leaving: host.Leaving,
		}
		if entry.Region != m.self.Region {
			remote[host.ID] = entry
			delete(m.peers, host.ID)
			continue
		}
		m.takeListed(now, entry)
	}
	m.changed = m.changed || !maps.Equal(remote, m.remote)
	m.remote = remote
}

func (m *Machine) takeListed(now time.Time, entry control.EntryHost) {
	peer := m.peers[entry.ID]
	if peer == nil {
		peer = &member{host: entry, status: peerv1.HostStatus_HOST_STATUS_ALIVE, joined: now}
		m.peers[entry.ID] = peer
		m.changed = true
	}
	peer.listed = true
	if peer.host.Region != entry.Region || entry.Leaving && !peer.host.Leaving {
		peer.host.Region = entry.Region
		peer.host.Leaving = peer.host.Leaving || entry.Leaving
		m.changed = true
	}
}

// region returns the region of a zone; before a configuration is in force
// every zone counts as near.
func (m *Machine) region(zone string) string {
	if m.document != nil {
		if z := m.document.Zone(zone); z != nil {
			return z.Region
		}
	}
	return m.self.Region
}

// announceChange raises MembersChanged when the live hosts are others now.
func (m *Machine) announceChange() []control.Output {
	if !m.changed {
		return nil
	}
	m.rebuild()
	changed := control.MembersChanged{}
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		if host := m.hosts[id]; host.Region == m.self.Region {
			changed.Hosts = append(changed.Hosts, host)
		}
	}
	return []control.Output{control.Emit{Input: changed}}
}

// rebuild makes the maps that snapshots share until the next change.
func (m *Machine) rebuild() {
	m.changed = false
	m.inForce = nil
	m.hosts = map[string]control.EntryHost{m.self.ID: m.own.host}
	for id, host := range m.remote {
		m.hosts[id] = host
	}
	for id, peer := range m.peers {
		if peer.live() {
			m.hosts[id] = peer.host
		}
	}
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	if m.inForce == nil {
		m.inForce = map[string]int64{m.self.ID: m.own.configOffset}
		for id, peer := range m.peers {
			if peer.live() && peer.configOffset > 0 {
				m.inForce[id] = peer.configOffset
			}
		}
	}
	next.Hosts = m.hosts
	next.ActiveOffsets = m.inForce
	next.Reclaims = m.reclaims
	next.Leaving = m.own.host.Leaving
	next.Deadline = m.deadline
}
