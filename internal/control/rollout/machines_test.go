package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/rollout"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

const (
	logDelay     = 200 * time.Millisecond
	peerDelay    = 200 * time.Millisecond
	peerLossRate = 0.02
)

// machines is the policy that runs one Machine per host, the node, over a simulated
// log and network with delays, losses and outages.
type machines struct {
	w        *world
	rand     *rand.Rand
	nodes    []*rollout.Machine
	shares   []float64
	rollouts []control.Rollout
	log      []logsvc.Record
	nextRead []int
	logUp    bool
	queue    []delivery
	// partitioned holds the nodes that reach neither the log nor their peers.
	partitioned map[int]bool
}

// delivery is an input that reaches a node at a time.
type delivery struct {
	at   time.Time
	node int
	in   control.Input
}

func nodeID(i int) string { return fmt.Sprintf("entry-%d", i) }

func newMachines(w *world) policy {
	m := &machines{w: w, rand: rand.New(rand.NewPCG(uint64(w.severity*1e9), 3)), partitioned: map[int]bool{}}
	for i := range entryHosts {
		m.addNode(i)
	}
	m.step()
	return m
}

func (m *machines) members() control.MembersChanged {
	var changed control.MembersChanged
	for i := range entryHosts {
		changed.Hosts = append(changed.Hosts, control.EntryHost{ID: nodeID(i)})
	}
	return changed
}

func (m *machines) addNode(i int) {
	node := &rollout.Machine{}
	node.Init(control.Self{ID: nodeID(i), Incarnation: "a"})
	m.nodes = append(m.nodes, node)
	m.shares = append(m.shares, 0)
	m.rollouts = append(m.rollouts, control.Rollout{})
	m.nextRead = append(m.nextRead, 0)
	m.deliver(i, control.Configured{Offset: 1, Document: m.w.document()})
	m.deliver(i, m.members())
	m.deliver(i, control.HostsListed{List: m.w.list()})
}

// deliver steps a node with an input and performs its outputs.
func (m *machines) deliver(node int, in control.Input) {
	for _, out := range m.nodes[node].Step(m.w.now, in) {
		m.perform(node, out)
	}
}

func (m *machines) perform(node int, out control.Output) {
	switch out := out.(type) {
	case control.Append:
		if m.w.logDown() || m.partitioned[node] {
			m.queue = append(m.queue, delivery{m.w.now, node, control.AppendFailed{Stream: out.Stream, ID: out.ID}})
			return
		}
		m.log = append(m.log, logsvc.Record{
			Offset: int64(len(m.log)), Time: m.w.now, ID: out.ID, Data: out.Data,
		})
	case control.SendMessage:
		to := 0
		_, _ = fmt.Sscanf(out.To, "entry-%d", &to)
		if m.rand.Float64() < peerLossRate || m.partitioned[node] || m.partitioned[to] {
			return
		}
		in := control.MessageReceived{From: nodeID(node), Incarnation: "a", Message: out.Message}
		m.queue = append(m.queue, delivery{m.w.now.Add(peerDelay), to, in})
	}
}

func (m *machines) tick(time.Time) { m.step() }

func (m *machines) step() {
	m.updateLogHealth()
	due := m.queue
	m.queue = nil
	for _, d := range due {
		if d.at.After(m.w.now) {
			m.queue = append(m.queue, d)
			continue
		}
		m.deliver(d.node, d.in)
	}
	for i := range m.nodes {
		m.readLog(i)
		m.deliver(i, control.Tick{})
		m.publish(i)
	}
}

func (m *machines) updateLogHealth() {
	up := !m.w.logDown()
	if up == m.logUp {
		return
	}
	m.logUp = up
	for i := range m.nodes {
		if !m.partitioned[i] {
			m.deliver(i, control.LogHealth{Up: up})
		}
	}
}

func (m *machines) readLog(node int) {
	if m.w.logDown() || m.partitioned[node] {
		return
	}
	for ; m.nextRead[node] < len(m.log); m.nextRead[node]++ {
		rec := m.log[m.nextRead[node]]
		if m.w.now.Sub(rec.Time) < logDelay {
			return
		}
		m.deliver(node, control.Record{Stream: logsvc.StreamRollout, Record: rec})
	}
}

func (m *machines) publish(node int) {
	next := &control.Snapshot{Shares: map[control.RouteKey][]control.VersionShare{}}
	m.nodes[node].Publish(m.w.now, next)
	for _, s := range next.Shares[control.RouteKey{Service: service, Route: routeNames[0]}] {
		if s.Version == newVersion {
			m.shares[node] = s.Share
		}
	}
	m.rollouts[node] = next.Rollouts[0]
}

func (m *machines) share(host int, _ string) float64 { return m.shares[host] }

func (m *machines) observe(_ time.Time, host int, a attempt) {
	m.deliver(host, control.AttemptEnded{
		Upstream: a.upstream, Service: service, Route: a.route, Version: a.version,
		Failure: a.failure, Late: a.late, Cold: a.cold,
	})
}

// phase returns the decision that all nodes have applied, and whether any of
// them found a regression.
func (m *machines) phase() (done, rolledBack, alarm bool) {
	done, rolledBack = true, true
	for _, r := range m.rollouts {
		done = done && r.Phase == control.RolloutDone
		rolledBack = rolledBack && r.Phase == control.RolloutRolledBack
		alarm = alarm || r.Reason != "" && r.Reason != rollout.ReasonNotProved
	}
	return done, rolledBack, alarm
}
