package membership

import (
	"maps"
	"slices"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// sendGossip returns a message completed with this host's own state and the newest
// changes.
func (m *Machine) sendGossip(now time.Time, to string, gossip *peerv1.Gossip) control.Output {
	introduce := now.Sub(m.own.joinedAt) < introductionPeriod
	gossip.Hosts = append(gossip.Hosts, m.own.state(introduce))
	if m.firstContact(to) {
		gossip.Hosts = append(gossip.Hosts, m.initialStates(to)...)
	}
	for _, id := range m.updates.take(to) {
		if peer := m.peers[id]; peer != nil {
			fresh := !peer.listed || now.Sub(peer.joinedAt) < introductionPeriod
			gossip.Hosts = append(gossip.Hosts, peer.state(fresh))
		}
	}
	out := control.SendMessage{To: to, Message: &peerv1.Message{Body: &peerv1.Message_Gossip{Gossip: gossip}}}
	if peer := m.peers[to]; peer != nil {
		out.Address = peer.host.Address
	}
	return out
}

// firstContact reports whether a host's incarnation is known and has not yet been
// sent the initial states, and records that it has.
func (m *Machine) firstContact(to string) bool {
	peer := m.peers[to]
	if peer == nil || peer.host.Incarnation == "" || m.introduced[to] == peer.host.Incarnation {
		return false
	}
	m.introduced[to] = peer.host.Incarnation
	return true
}

// initialStates lists what a new host cannot know from the host list: which hosts
// are suspect, dead or leaving.
func (m *Machine) initialStates(to string) []*peerv1.HostState {
	var states []*peerv1.HostState
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		peer := m.peers[id]
		if id != to && (severity(peer.status) > 0 || peer.host.Leaving) {
			states = append(states, peer.state(false))
		}
	}
	return states
}

// messageReceived handles a message; any message shows that its sender is alive.
func (m *Machine) messageReceived(now time.Time, in control.MessageReceived) []control.Output {
	outs := m.confirm(now, in.From)
	body, ok := in.Message.GetBody().(*peerv1.Message_Gossip)
	if !ok {
		return outs
	}
	gossip := body.Gossip
	for _, update := range gossip.GetHosts() {
		m.applyUpdate(now, update)
	}
	if peer := m.peers[in.From]; peer != nil && severity(peer.status) > 0 {
		// The sender has not yet received that it is suspect.
		outs = append(outs, m.sendGossip(now, in.From, &peerv1.Gossip{Hosts: []*peerv1.HostState{peer.state(false)}}))
	}
	switch target := gossip.GetProbe(); {
	case target == "":
	case gossip.GetAck() > 0:
		delete(m.probes, target)
	default:
		outs = append(outs, m.relayProbe(now, in.From, gossip)...)
	}
	return outs
}

// applyUpdate applies a gossiped update about a host if it supersedes its known
// state.
func (m *Machine) applyUpdate(now time.Time, update *peerv1.HostState) {
	if update.GetId() == m.self.ID {
		m.refute(update)
		return
	}
	peer := m.peers[update.GetId()]
	if peer == nil {
		m.addUnlisted(now, update)
		return
	}
	if !supersedes(update, peer) {
		m.applyOffset(update, peer)
		return
	}
	m.applyNewer(now, update, peer)
}

// refute raises this host's counter when an update about it names another
// incarnation or calls it suspect or dead, so that its own state supersedes the
// update.
func (m *Machine) refute(update *peerv1.HostState) {
	stale := update.GetIncarnation() != m.self.Incarnation || severity(update.GetStatus()) > 0
	if stale && update.GetCounter() >= m.own.counter {
		m.own.counter = update.GetCounter() + 1
		m.updates.add(m.self.ID)
	}
}

// addUnlisted adds a host of this region that is not listed yet.
func (m *Machine) addUnlisted(now time.Time, update *peerv1.HostState) {
	if update.GetAddress() == "" || update.GetRegion() != m.self.Region || severity(update.GetStatus()) > 0 {
		return
	}
	peer := &member{joinedAt: now, host: control.EntryHost{
		ID: update.GetId(), Address: update.GetAddress(), Zone: update.GetAvailabilityZone(), Region: update.GetRegion(),
	}}
	m.peers[update.GetId()] = peer
	m.applyNewer(now, update, peer)
}

// applyOffset applies a newer configuration offset from an update with the known
// counter.
func (m *Machine) applyOffset(update *peerv1.HostState, peer *member) {
	if update.GetCounter() == peer.counter && update.GetConfigOffset() > peer.configOffset {
		peer.configOffset = update.GetConfigOffset()
		m.activeOffsets = nil
		m.updates.add(update.GetId())
	}
}

// applyNewer applies an update that supersedes the known state. An update that a host
// is dead only makes it suspect, so that a live host has time to refute it.
func (m *Machine) applyNewer(now time.Time, update *peerv1.HostState, peer *member) {
	wasLive, wasLeaving := peer.live(), peer.host.Leaving
	id := update.GetId()
	peer.counter = update.GetCounter()
	peer.configOffset = max(peer.configOffset, update.GetConfigOffset())
	if update.GetIncarnation() != "" && update.GetIncarnation() != peer.host.Incarnation {
		m.changed = true
		peer.host.Incarnation = update.GetIncarnation()
		peer.host.Leaving = false
		peer.joinedAt = now
	}
	if update.GetAddress() != "" && update.GetAddress() != peer.host.Address {
		peer.host.Address = update.GetAddress()
		m.changed = true
	}
	if severity(update.GetStatus()) > 0 {
		m.startSuspicion(now, peer)
	} else {
		peer.status = update.GetStatus()
		peer.host.Leaving = update.GetStatus() == peerv1.HostStatus_HOST_STATUS_LEAVING
	}
	if severity(update.GetStatus()) > 0 || wasLeaving != peer.host.Leaving {
		m.urgentUntil = now.Add(urgentPeriod)
	}
	m.activeOffsets = nil
	m.updates.add(id)
	m.changed = m.changed || wasLive != peer.live() || wasLeaving != peer.host.Leaving
}

func (m *Machine) startSuspicion(now time.Time, peer *member) {
	if severity(peer.status) > 0 {
		return
	}
	peer.status = peerv1.HostStatus_HOST_STATUS_SUSPECT
	peer.suspectedAt = now
}
