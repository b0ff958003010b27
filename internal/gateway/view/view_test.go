package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

func document(version int64) catalog.OperatorChange {
	return catalog.OperatorChange{Document: &catalog.Document{Version: version}}
}

func upstream(id string, draining bool) catalog.UpstreamChange {
	return catalog.UpstreamChange{ID: id, Upstream: &catalog.Upstream{ID: id, Service: "s", Draining: draining}}
}

func ids(v *catalog.View) []string {
	var all []string
	for _, m := range v.Members["s"] {
		all = append(all, m.ID)
	}
	return all
}

// History: answers of the log come late, out of order, twice and stale.
func TestConfigurationNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := view.NewBuilder()
		newest, proven := int64(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			next := rapid.Int64Range(0, 20).Draw(t, "next")
			update := catalog.OperatorUpdate{Next: next, Whole: rapid.Bool().Draw(t, "whole")}
			for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 40), 0, 3).Draw(t, "versions") {
				update.Changes = append(update.Changes, document(version))
			}
			state.ApplyOperator(update, rapid.SampledFrom([]time.Duration{1, 5, 9}).Draw(t, "asked"))
			current := state.View()
			if current.Document != nil {
				require.GreaterOrEqual(t, current.Document.Version, newest)
				newest = current.Document.Version
			}
			require.GreaterOrEqual(t, current.ConfirmedAt, proven)
			proven = current.ConfirmedAt
		}
	})
}

func TestStaleAnswerProvesNothing(t *testing.T) {
	state := view.NewBuilder()
	state.ApplyOperator(catalog.OperatorUpdate{Next: 5, Changes: []catalog.OperatorChange{document(3)}}, time.Second)
	state.ApplyOperator(catalog.OperatorUpdate{Next: 4}, 2*time.Second)
	require.Equal(t, time.Second, state.View().ConfirmedAt)
	state.ApplyOperator(catalog.OperatorUpdate{Next: 5}, 3*time.Second)
	require.Equal(t, 3*time.Second, state.View().ConfirmedAt)
}

func TestZonesAndRolloutsComeAndGo(t *testing.T) {
	state := view.NewBuilder()
	state.ApplyOperator(catalog.OperatorUpdate{Next: 2, Changes: []catalog.OperatorChange{
		{Zone: "z"}, {RolloutService: "s", Rollout: catalog.Rollout{Service: "s", Target: "v2"}},
	}}, 0)
	require.True(t, state.View().ExcludedZones["z"])
	require.Equal(t, "v2", state.View().Rollouts["s"].Target)
	state.ApplyOperator(catalog.OperatorUpdate{Next: 3, Whole: true}, 0)
	require.Empty(t, state.View().ExcludedZones, "what a whole answer does not name is gone")
	require.Empty(t, state.View().Rollouts)
}

func TestRemovedUpstreamIsGone(t *testing.T) {
	state := view.NewBuilder()
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{upstream("a", false), upstream("b", false)}}, time.Second)
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{{ID: "a"}}}, 1500*time.Millisecond)
	require.Equal(t, []string{"b"}, ids(state.View()))
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 4, Whole: true}, 2*time.Second)
	require.Empty(t, ids(state.View()))
}

// Load pattern: the log is out for longer than reports live, so that all of
// them lapse; they are back within two seconds of its return.
func TestLapsedReportsAreKeptAfterAnOutage(t *testing.T) {
	state := view.NewBuilder()
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{
		upstream("alive", false), upstream("dead", false), upstream("leaving", true),
	}}, time.Second)
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 6, Changes: []catalog.UpstreamChange{{ID: "alive"}, {ID: "dead"}, {ID: "leaving"}}}, 6*time.Second)
	require.Equal(t, []string{"alive", "dead"}, ids(state.View()))
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 7, Changes: []catalog.UpstreamChange{upstream("alive", false)}}, 7*time.Second)
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 7}, 9*time.Second)
	require.Equal(t, []string{"alive"}, ids(state.View()), "what is not back is gone")
}

// Load pattern: an upstream leaves without a word just after this host could
// reach the log again.
func TestReportRemovedAfterAnOutageIsGone(t *testing.T) {
	state := view.NewBuilder()
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{upstream("a", false), upstream("b", false)}}, time.Second)
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2}, 6*time.Second)
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{{ID: "a"}}}, 6700*time.Millisecond)
	require.Equal(t, []string{"b"}, ids(state.View()))
}

func TestColdTimeIsCountedFromTheQuestion(t *testing.T) {
	state := view.NewBuilder()
	report := upstream("a", false)
	report.Upstream.Cold = 3 * time.Second
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 1, Changes: []catalog.UpstreamChange{report}}, 10*time.Second)
	require.Equal(t, 13*time.Second, state.View().Members["s"][0].ColdUntil)
	again := upstream("a", false)
	again.Upstream.Cold = 3 * time.Second
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{again}}, 12*time.Second)
	require.Equal(t, 13*time.Second, state.View().Members["s"][0].ColdUntil, "the same report read again is not a new one")
	reborn := upstream("a", false)
	reborn.Upstream.Cold, reborn.Upstream.Born = 3*time.Second, 7
	state.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{reborn}}, 20*time.Second)
	require.Equal(t, 23*time.Second, state.View().Members["s"][0].ColdUntil)
}
