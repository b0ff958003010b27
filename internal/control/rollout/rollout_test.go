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

// checkedMachines calls a check after each tick of the machines.
type checkedMachines struct {
	*machines
	check func()
}

func (p *checkedMachines) tick(now time.Time) {
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

// setOutage sets the outage of the log in a world, relative to its start.
func setOutage(w *world, from, to time.Duration) {
	w.outageStart, w.outageEnd = w.start.Add(from), w.start.Add(to)
}

func TestNoShareRisesWhileTheLogIsDown(t *testing.T) {
	w := newWorld(good, 1)
	setOutage(w, 2*time.Minute, 7*time.Minute)
	m := newMachines(w).(*machines)
	limit := -1.0
	w.run(&checkedMachines{m, func() {
		if !w.logDown() {
			return
		}
		if limit < 0 {
			limit = m.highestShare()
			require.Positive(t, limit, "the rollout has started")
		}
		require.LessOrEqual(t, m.highestShare(), limit)
	}})
}

func TestUndecidedRolloutHasNoShareAfterDeadline(t *testing.T) {
	w := newWorld(good, 2)
	setOutage(w, 3*time.Minute, window+time.Hour)
	m := newMachines(w).(*machines)
	w.run(m)
	require.Zero(t, m.highestShare())
	w.outageEnd = w.now
	for range 50 {
		w.now = w.now.Add(tickInterval)
		m.tick(w.now)
	}
	_, rolledBack, _ := m.phase()
	require.True(t, rolledBack, "the decision is in the log after the outage")
}

func TestBadVersionIsRolledBackWhileTheLogIsDown(t *testing.T) {
	w := newWorld(badLate, 3)
	setOutage(w, 2*time.Minute, 8*time.Minute)
	w.faultStart, w.severity = w.start.Add(4*time.Minute), 0.8
	m := newMachines(w).(*machines)
	w.run(&checkedMachines{m, func() {
		if w.logDown() && w.now.Sub(w.faultStart) > 30*time.Second {
			require.Zero(t, m.highestShare(), "at %v", w.now.Sub(w.start))
		}
	}})
	_, rolledBack, alarm := m.phase()
	require.True(t, rolledBack && alarm)
	require.Len(t, decisions(t, m.log), 1)
}

// decisions returns the entries that took effect and ended a rollout.
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

func TestRestartedHostReceivesDecisionFromPeers(t *testing.T) {
	w := newWorld(badAtOnce, 4)
	w.severity = 0.9
	setOutage(w, 5*time.Minute, window+time.Hour)
	m := newMachines(w).(*machines)
	w.run(m)
	restarted := &rollout.Machine{}
	restarted.Init(control.Self{ID: nodeID(0), Incarnation: "b"})
	m.nodes[0], m.nextRead[0] = restarted, 0
	m.deliver(0, control.Configured{Offset: 9, Document: w.document()})
	m.deliver(0, m.members())
	m.deliver(0, control.HostsListed{List: w.list()})
	for range 15 {
		w.now = w.now.Add(tickInterval)
		m.tick(w.now)
	}
	require.Equal(t, control.RolloutRolledBack, m.rollouts[0].Phase)
}

func TestPartitionedHostRollsBackBadVersion(t *testing.T) {
	w := newWorld(badLate, 5)
	w.outageStart = time.Time{}
	w.faultStart, w.severity = w.start.Add(6*time.Minute), 1
	m := newMachines(w).(*machines)
	w.run(&checkedMachines{m, func() {
		if w.now.Sub(w.faultStart) == 0 {
			m.partitioned[4] = true
		}
		if w.now.Sub(w.faultStart) > time.Minute {
			require.Zero(t, m.shares[4], "at %v", w.now.Sub(w.start))
		}
	}})
}

// TestDecisionIsMadeOnce applies random concurrent entries: the first decision is
// final, and duplicates of entries change nothing.
func TestDecisionIsMadeOnce(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	target := rollout.Target{Goal: 1, Deadline: start.Add(time.Hour)}
	phases := []control.RolloutPhase{control.RolloutInProgress, control.RolloutDone, control.RolloutRolledBack}
	rapid.Check(t, func(t *rapid.T) {
		var state rollout.State
		ref := rollout.Ref{Service: service, Version: newVersion}
		count := rapid.IntRange(1, 30).Draw(t, "entries")
		for i := range count {
			from := rapid.IntRange(0, 6).Draw(t, "from")
			e := rollout.Entry{
				Service: service, Version: newVersion, Target: target, ConfigOffset: 1,
				Phase: rapid.SampledFrom(phases).Draw(t, "phase"), From: from, To: min(from+1, 6),
			}
			data, err := json.Marshal(e)
			require.NoError(t, err)
			at := start.Add(time.Duration(rapid.IntRange(0, 70).Draw(t, "minute")) * time.Minute)
			rec := logsvc.Record{Offset: int64(i), Time: at}
			before := state.Status(ref, target, 1)
			rollout.Apply(&state, rec, data)
			after := state.Status(ref, target, 1)
			checkChange(t, before, after, e, at)
			rec.Offset++
			rollout.Apply(&state, rec, data)
			require.Equal(t, after, state.Status(ref, target, 1), "a duplicate changes nothing")
		}
	})
}

func checkChange(t *rapid.T, before, after rollout.Status, e rollout.Entry, at time.Time) {
	if before.Phase != control.RolloutInProgress {
		require.Equal(t, before, after, "a decision is final")
	}
	if after.Step != before.Step || after.Phase == control.RolloutDone && before.Phase == control.RolloutInProgress {
		require.Equal(t, before.Step, e.From, "a stale proposal has no effect")
		require.False(t, at.After(e.Target.Deadline), "no progress after the deadline")
	}
}

func TestNewTargetAfterRollbackStartsNewRollout(t *testing.T) {
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
	apply(rollout.Entry{Target: first, ConfigOffset: 3, Phase: control.RolloutRolledBack})
	require.Equal(t, control.RolloutRolledBack, state.Status(ref, first, 8).Phase, "also for a later configuration")
	apply(rollout.Entry{Target: second, ConfigOffset: 9, Phase: control.RolloutInProgress, To: 1})
	require.Equal(t, 1, state.Status(ref, second, 9).Step)
	apply(rollout.Entry{Target: first, ConfigOffset: 3, Phase: control.RolloutInProgress, To: 2})
	require.Equal(t, 1, state.Status(ref, second, 9).Step, "a host with an older configuration changes nothing")
}

func TestLargeDeploymentLimitsReporters(t *testing.T) {
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
			if send, ok := out.(control.SendMessage); ok && send.Message.GetAttempts() != nil {
				receivers[send.To]++
				bytes += proto.Size(send.Message)
			}
		}
	}
	require.Len(t, receivers, 1, "one aggregator")
	t.Logf("an aggregator receives %d bytes every 2 s", bytes)
	require.Less(t, bytes/2, 6000, "bytes per second at the aggregator")
}
