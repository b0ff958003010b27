package membership

import (
	"maps"
	"slices"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// tell completes a message with this host's own state and the newest changes.
func (m *Machine) tell(now time.Time, to string, gossip *peerv1.Gossip) control.Output {
	introduce := now.Sub(m.own.joined) < introduction
	gossip.Hosts = append(gossip.Hosts, m.own.state(introduce))
	if m.greet(to) {
		gossip.Hosts = append(gossip.Hosts, m.digest(to)...)
	}
	for _, id := range m.updates.take(to) {
		if peer := m.peers[id]; peer != nil {
			fresh := !peer.listed || now.Sub(peer.joined) < introduction
			gossip.Hosts = append(gossip.Hosts, peer.state(fresh))
		}
	}
	out := control.SendMessage{To: to, Message: &peerv1.Message{Body: &peerv1.Message_Gossip{Gossip: gossip}}}
	if peer := m.peers[to]; peer != nil {
		out.Address = peer.host.Address
	}
	return out
}

// greet reports whether a host's incarnation is met for the first time.
func (m *Machine) greet(to string) bool {
	peer := m.peers[to]
	if peer == nil || peer.host.Incarnation == "" || m.introduced[to] == peer.host.Incarnation {
		return false
	}
	m.introduced[to] = peer.host.Incarnation
	return true
}

// digest lists what a newcomer cannot know from the host list: who is suspect,
// dead or leaving.
func (m *Machine) digest(to string) []*peerv1.HostState {
	var states []*peerv1.HostState
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		peer := m.peers[id]
		if id != to && (severity(peer.status) > 0 || peer.host.Leaving) {
			states = append(states, peer.state(false))
		}
	}
	return states
}

// heard takes a message; whatever it says, its sender is alive.
func (m *Machine) heard(now time.Time, in control.MessageReceived) []control.Output {
	outs := m.confirm(now, in.From)
	body, ok := in.Message.GetBody().(*peerv1.Message_Gossip)
	if !ok {
		return outs
	}
	gossip := body.Gossip
	for _, update := range gossip.GetHosts() {
		m.takeUpdate(now, update)
	}
	if peer := m.peers[in.From]; peer != nil && severity(peer.status) > 0 {
		// The sender does not know yet that it is suspected.
		outs = append(outs, m.tell(now, in.From, &peerv1.Gossip{Hosts: []*peerv1.HostState{peer.state(false)}}))
	}
	switch target := gossip.GetProbe(); {
	case target == "":
	case gossip.GetAck() > 0:
		delete(m.probes, target)
	default:
		outs = append(outs, m.probeFor(now, in.From, gossip)...)
	}
	return outs
}

// takeUpdate weighs what another host says about a host.
func (m *Machine) takeUpdate(now time.Time, update *peerv1.HostState) {
	if update.GetId() == m.self.ID {
		m.refute(update)
		return
	}
	peer := m.peers[update.GetId()]
	if peer == nil {
		m.meet(now, update)
		return
	}
	if !supersedes(update, peer) {
		m.takeOffset(update, peer)
		return
	}
	m.adopt(now, update, peer)
}

// refute answers a update that this host is not what it is.
func (m *Machine) refute(update *peerv1.HostState) {
	stale := update.GetIncarnation() != m.self.Incarnation || severity(update.GetStatus()) > 0
	if stale && update.GetCounter() >= m.own.counter {
		m.own.counter = update.GetCounter() + 1
		m.updates.add(m.self.ID)
	}
}

// meet takes in a host that is not on the list yet.
func (m *Machine) meet(now time.Time, update *peerv1.HostState) {
	if update.GetAddress() == "" || update.GetRegion() != m.self.Region || severity(update.GetStatus()) > 0 {
		return
	}
	peer := &member{joined: now, host: control.EntryHost{
		ID: update.GetId(), Address: update.GetAddress(), Zone: update.GetAvailabilityZone(), Region: update.GetRegion(),
	}}
	m.peers[update.GetId()] = peer
	m.adopt(now, update, peer)
}

func (m *Machine) takeOffset(update *peerv1.HostState, peer *member) {
	if update.GetCounter() == peer.counter && update.GetConfigOffset() > peer.configOffset {
		peer.configOffset = update.GetConfigOffset()
		m.inForce = nil
		m.updates.add(update.GetId())
	}
}

// adopt takes a update that supersedes what was believed. Word of a death begins
// a suspicion, so that a host that lives has the time to refute.
func (m *Machine) adopt(now time.Time, update *peerv1.HostState, peer *member) {
	wasLive, wasLeaving := peer.live(), peer.host.Leaving
	id := update.GetId()
	peer.counter = update.GetCounter()
	peer.configOffset = max(peer.configOffset, update.GetConfigOffset())
	if update.GetIncarnation() != "" && update.GetIncarnation() != peer.host.Incarnation {
		m.changed = true
		peer.host.Incarnation = update.GetIncarnation()
		peer.host.Leaving = false
		peer.joined = now
	}
	if update.GetAddress() != "" && update.GetAddress() != peer.host.Address {
		peer.host.Address = update.GetAddress()
		m.changed = true
	}
	if severity(update.GetStatus()) > 0 {
		m.adoptSuspicion(now, peer)
	} else {
		peer.status = update.GetStatus()
		peer.host.Leaving = update.GetStatus() == peerv1.HostStatus_HOST_STATUS_LEAVING
	}
	if severity(update.GetStatus()) > 0 || wasLeaving != peer.host.Leaving {
		m.urgent = now.Add(urgency)
	}
	m.inForce = nil
	m.updates.add(id)
	m.changed = m.changed || wasLive != peer.live() || wasLeaving != peer.host.Leaving
}

func (m *Machine) adoptSuspicion(now time.Time, peer *member) {
	if severity(peer.status) > 0 {
		return
	}
	peer.status = peerv1.HostStatus_HOST_STATUS_SUSPECT
	peer.suspected = now
}
