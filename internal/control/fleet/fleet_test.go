package fleet_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/fleet"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/plan"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"

	// The seed of property tests is fixed.
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

func applyRecord(state *fleet.State, rec logsvc.Record) {
	var envelope struct {
		Entry json.RawMessage `json:"entry"`
	}
	if json.Unmarshal(rec.Data, &envelope) == nil && envelope.Entry != nil {
		fleet.Apply(state, rec, envelope.Entry)
	}
}

func zoneName(i int) string { return "bkk-" + string(rune('a'+i)) }

// withFixed lists hosts that the fleet did not start, spread over the zones.
func withFixed(s *simulation, count int) {
	for i := range count {
		s.addFixed(service+"-"+string(rune('0'+i)), plan.Slot{Zone: zoneName(i % 4), Class: document.Reclaimable})
	}
}

func TestNothingIsStartedWhenEnoughHostsAreListed(t *testing.T) {
	s := newSimulation(nil)
	withFixed(s, 4)
	s.requests = 6
	s.run(10 * time.Minute)
	require.Zero(t, s.starts)
	require.Len(t, s.hosts, 4)
}

func TestNothingIsStartedFromLaggingHostList(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 6
	s.run(5 * time.Second)
	withFixed(s, 4)
	s.run(5 * time.Minute)
	require.Zero(t, s.starts)
}

func TestHostsNotStartedByFleetAreNeverStopped(t *testing.T) {
	s := newSimulation(nil)
	withFixed(s, 9)
	s.run(time.Hour)
	require.Len(t, s.hosts, 9)
}

func TestFleetFollowsDemandUpAndDown(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 90
	s.run(10 * time.Minute)
	warm := s.warm()
	for zone, lost := range warm {
		require.GreaterOrEqual(t, total(warm)-lost, 8, "capacity without %s", zone)
	}
	high := len(s.hosts)
	s.requests = 15
	s.run(40 * time.Minute)
	require.Less(t, len(s.hosts), high)
	require.GreaterOrEqual(t, len(s.hosts), 4)
}

func TestReclaimedHostsAreReplacedElsewhereAtOnce(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 90
	s.run(10 * time.Minute)
	before := s.starts
	reclaimed := s.reclaim("bkk-c", noticeTime, time.Hour)
	require.NotEmpty(t, reclaimed)
	s.run(6 * time.Second)
	require.GreaterOrEqual(t, s.starts-before, len(reclaimed), "starts within seconds of the notice")
	s.run(10 * time.Minute)
	require.GreaterOrEqual(t, total(s.warm()), 9)
}

func TestRefusedStartsGoElsewhere(t *testing.T) {
	s := newSimulation(nil)
	for i := range 4 {
		s.refusedUntil[plan.Slot{Zone: zoneName(i), Class: document.Reclaimable}] = s.now.Add(time.Hour)
	}
	s.requests = 60
	s.run(5 * time.Minute)
	require.GreaterOrEqual(t, total(s.warm()), 6)
	require.Less(t, s.refusals, 60, "refused slots are not retried before their backoff ends")
}

func TestExcludedZoneGetsNoHosts(t *testing.T) {
	s := newSimulation(nil)
	s.doc.Zone("bkk-c").State = document.ZoneExcluded
	s.requests = 60
	s.run(10 * time.Minute)
	for _, h := range s.hosts {
		require.NotEqual(t, "bkk-c", h.Zone)
	}
	require.GreaterOrEqual(t, total(s.warm()), 6)
}

func TestHostsInExcludedZoneAreKeptForAWhile(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 60
	s.run(10 * time.Minute)
	inZone := func() int { return s.warm()["bkk-c"] }
	kept := inZone()
	require.Positive(t, kept)
	s.doc.Zone("bkk-c").State = document.ZoneExcluded
	s.run(20 * time.Minute)
	require.Equal(t, kept, inZone())
	s.run(20 * time.Minute)
	require.Zero(t, inZone())
}

func TestLostHostsAreReplacedWhileTheLogIsDown(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 90
	s.run(10 * time.Minute)
	s.setLogDown(true)
	s.run(2 * time.Minute)
	before, starts := len(s.hosts), s.starts
	s.reclaim("bkk-c", noticeTime, time.Hour)
	s.run(5 * time.Minute)
	require.Greater(t, s.starts, starts)
	require.GreaterOrEqual(t, len(s.hosts), before-1)
	s.setLogDown(false)
	s.run(3 * time.Minute)
	state := s.state()
	for id := range s.hosts {
		require.Contains(t, state.Wanted, id, "the log has all hosts again")
	}
}

func TestTakeoverStartsNothingTwice(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 60
	s.run(5 * time.Minute)
	starts, holder := s.starts, s.holder()
	s.pause(holder)
	var changed control.MembersChanged
	for i := range entryHosts {
		if i != holder {
			changed.Hosts = append(changed.Hosts, s.members().Hosts[i])
		}
	}
	for i := range s.machines {
		s.deliver(i, changed)
	}
	s.run(5 * time.Minute)
	require.NotEqual(t, holder, s.holder())
	require.Equal(t, starts, s.starts)
	s.resume(holder)
	s.run(5 * time.Minute)
	require.Equal(t, starts, s.starts, "the previous holder starts nothing")
}

// TestLateOrderOfPreviousHolderDoesNotLast guards against an engine that keeps the
// version of a previous lease holder's order which arrives after the new holder's.
func TestLateOrderOfPreviousHolderDoesNotLast(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		s := newSimulation(nil)
		s.doc.Services[0].Upstream.ChecksFencing = checksFencing
		s.requests = 30
		s.run(5 * time.Minute)
		old := s.state().Lease
		s.pause(s.holder())
		var changed control.MembersChanged
		for _, host := range s.members().Hosts {
			if host.ID != old.Host {
				changed.Hosts = append(changed.Hosts, host)
			}
		}
		for i := range s.machines {
			s.deliver(i, changed)
		}
		s.run(2 * time.Minute)
		require.Greater(t, s.state().Lease.Fence, old.Fence)
		id := s.ids()[0]
		late := engine.Order{ID: "late", Fence: old.Fence, Kind: engine.OrderLoad, Target: "v0"}
		current := engine.Order{ID: "current", Fence: s.state().Lease.Fence, Kind: engine.OrderLoad, Target: "v1"}
		require.NoError(t, s.hosts[id].engine.Order(context.Background(), current))
		err := s.hosts[id].engine.Order(context.Background(), late)
		if checksFencing {
			require.ErrorIs(t, err, engine.ErrStaleFence)
		} else {
			require.NoError(t, err, "the engine accepts the late order")
		}
		s.run(time.Minute)
		load, err := s.hosts[id].engine.Load(context.Background())
		require.NoError(t, err)
		require.Equal(t, "v1", load.Version, "checks fencing: %v", checksFencing)
	}
}

// TestLateStartOfPreviousHolderIsStopped guards against a host that keeps running
// because its start arrives after it was retired.
func TestLateStartOfPreviousHolderIsStopped(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 90
	s.run(10 * time.Minute)
	s.requests = 15
	s.run(time.Hour)
	retired := s.state().Retired
	require.NotEmpty(t, retired)
	for id := range retired {
		req := s.hosts[s.ids()[0]].StartRequest
		req.ID = id
		s.startHost(req)
		s.run(2 * time.Minute)
		require.NotContains(t, s.hosts, id)
		break
	}
}

// TestOneLeaseHolderAtATime applies entries of competing hosts: a lease changes hands
// only after it expired, and entries with another fencing token change nothing.
func TestOneLeaseHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state fleet.State
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			before := state.Services[service]
			e := fleet.Entry{
				Service: service, Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "run"),
				Take: rapid.Bool().Draw(t, "take"), Fence: before.Lease.Fence - int64(rapid.IntRange(0, 1).Draw(t, "stale")),
				Want: []fleet.Host{{ID: strings.Repeat("x", i+1)}},
			}
			data, err := json.Marshal(e)
			require.NoError(t, err)
			fleet.Apply(&state, logsvc.Record{Offset: int64(i), Time: now}, data)
			after := state.Services[service]
			if before.Lease.Incarnation != "" && after.Lease.Incarnation != before.Lease.Incarnation {
				require.Greater(t, now.Sub(before.Lease.Renewed), 35*time.Second)
			}
			if _, changed := after.Wanted[strings.Repeat("x", i+1)]; changed {
				require.Equal(t, e.Incarnation, after.Lease.Incarnation)
				require.True(t, e.Take || e.Fence == before.Lease.Fence)
			}
		}
	})
}

func TestSwitchToACheaperZoneKeepsTheCapacity(t *testing.T) {
	s := newSimulation(nil)
	s.requests = 90
	s.run(20 * time.Minute)
	before := total(s.warm())
	s.doc.Zone("bkk-c").Prices[document.Reclaimable] = 1.9
	s.doc.Zone("bkk-d").Prices[document.Reclaimable] = 0.2
	started := s.starts
	for range 30 {
		s.run(time.Minute)
		require.GreaterOrEqual(t, total(s.warm()), before)
	}
	require.Greater(t, s.starts, started, "hosts move to the cheaper zone")
}
