package membership

import (
	"maps"
	"slices"
	"sort"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

const (
	// probeTicks is the number of ticks between two probes.
	probeTicks = 2
	// probeTimeout is how long a direct or an indirect probe may take.
	probeTimeout = 600 * time.Millisecond
	// suspectTimeout is how long a suspect host has to refute the suspicion.
	suspectTimeout = 1600 * time.Millisecond
	// indirectProbes is the number of hosts that are requested to probe a host
	// that did not respond.
	indirectProbes = 3
	// deadProbeInterval is the number of probes of which one goes to a dead host.
	deadProbeInterval = 5
	// isolationTimeout is how long a host without contact to any other host
	// assumes that the fault is its own.
	isolationTimeout = 5 * time.Second
	// contactWindow is how recent the last contact to any host must be for this
	// host to trust its failed probes.
	contactWindow = time.Second
	// deadRetention is how long the state of a dead host that is not listed is
	// kept, from the time when it became suspect.
	deadRetention = 2 * time.Minute
)

// probe is an outstanding probe.
type probe struct {
	target  string
	started time.Time
	// indirect is set when other hosts were requested to probe the target.
	indirect bool
}

// relay is a probe on behalf of another host, the origin.
type relay struct {
	origin   string
	sequence uint64
	started  time.Time
}

// probeNext starts a probe of the next host: a dead one in every
// deadProbeInterval-th probe, if there is one, otherwise a live one.
func (m *Machine) probeNext(now time.Time) []control.Output {
	m.sequence++
	target := ""
	if m.sequence%deadProbeInterval == 0 {
		target = m.nextTarget(&m.deadQueue, false)
	}
	if target == "" {
		target = m.nextTarget(&m.probeQueue, true)
	}
	if target == "" {
		return nil
	}
	if _, pending := m.probes[target]; !pending {
		m.probes[target] = &probe{target: target, started: now}
	}
	return []control.Output{m.sendGossip(now, target, &peerv1.Gossip{Sequence: m.sequence})}
}

// nextTarget takes the next host from a queue: a live one, or a dead one that is
// still listed. An empty queue is refilled in random order; "" if there is no such
// host.
func (m *Machine) nextTarget(queue *[]string, live bool) string {
	for refilled := false; ; {
		for len(*queue) > 0 {
			id := (*queue)[0]
			*queue = (*queue)[1:]
			if peer := m.peers[id]; peer != nil && peer.live() == live && (live || peer.listed) {
				return id
			}
		}
		if refilled {
			return ""
		}
		refilled = true
		for id, peer := range m.peers {
			if peer.live() == live {
				*queue = append(*queue, id)
			}
		}
		sort.Strings(*queue)
		ids := *queue
		m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
}

// checkProbes handles probes that timed out: a direct probe is followed by an
// indirect one; after an indirect one the target becomes suspect.
func (m *Machine) checkProbes(now time.Time) []control.Output {
	var outs []control.Output
	for _, id := range slices.Sorted(maps.Keys(m.probes)) {
		p := m.probes[id]
		if now.Sub(p.started) < probeTimeout {
			continue
		}
		if p.indirect || m.peers[id] == nil {
			delete(m.probes, id)
			m.suspect(now, id)
			continue
		}
		outs = append(outs, m.probeIndirectly(now, p)...)
	}
	return outs
}

// probeIndirectly requests other hosts to probe a host that did not respond to
// this one.
func (m *Machine) probeIndirectly(now time.Time, p *probe) []control.Output {
	p.indirect = true
	p.started = now
	var outs []control.Output
	for range indirectProbes {
		via := m.nextTarget(&m.indirectQueue, true)
		if via == "" || via == p.target {
			continue
		}
		outs = append(outs, m.sendGossip(now, via, &peerv1.Gossip{Sequence: m.sequence, Probe: p.target}))
	}
	return outs
}

// suspect marks a host as suspect, unless this host itself seems isolated.
func (m *Machine) suspect(now time.Time, id string) {
	peer := m.peers[id]
	if peer == nil || severity(peer.status) > 0 || m.isolated(now) {
		return
	}
	peer.status = peerv1.HostStatus_HOST_STATUS_SUSPECT
	peer.suspectedAt = now
	m.urgentUntil = now.Add(urgentPeriod)
	m.updates.add(id)
}

// isolated reports whether failed probes are more likely this host's own fault:
// its last contact to any host is older than contactWindow, but not yet
// isolationTimeout.
func (m *Machine) isolated(now time.Time) bool {
	silence := now.Sub(m.lastContact)
	return silence > contactWindow && silence < isolationTimeout
}

// expire marks suspects as dead after suspectTimeout and removes hosts that are
// dead and not listed after deadRetention.
func (m *Machine) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		peer := m.peers[id]
		switch {
		case peer.status == peerv1.HostStatus_HOST_STATUS_SUSPECT && now.Sub(peer.suspectedAt) >= suspectTimeout:
			if m.isolated(now) {
				continue
			}
			peer.status = peerv1.HostStatus_HOST_STATUS_DEAD
			m.updates.add(id)
			m.changed = true
		case !peer.live() && !peer.listed && now.Sub(peer.suspectedAt) >= deadRetention:
			delete(m.peers, id)
		}
	}
}

// confirm records that a host is reachable: it ends this host's probe and
// acknowledges the probes that other hosts requested.
func (m *Machine) confirm(now time.Time, id string) []control.Output {
	m.lastContact = now
	delete(m.probes, id)
	if peer := m.peers[id]; peer != nil {
		peer.confirmedAt = now
	}
	var outs []control.Output
	for _, r := range m.relays[id] {
		if now.Sub(r.started) < probeTimeout {
			outs = append(outs, m.sendGossip(now, r.origin, &peerv1.Gossip{Ack: r.sequence, Probe: id}))
		}
	}
	delete(m.relays, id)
	return outs
}

// relayProbe probes a host on behalf of another one.
func (m *Machine) relayProbe(now time.Time, origin string, gossip *peerv1.Gossip) []control.Output {
	target := gossip.GetProbe()
	if m.peers[target] == nil {
		return nil
	}
	m.relays[target] = append(m.relays[target], relay{origin: origin, sequence: gossip.GetSequence(), started: now})
	return []control.Output{m.sendGossip(now, target, &peerv1.Gossip{})}
}
