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
	// proposeRetry is the time after which a proposal that changed nothing is
	// sent again; proposeStagger is added for each host of lower rank, so that
	// usually one host takes a version back.
	proposeRetry   = 2 * time.Second
	proposeStagger = 200 * time.Millisecond
	// retreatFanout is the number of peers that each host tells of a retreat
	// when it first hears of it.
	retreatFanout = 8
	// askInterval is the time between two questions to peers for the state
	// while the log is out.
	askInterval = time.Second
)

// asking is the progress of the questions to peers.
type asking struct {
	at   time.Time
	next int
}

// tick looks at each move and keeps the stream's state alive.
func (m *Machine) tick(now time.Time) []control.Output {
	var outs []control.Output
	for _, ref := range m.refs() {
		outs = append(outs, m.tickMove(now, m.moves[ref])...)
	}
	if !m.logUp || !m.fold.Complete() {
		return append(outs, m.askPeer(now)...)
	}
	return append(outs, m.checkpoints.Tick(now, m.fold)...)
}

func (m *Machine) tickMove(now time.Time, mv *move) []control.Output {
	status := m.status(mv)
	if status.Phase != control.RolloutInProgress {
		return nil
	}
	mv.own.at(status.Step)
	mv.all.at(status.Step)
	outs := m.summarize(now, mv)
	mv.own.tick(now)
	mv.all.tick(now)
	aggregates := mv.aggregator == m.self.ID
	shown := mv.back
	if shown == "" {
		shown = mv.own.shown(len(m.members) + 1)
	}
	if shown == "" && aggregates {
		shown = mv.all.shown(len(m.members) + 1)
	}
	if shown != "" && mv.back == "" {
		outs = append(outs, m.retreat(now, mv, shown)...)
	}
	if !aggregates && !m.mayTakeBack(now, mv) {
		return outs
	}
	return append(outs, m.propose(now, mv, status, shown)...)
}

// mayTakeBack reports whether a host that does not aggregate is to propose what
// it found or heard: the aggregator had time to do so, and so had the live
// hosts of lower rank.
func (m *Machine) mayTakeBack(now time.Time, mv *move) bool {
	wait := time.Duration(control.Rank(m.self.ID, m.members)+1) * proposeStagger
	return mv.back != "" && now.Sub(mv.backSince) >= wait
}

// propose appends the next change of a move, if there is one. While the log is
// down nothing is proposed.
func (m *Machine) propose(now time.Time, mv *move, status Status, shown string) []control.Output {
	if !m.logUp || !m.fold.Complete() || now.Sub(mv.proposed) < proposeRetry {
		return nil
	}
	p := decide(now, situation{
		status: status, shown: shown, proved: mv.all.proved(), rate: mv.all.rate(now), measured: now.Sub(mv.all.began),
		open: m.open[mv.ref] > 0, load: m.load(mv.ref),
	})
	if p == nil {
		return nil
	}
	data, err := logfold.EncodeEntry(Entry{
		Service: mv.ref.Service, Version: mv.ref.Version, Move: mv.move, Config: mv.config,
		Phase: p.phase, From: status.Step, To: p.to, Reason: p.reason,
	})
	if err != nil {
		return nil
	}
	mv.proposed = now
	id := fmt.Sprintf("%s/%s/%s/%d", m.self.Incarnation, mv.ref.Service, mv.ref.Version, now.UnixNano())
	return []control.Output{control.Append{Stream: logsvc.StreamRollout, ID: id, Data: data}}
}

// load returns the mean load of a version's upstreams that was reported here.
func (m *Machine) load(ref Ref) float64 {
	sum, count := 0.0, 0
	for _, host := range m.listed {
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

// retreat takes a version back on this host and tells some peers.
func (m *Machine) retreat(now time.Time, mv *move, reason string) []control.Output {
	mv.back, mv.backSince = reason, now
	message := &peerv1.Message{Body: &peerv1.Message_Retreat{Retreat: mv.retreatMessage()}}
	var outs []control.Output
	for _, peer := range m.someOf(mv.ref) {
		outs = append(outs, control.SendMessage{To: peer, Message: message})
	}
	return outs
}

func (mv *move) retreatMessage() *peerv1.Retreat {
	return &peerv1.Retreat{
		Service: mv.ref.Service, Version: mv.ref.Version, ConfigOffset: mv.config, Reason: mv.back,
		Goal: mv.move.Goal, ByUnixNano: mv.move.By.UnixNano(),
	}
}

// someOf returns the peers that this host tells of a retreat: all where there
// are few, else a choice that differs from host to host.
func (m *Machine) someOf(ref Ref) []string {
	var peers []string
	for _, host := range m.members {
		if host.ID != m.self.ID {
			peers = append(peers, host.ID)
		}
	}
	order := rendezvous.Order(m.self.ID+"/"+ref.Service+"/"+ref.Version, peers)
	return order[:min(retreatFanout, len(order))]
}

func (m *Machine) heard(now time.Time, in control.MessageReceived) []control.Output {
	switch body := in.Message.GetBody().(type) {
	case *peerv1.Message_Attempts:
		return m.heardSummary(now, in, body.Attempts)
	case *peerv1.Message_Retreat:
		return m.heardRetreat(now, body.Retreat)
	case *peerv1.Message_RolloutWant:
		return m.heardWant(in.From, body.RolloutWant.GetAfter())
	case *peerv1.Message_RolloutState:
		return m.heardState(now, body.RolloutState)
	}
	return nil
}

// heardSummary collects another host's counts. A sender that still uses a
// version that was taken back here is told so.
func (m *Machine) heardSummary(now time.Time, in control.MessageReceived, s *peerv1.AttemptSummary) []control.Output {
	mv := m.moves[Ref{Service: s.GetService(), Version: s.GetCandidate()}]
	if mv == nil || !mv.sameMove(s.GetGoal(), s.GetByUnixNano()) {
		return nil
	}
	sender := in.From + "/" + in.Incarnation
	if s.GetSequence() <= mv.seen[sender] {
		return nil
	}
	mv.seen[sender] = s.GetSequence()
	mv.collect(now, s)
	if mv.back == "" || s.GetVersion() != mv.ref.Version {
		return nil
	}
	message := &peerv1.Message{Body: &peerv1.Message_Retreat{Retreat: mv.retreatMessage()}}
	return []control.Output{control.SendMessage{To: in.From, Message: message}}
}

func (m *Machine) heardRetreat(now time.Time, r *peerv1.Retreat) []control.Output {
	mv := m.moves[Ref{Service: r.GetService(), Version: r.GetVersion()}]
	if mv == nil || mv.back != "" || !mv.sameMove(r.GetGoal(), r.GetByUnixNano()) {
		return nil
	}
	return m.retreat(now, mv, r.GetReason())
}

func (m *Machine) heardWant(from string, after int64) []control.Output {
	if !m.fold.Complete() || m.fold.Next() <= after && !m.anyBack() {
		return nil
	}
	state, err := json.Marshal(m.fold.State())
	if err != nil {
		return nil
	}
	answer := &peerv1.RolloutState{Through: m.fold.Next(), State: state}
	for _, ref := range m.refs() {
		if mv := m.moves[ref]; mv.back != "" {
			answer.Retreats = append(answer.Retreats, mv.retreatMessage())
		}
	}
	message := &peerv1.Message{Body: &peerv1.Message_RolloutState{RolloutState: answer}}
	return []control.Output{control.SendMessage{To: from, Message: message}}
}

func (m *Machine) anyBack() bool {
	for _, mv := range m.moves {
		if mv.back != "" {
			return true
		}
	}
	return false
}

func (m *Machine) heardState(now time.Time, s *peerv1.RolloutState) []control.Output {
	var state State
	if json.Unmarshal(s.GetState(), &state) == nil && s.GetThrough() > m.fold.Next() {
		m.fold.SetState(state, s.GetThrough())
	}
	var outs []control.Output
	for _, r := range s.GetRetreats() {
		outs = append(outs, m.heardRetreat(now, r)...)
	}
	return outs
}

// askPeer asks one peer after another for a newer state.
func (m *Machine) askPeer(now time.Time) []control.Output {
	if now.Sub(m.ask.at) < askInterval {
		return nil
	}
	m.ask.at = now
	after := int64(-1)
	if m.fold.Complete() {
		after = m.fold.Next()
	}
	want := &peerv1.Message{Body: &peerv1.Message_RolloutWant{RolloutWant: &peerv1.RolloutWant{After: after}}}
	for range m.members {
		m.ask.next = (m.ask.next + 1) % len(m.members)
		if peer := m.members[m.ask.next].ID; peer != m.self.ID {
			return []control.Output{control.SendMessage{To: peer, Message: want}}
		}
	}
	return nil
}

func (m *Machine) refs() []Ref {
	refs := make([]Ref, 0, len(m.moves))
	for ref := range m.moves {
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
