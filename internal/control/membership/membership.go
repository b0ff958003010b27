// Package membership decides which entry hosts of the region are live. It
// probes a few hosts a second, directly and through others, and piggybacks
// changes on the probes, as in the SWIM protocol. The platform's host list names
// the hosts to probe; a listed host that does not respond is not live.
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
	// introductionPeriod is how long updates of a new incarnation carry its
	// address.
	introductionPeriod = time.Minute
	// urgentPeriod is how long changes of status are gossiped at the higher rate.
	urgentPeriod = 2 * time.Second
)

// Machine is the control state of membership.
type Machine struct {
	self control.Self
	// own is this host's own state, as gossiped.
	own      member
	document *document.Document
	deadline time.Time
	rand     *rand.Rand

	// peers holds the other entry hosts of this region, remote those of other
	// regions.
	peers   map[string]*member
	remote  map[string]control.EntryHost
	updates updates
	// probes holds the outstanding probes by target; relays holds the probes that
	// other hosts requested, by target.
	probes map[string]*probe
	relays map[string][]relay
	// introduced holds the incarnation of each host to which the initial states
	// were sent.
	introduced map[string]string

	probeQueue, deadQueue, indirectQueue []string
	sequence, ticks                      uint64
	// lastContact is when another host was last reached or sent a message, at
	// first the time of the first input.
	lastContact time.Time
	// urgentUntil is the time until which every tick sends a probe, to spread a
	// change of status faster.
	urgentUntil time.Time
	listed      []hostlist.Host
	notices     []cloud.Notice
	reclaims    map[string]time.Time

	// changed is set when MembersChanged must be emitted and hosts is stale.
	changed       bool
	hosts         map[string]control.EntryHost
	activeOffsets map[string]int64
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

// Init initializes the machine for a host.
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
	m.initCounter(now)
	var outs []control.Output
	switch in := in.(type) {
	case control.Tick:
		outs = m.tick(now)
	case control.HostsListed:
		m.listed = in.List.Hosts
		m.applyList(now)
		m.rebuildReclaims()
	case control.NoticesListed:
		outs = m.applyNotices(in.Notices)
	case control.Configured:
		m.document = in.Document
		m.own.configOffset = in.Offset
		m.activeOffsets = nil
		m.updates.add(m.self.ID)
		m.applyList(now)
	case control.MessageReceived:
		outs = m.messageReceived(now, in)
	case control.Delivered:
		outs = m.confirm(now, in.To)
	case control.DeliverFailed:
		outs = m.deliverFailed(now, in.To)
	case control.Leaving:
		m.leave(now, in.Deadline)
	}
	return append(outs, m.emitChange()...)
}

// initCounter sets this host's counter at the first input, from the wall clock, so
// that a later process of the same host starts with a higher one.
func (m *Machine) initCounter(now time.Time) {
	if m.own.counter == 0 {
		m.own.counter = uint64(now.UnixMilli())
		m.own.joinedAt = now
		m.lastContact = now
	}
}

func (m *Machine) tick(now time.Time) []control.Output {
	outs := m.checkProbes(now)
	m.expire(now)
	for id, relays := range m.relays {
		if now.Sub(relays[len(relays)-1].started) >= probeTimeout {
			delete(m.relays, id)
		}
	}
	m.ticks++
	if m.ticks%probeTicks != 0 && now.After(m.urgentUntil) {
		return outs
	}
	return append(outs, m.probeNext(now)...)
}

func (m *Machine) deliverFailed(now time.Time, id string) []control.Output {
	p := m.probes[id]
	if p == nil || p.indirect {
		return nil
	}
	return m.probeIndirectly(now, p)
}

// leave marks this host as leaving, so that it gets no new callers, and gossips it.
func (m *Machine) leave(now time.Time, deadline time.Time) {
	m.deadline = deadline
	m.urgentUntil = now.Add(urgentPeriod)
	m.own.counter++
	m.own.status = peerv1.HostStatus_HOST_STATUS_LEAVING
	m.own.host.Leaving = true
	m.updates.add(m.self.ID)
	m.changed = true
}

func (m *Machine) applyNotices(notices []cloud.Notice) []control.Output {
	m.notices = notices
	m.rebuildReclaims()
	deadline, reclaimed := m.reclaims[m.self.ID]
	if !reclaimed || m.own.host.Leaving {
		return nil
	}
	return []control.Output{control.Emit{Input: control.Leaving{Deadline: deadline}}}
}

// rebuildReclaims recomputes the hosts that are to be reclaimed: those with a
// notice, and those listed as leaving, without a deadline.
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

// applyList updates the peers and the remote hosts from the newest host list.
func (m *Machine) applyList(now time.Time) {
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
		m.applyListed(now, entry)
	}
	m.changed = m.changed || !maps.Equal(remote, m.remote)
	m.remote = remote
}

func (m *Machine) applyListed(now time.Time, entry control.EntryHost) {
	peer := m.peers[entry.ID]
	if peer == nil {
		peer = &member{host: entry, status: peerv1.HostStatus_HOST_STATUS_ALIVE, joinedAt: now}
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

// region returns the region of a zone; a zone that the active configuration does
// not name, or any zone before the first configuration, counts as this region.
func (m *Machine) region(zone string) string {
	if m.document != nil {
		if z := m.document.Zone(zone); z != nil {
			return z.Region
		}
	}
	return m.self.Region
}

// emitChange emits MembersChanged when the hosts changed.
func (m *Machine) emitChange() []control.Output {
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

// rebuild makes the map of live hosts, which snapshots share until the next
// change.
func (m *Machine) rebuild() {
	m.changed = false
	m.activeOffsets = nil
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
	if m.activeOffsets == nil {
		m.activeOffsets = map[string]int64{m.self.ID: m.own.configOffset}
		for id, peer := range m.peers {
			if peer.live() && peer.configOffset > 0 {
				m.activeOffsets[id] = peer.configOffset
			}
		}
	}
	next.Hosts = m.hosts
	next.ActiveOffsets = m.activeOffsets
	next.Reclaims = m.reclaims
	next.Leaving = m.own.host.Leaving
	next.Deadline = m.deadline
}
