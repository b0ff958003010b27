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
	// probeTimeout is how long a probe, direct or through others, may take.
	probeTimeout = 600 * time.Millisecond
	// suspectTimeout is how long a suspect has to refute.
	suspectTimeout = 1600 * time.Millisecond
	// helpers is the number of hosts asked to probe in this host's place.
	helpers = 3
	// deadProbeEvery makes each so-many-th probe go to a host believed dead.
	deadProbeEvery = 5
	// isolationTimeout is how long a host that hears of nobody blames itself.
	isolationTimeout = 5 * time.Second
	// hearingWindow is how recent a sign of any other host must be for this
	// host to trust its own failed probes.
	hearingWindow = time.Second
	// deadRetention is how long a dead host that is not listed is remembered.
	deadRetention = 2 * time.Minute
)

// probe is a probe whose end is awaited.
type probe struct {
	target  string
	started time.Time
	// indirect tells that others were asked to probe.
	indirect bool
}

// relay is a probe that another host asked for.
type relay struct {
	origin   string
	sequence uint64
	started  time.Time
}

// probeNext starts a probe of the next host in turn.
func (m *Machine) probeNext(now time.Time) []control.Output {
	m.sequence++
	target := ""
	if m.sequence%deadProbeEvery == 0 {
		target = m.nextTarget(&m.deadTurn, false)
	}
	if target == "" {
		target = m.nextTarget(&m.turn, true)
	}
	if target == "" {
		return nil
	}
	if _, awaited := m.probes[target]; !awaited {
		m.probes[target] = &probe{target: target, started: now}
	}
	return []control.Output{m.tell(now, target, &peerv1.Gossip{Sequence: m.sequence})}
}

// nextTarget returns the next host of a turn that is live, or dead and worth a
// probe; turns are shuffled anew each time they are used up.
func (m *Machine) nextTarget(turn *[]string, live bool) string {
	for refilled := false; ; {
		for len(*turn) > 0 {
			id := (*turn)[0]
			*turn = (*turn)[1:]
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
				*turn = append(*turn, id)
			}
		}
		sort.Strings(*turn)
		ids := *turn
		m.rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
}

// checkProbes moves on the probes that took too long.
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
		outs = append(outs, m.askHelpers(now, p)...)
	}
	return outs
}

// askHelpers asks other hosts to probe a host that did not answer this one.
func (m *Machine) askHelpers(now time.Time, p *probe) []control.Output {
	p.indirect = true
	p.started = now
	var outs []control.Output
	for range helpers {
		helper := m.nextTarget(&m.helperTurn, true)
		if helper == "" || helper == p.target {
			continue
		}
		outs = append(outs, m.tell(now, helper, &peerv1.Gossip{Sequence: m.sequence, Probe: p.target}))
	}
	return outs
}

// suspect begins a suspicion, unless this host itself seems cut off.
func (m *Machine) suspect(now time.Time, id string) {
	peer := m.peers[id]
	if peer == nil || severity(peer.status) > 0 || m.isolated(now) {
		return
	}
	peer.status = peerv1.HostStatus_HOST_STATUS_SUSPECT
	peer.suspected = now
	m.urgent = now.Add(urgency)
	m.updates.add(id)
}

// isolated reports whether the fault is more likely this host's own: it hears
// of no other host, and that for a short time only.
func (m *Machine) isolated(now time.Time) bool {
	silence := now.Sub(m.heardAny)
	return silence > hearingWindow && silence < isolationTimeout
}

// expire declares suspects dead whose time has passed and forgets hosts that
// are dead and not listed.
func (m *Machine) expire(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		peer := m.peers[id]
		switch {
		case peer.status == peerv1.HostStatus_HOST_STATUS_SUSPECT && now.Sub(peer.suspected) >= suspectTimeout:
			if m.isolated(now) {
				continue
			}
			peer.status = peerv1.HostStatus_HOST_STATUS_DEAD
			m.updates.add(id)
			m.changed = true
		case !peer.live() && !peer.listed && now.Sub(peer.suspected) >= deadRetention:
			delete(m.peers, id)
		}
	}
}

// confirm takes a direct sign of life: it ends a probe and answers those who
// asked for one.
func (m *Machine) confirm(now time.Time, id string) []control.Output {
	m.heardAny = now
	delete(m.probes, id)
	if peer := m.peers[id]; peer != nil {
		peer.evidence = now
	}
	var outs []control.Output
	for _, r := range m.relays[id] {
		if now.Sub(r.started) < probeTimeout {
			outs = append(outs, m.tell(now, r.origin, &peerv1.Gossip{Ack: r.sequence, Probe: id}))
		}
	}
	delete(m.relays, id)
	return outs
}

// probeFor probes a host because another one asked.
func (m *Machine) probeFor(now time.Time, origin string, gossip *peerv1.Gossip) []control.Output {
	target := gossip.GetProbe()
	if m.peers[target] == nil {
		return nil
	}
	m.relays[target] = append(m.relays[target], relay{origin: origin, sequence: gossip.GetSequence(), started: now})
	return []control.Output{m.tell(now, target, &peerv1.Gossip{})}
}
