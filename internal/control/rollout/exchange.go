package rollout

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

const (
	// proposeRetry is the minimum time between two proposals of a host for a
	// rollout. proposeStagger is the delay of a rollback's proposal per host of
	// lower rank, so that usually only one host proposes it.
	proposeRetry   = 2 * time.Second
	proposeStagger = 200 * time.Millisecond
	// rollbackFanout is the number of peers to which a host sends a rollback when
	// it decides on it or first receives it.
	rollbackFanout = 8
	// stateRequestInterval is the time between two requests to peers for the
	// state, sent while the log is down or its state is not known.
	stateRequestInterval = time.Second
)

// stateRequest holds the time of the last request for the state and the index
// of the peer that it went to.
type stateRequest struct {
	requestedAt time.Time
	next        int
}

// tick advances each rollout, then writes a checkpoint if one is due or, without
// the log, requests the state from a peer.
func (m *Machine) tick(now time.Time) []control.Output {
	var outs []control.Output
	for _, ref := range m.refs() {
		outs = append(outs, m.tickRollout(now, m.rollouts[ref])...)
	}
	if !m.logUp || !m.fold.Complete() {
		return append(outs, m.requestState(now)...)
	}
	return append(outs, m.checkpoints.Tick(now, m.fold)...)
}

func (m *Machine) tickRollout(now time.Time, ro *rollout) []control.Output {
	status := m.status(ro)
	if status.Phase != control.RolloutInProgress {
		return nil
	}
	ro.local.setStep(status.Step)
	ro.global.setStep(status.Step)
	outs := m.sendSummaries(now, ro)
	ro.local.tick(now)
	ro.global.tick(now)
	aggregates := ro.aggregator == m.self.ID
	regression := ro.rollbackReason
	if regression == "" {
		regression = ro.local.regression(len(m.members) + 1)
	}
	if regression == "" && aggregates {
		regression = ro.global.regression(len(m.members) + 1)
	}
	if regression != "" && ro.rollbackReason == "" {
		outs = append(outs, m.rollBack(now, ro, regression)...)
	}
	if !aggregates && !m.mayProposeRollback(now, ro) {
		return outs
	}
	return append(outs, m.propose(now, ro, status, regression)...)
}

// mayProposeRollback reports whether a host that is not the aggregator is to
// propose the rollback that it decided on or received: the aggregator and the
// live hosts of lower rank had time to do so.
func (m *Machine) mayProposeRollback(now time.Time, ro *rollout) bool {
	wait := time.Duration(control.Rank(m.self.ID, m.members)+1) * proposeStagger
	return ro.rollbackReason != "" && now.Sub(ro.rolledBackAt) >= wait
}

// propose appends the next change of a rollout to the log, if there is one.
// Nothing is proposed while the log is down or its state is not known.
func (m *Machine) propose(now time.Time, ro *rollout, status Status, regression string) []control.Output {
	if !m.logUp || !m.fold.Complete() || now.Sub(ro.proposedAt) < proposeRetry {
		return nil
	}
	p := decide(now, decisionInput{
		status: status, regression: regression, proved: ro.global.proved(), rate: ro.global.rate(now), measuredFor: now.Sub(ro.global.startedAt),
		available: m.available[ro.ref] > 0, load: m.load(ro.ref),
	})
	if p == nil {
		return nil
	}
	data, err := logfold.EncodeEntry(Entry{
		Service: ro.ref.Service, Version: ro.ref.Version, Target: ro.target, ConfigOffset: ro.configOffset,
		Phase: p.phase, From: status.Step, To: p.to, Reason: p.reason,
	})
	if err != nil {
		return nil
	}
	ro.proposedAt = now
	id := fmt.Sprintf("%s/%s/%s/%d", m.self.Incarnation, ro.ref.Service, ro.ref.Version, now.UnixNano())
	return []control.Output{control.Append{Stream: logsvc.StreamRollout, ID: id, Data: data}}
}

// load returns the mean of the loads that a version's upstreams reported to this
// host, as a fraction of their slots.
func (m *Machine) load(ref Ref) float64 {
	sum, count := 0.0, 0
	for _, host := range m.hosts {
		if host.Service != ref.Service || host.Version != ref.Version {
			continue
		}
		if load, reported := m.loads[host.ID]; reported {
			sum += load
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// rollBack rolls a version back on this host and sends the rollback to some
// peers.
func (m *Machine) rollBack(now time.Time, ro *rollout, reason string) []control.Output {
	ro.rollbackReason, ro.rolledBackAt = reason, now
	message := &peerv1.Message{Body: &peerv1.Message_Retreat{Retreat: ro.rollbackMessage()}}
	var outs []control.Output
	for _, peer := range m.rollbackPeers(ro.ref) {
		outs = append(outs, control.SendMessage{To: peer, Message: message})
	}
	return outs
}

func (ro *rollout) rollbackMessage() *peerv1.Retreat {
	return &peerv1.Retreat{
		Service: ro.ref.Service, Version: ro.ref.Version, ConfigOffset: ro.configOffset, Reason: ro.rollbackReason,
		Goal: ro.target.Goal, ByUnixNano: ro.target.Deadline.UnixNano(),
	}
}

// rollbackPeers returns the peers to which this host sends a rollback: at most
// rollbackFanout, in an order that differs from host to host.
func (m *Machine) rollbackPeers(ref Ref) []string {
	var peers []string
	for _, host := range m.members {
		if host.ID != m.self.ID {
			peers = append(peers, host.ID)
		}
	}
	order := rendezvous.Order(m.self.ID+"/"+ref.Service+"/"+ref.Version, peers)
	return order[:min(rollbackFanout, len(order))]
}

func (m *Machine) receive(now time.Time, in control.MessageReceived) []control.Output {
	switch body := in.Message.GetBody().(type) {
	case *peerv1.Message_Attempts:
		return m.receiveSummary(now, in, body.Attempts)
	case *peerv1.Message_Retreat:
		return m.receiveRollback(now, body.Retreat)
	case *peerv1.Message_RolloutWant:
		return m.receiveStateRequest(in.From, body.RolloutWant.GetAfter())
	case *peerv1.Message_RolloutState:
		return m.receiveState(now, body.RolloutState)
	}
	return nil
}

// receiveSummary adds another host's counts to the global evidence. If it counts
// attempts at a version that was rolled back here, the sender gets the rollback.
func (m *Machine) receiveSummary(now time.Time, in control.MessageReceived, s *peerv1.AttemptSummary) []control.Output {
	ro := m.rollouts[Ref{Service: s.GetService(), Version: s.GetCandidate()}]
	if ro == nil || !ro.matches(s.GetGoal(), s.GetByUnixNano()) {
		return nil
	}
	sender := in.From + "/" + in.Incarnation
	if s.GetSequence() <= ro.lastSequence[sender] {
		return nil
	}
	ro.lastSequence[sender] = s.GetSequence()
	ro.addSummary(now, s)
	if ro.rollbackReason == "" || s.GetVersion() != ro.ref.Version {
		return nil
	}
	message := &peerv1.Message{Body: &peerv1.Message_Retreat{Retreat: ro.rollbackMessage()}}
	return []control.Output{control.SendMessage{To: in.From, Message: message}}
}

func (m *Machine) receiveRollback(now time.Time, r *peerv1.Retreat) []control.Output {
	ro := m.rollouts[Ref{Service: r.GetService(), Version: r.GetVersion()}]
	if ro == nil || ro.rollbackReason != "" || !ro.matches(r.GetGoal(), r.GetByUnixNano()) {
		return nil
	}
	return m.rollBack(now, ro, r.GetReason())
}

func (m *Machine) receiveStateRequest(from string, after int64) []control.Output {
	if !m.fold.Complete() || m.fold.Next() <= after && !m.anyRolledBack() {
		return nil
	}
	state, err := json.Marshal(m.fold.State())
	if err != nil {
		return nil
	}
	response := &peerv1.RolloutState{Through: m.fold.Next(), State: state}
	for _, ref := range m.refs() {
		if ro := m.rollouts[ref]; ro.rollbackReason != "" {
			response.Retreats = append(response.Retreats, ro.rollbackMessage())
		}
	}
	message := &peerv1.Message{Body: &peerv1.Message_RolloutState{RolloutState: response}}
	return []control.Output{control.SendMessage{To: from, Message: message}}
}

func (m *Machine) anyRolledBack() bool {
	for _, ro := range m.rollouts {
		if ro.rollbackReason != "" {
			return true
		}
	}
	return false
}

func (m *Machine) receiveState(now time.Time, s *peerv1.RolloutState) []control.Output {
	var state State
	if json.Unmarshal(s.GetState(), &state) == nil && s.GetThrough() > m.fold.Next() {
		m.fold.SetState(state, s.GetThrough())
	}
	var outs []control.Output
	for _, r := range s.GetRetreats() {
		outs = append(outs, m.receiveRollback(now, r)...)
	}
	return outs
}

// requestState requests a newer state from one peer per interval, in turn.
func (m *Machine) requestState(now time.Time) []control.Output {
	if now.Sub(m.stateRequest.requestedAt) < stateRequestInterval {
		return nil
	}
	m.stateRequest.requestedAt = now
	after := int64(-1)
	if m.fold.Complete() {
		after = m.fold.Next()
	}
	request := &peerv1.Message{Body: &peerv1.Message_RolloutWant{RolloutWant: &peerv1.RolloutWant{After: after}}}
	for range m.members {
		m.stateRequest.next = (m.stateRequest.next + 1) % len(m.members)
		if peer := m.members[m.stateRequest.next].ID; peer != m.self.ID {
			return []control.Output{control.SendMessage{To: peer, Message: request}}
		}
	}
	return nil
}

func (m *Machine) refs() []Ref {
	refs := make([]Ref, 0, len(m.rollouts))
	for ref := range m.rollouts {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool {
		if refs[i].Service != refs[j].Service {
			return refs[i].Service < refs[j].Service
		}
		return refs[i].Version < refs[j].Version
	})
	return refs
}
