package rollout_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/rollout"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"

	// The seed of property tests is fixed.
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

// watched calls a check after each tick of the machines.
type watched struct {
	*machines
	check func()
}

func (p *watched) tick(now time.Time) {
	p.machines.tick(now)
	p.check()
}

func (m *machines) highestShare() float64 {
	highest := 0.0
	for _, share := range m.shares {
		highest = max(highest, share)
	}
	return highest
}

// outageAt puts an outage of the log into a world.
func outageAt(w *world, from, to time.Duration) {
	w.outage, w.outageEnd = w.start.Add(from), w.start.Add(to)
}

func TestNoShareRisesWhileTheLogIsDown(t *testing.T) {
	w := newWorld(good, 1)
	outageAt(w, 2*time.Minute, 7*time.Minute)
	m := newMachines(w).(*machines)
	limit := -1.0
	w.run(&watched{m, func() {
		if !w.logDown() {
			return
		}
		if limit < 0 {
			limit = m.highestShare()
			require.Positive(t, limit, "the move has begun")
		}
		require.LessOrEqual(t, m.highestShare(), limit)
	}})
}

func TestMoveThatCannotBeDecidedGivesNothingAfterItsTime(t *testing.T) {
	w := newWorld(good, 2)
	outageAt(w, 3*time.Minute, window+time.Hour)
	m := newMachines(w).(*machines)
	w.run(m)
	require.Zero(t, m.highestShare())
	w.outageEnd = w.now
	for range 50 {
		w.now = w.now.Add(tickTime)
		m.tick(w.now)
	}
	_, back, _ := m.phase()
	require.True(t, back, "the decision comes into the log when it is back")
}

func TestBadVersionIsTakenBackWhileTheLogIsDown(t *testing.T) {
	w := newWorld(badLate, 3)
	outageAt(w, 2*time.Minute, 8*time.Minute)
	w.from, w.severity = w.start.Add(4*time.Minute), 0.8
	m := newMachines(w).(*machines)
	w.run(&watched{m, func() {
		if w.logDown() && w.now.Sub(w.from) > 30*time.Second {
			require.Zero(t, m.highestShare(), "at %v", w.now.Sub(w.start))
		}
	}})
	_, back, alarm := m.phase()
	require.True(t, back && alarm)
	require.Len(t, decisions(t, m.log), 1)
}

// decisions returns the entries that took effect and ended a move.
func decisions(t *testing.T, log []logsvc.Record) []rollout.Entry {
	var ended []rollout.Entry
	var state rollout.State
	for _, rec := range log {
		var envelope struct {
			Entry json.RawMessage `json:"entry"`
		}
		require.NoError(t, json.Unmarshal(rec.Data, &envelope))
		if envelope.Entry == nil {
			continue
		}
		before, _ := json.Marshal(state)
		rollout.Apply(&state, rec, envelope.Entry)
		after, _ := json.Marshal(state)
		var e rollout.Entry
		require.NoError(t, json.Unmarshal(envelope.Entry, &e))
		if string(before) != string(after) && e.Phase != control.RolloutInProgress {
			ended = append(ended, e)
		}
	}
	return ended
}

func TestFreshHostLearnsADecisionFromItsPeers(t *testing.T) {
	w := newWorld(badAtOnce, 4)
	w.severity = 0.9
	outageAt(w, 5*time.Minute, window+time.Hour)
	m := newMachines(w).(*machines)
	w.run(m)
	fresh := &rollout.Machine{}
	fresh.Init(control.Self{ID: nodeID(0), Incarnation: "b"})
	m.nodes[0], m.read[0] = fresh, 0
	m.give(0, control.Configured{Offset: 9, Document: w.document()})
	m.give(0, m.members())
	m.give(0, control.HostsListed{List: w.list()})
	for range 15 {
		w.now = w.now.Add(tickTime)
		m.tick(w.now)
	}
	require.Equal(t, control.RolloutRolledBack, m.rollouts[0].Phase)
}

func TestHostThatIsCutOffTakesABadVersionBackAlone(t *testing.T) {
	w := newWorld(badLate, 5)
	w.outage = time.Time{}
	w.from, w.severity = w.start.Add(6*time.Minute), 1
	m := newMachines(w).(*machines)
	w.run(&watched{m, func() {
		if w.now.Sub(w.from) == 0 {
			m.cut[4] = true
		}
		if w.now.Sub(w.from) > time.Minute {
			require.Zero(t, m.shares[4], "at %v", w.now.Sub(w.start))
		}
	}})
}

// TestDecisionIsMadeOnce puts random racing entries in random order: what ends
// a move first stands, and copies change nothing.
func TestDecisionIsMadeOnce(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	move := rollout.Target{Goal: 1, Deadline: start.Add(time.Hour)}
	phases := []control.RolloutPhase{control.RolloutInProgress, control.RolloutDone, control.RolloutRolledBack}
	rapid.Check(t, func(t *rapid.T) {
		var state rollout.State
		ref := rollout.Ref{Service: service, Version: newVersion}
		count := rapid.IntRange(1, 30).Draw(t, "entries")
		for i := range count {
			from := rapid.IntRange(0, 6).Draw(t, "from")
			e := rollout.Entry{
				Service: service, Version: newVersion, Target: move, Config: 1,
				Phase: rapid.SampledFrom(phases).Draw(t, "phase"), From: from, To: min(from+1, 6),
			}
			data, err := json.Marshal(e)
			require.NoError(t, err)
			at := start.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "minute")) * time.Minute)
			rec := logsvc.Record{Offset: int64(i), Time: at}
			before := state.Status(ref, move, 1)
			rollout.Apply(&state, rec, data)
			after := state.Status(ref, move, 1)
			checkChange(t, before, after, e, at)
			rec.Offset++
			rollout.Apply(&state, rec, data)
			require.Equal(t, after, state.Status(ref, move, 1), "a copy changes nothing")
		}
	})
}

func checkChange(t *rapid.T, before, after rollout.Status, e rollout.Entry, at time.Time) {
	if before.Phase != control.RolloutInProgress {
		require.Equal(t, before, after, "a decision stands")
	}
	if after.Step != before.Step || after.Phase == control.RolloutDone && before.Phase == control.RolloutInProgress {
		require.Equal(t, before.Step, e.From, "a stale proposal has no effect")
		require.False(t, at.After(e.Target.Deadline), "nothing goes forward after the move's time")
	}
}

func TestNewMoveOfAVersionThatWasTakenBackBeginsAnew(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := rollout.Target{Goal: 1, Deadline: at.Add(time.Hour)}
	second := rollout.Target{Goal: 1, Deadline: at.Add(2 * time.Hour)}
	ref := rollout.Ref{Service: service, Version: newVersion}
	var state rollout.State
	apply := func(e rollout.Entry) {
		e.Service, e.Version = ref.Service, ref.Version
		data, err := json.Marshal(e)
		require.NoError(t, err)
		rollout.Apply(&state, logsvc.Record{Time: at}, data)
	}
	apply(rollout.Entry{Target: first, Config: 3, Phase: control.RolloutRolledBack})
	require.Equal(t, control.RolloutRolledBack, state.Status(ref, first, 8).Phase, "also for a later configuration")
	apply(rollout.Entry{Target: second, Config: 9, Phase: control.RolloutInProgress, To: 1})
	require.Equal(t, 1, state.Status(ref, second, 9).Step)
	apply(rollout.Entry{Target: first, Config: 3, Phase: control.RolloutInProgress, To: 2})
	require.Equal(t, 1, state.Status(ref, second, 9).Step, "a host with an older configuration changes nothing")
}

func TestFewHostsOfALargeDeploymentReport(t *testing.T) {
	const hosts = 710
	w := newWorld(good, 1)
	var changed control.MembersChanged
	for i := range hosts {
		changed.Hosts = append(changed.Hosts, control.EntryHost{ID: nodeID(i)})
	}
	receivers, bytes := map[string]int{}, 0
	for i := range hosts {
		m := &rollout.Machine{}
		m.Init(control.Self{ID: nodeID(i), Incarnation: "a"})
		m.Step(w.now, control.Configured{Offset: 1, Document: w.document()})
		m.Step(w.now, changed)
		for _, route := range routeNames {
			m.Step(w.now, control.AttemptEnded{Service: service, Route: route, Version: oldVersion})
			m.Step(w.now, control.AttemptEnded{Service: service, Route: route, Version: newVersion})
		}
		for _, out := range m.Step(w.now.Add(time.Minute), control.Tick{}) {
			if tell, ok := out.(control.SendMessage); ok && tell.Message.GetAttempts() != nil {
				receivers[tell.To]++
				bytes += proto.Size(tell.Message)
			}
		}
	}
	require.Len(t, receivers, 1, "one aggregator")
	t.Logf("an aggregator gets %d bytes every 2 s", bytes)
	require.Less(t, bytes/2, 6000, "bytes a second at the aggregator")
}
