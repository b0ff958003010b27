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

// Guards against an old configuration that replaces a newer one when responses of
// the log come late, out of order, twice or stale.
func TestConfigurationNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		builder := view.NewBuilder()
		newest, confirmedAt := int64(0), time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			next := rapid.Int64Range(0, 20).Draw(t, "next")
			update := catalog.OperatorUpdate{Next: next, Whole: rapid.Bool().Draw(t, "whole")}
			for _, version := range rapid.SliceOfN(rapid.Int64Range(1, 40), 0, 3).Draw(t, "versions") {
				update.Changes = append(update.Changes, document(version))
			}
			builder.ApplyOperator(update, rapid.SampledFrom([]time.Duration{1, 5, 9}).Draw(t, "asked"))
			current := builder.View()
			if current.Document != nil {
				require.GreaterOrEqual(t, current.Document.Version, newest)
				newest = current.Document.Version
			}
			require.GreaterOrEqual(t, current.ConfirmedAt, confirmedAt)
			confirmedAt = current.ConfirmedAt
		}
	})
}

func TestStaleResponseDoesNotConfirm(t *testing.T) {
	builder := view.NewBuilder()
	builder.ApplyOperator(catalog.OperatorUpdate{Next: 5, Changes: []catalog.OperatorChange{document(3)}}, time.Second)
	builder.ApplyOperator(catalog.OperatorUpdate{Next: 4}, 2*time.Second)
	require.Equal(t, time.Second, builder.View().ConfirmedAt)
	builder.ApplyOperator(catalog.OperatorUpdate{Next: 5}, 3*time.Second)
	require.Equal(t, 3*time.Second, builder.View().ConfirmedAt)
}

func TestWholeUpdateReplacesZonesAndRollouts(t *testing.T) {
	builder := view.NewBuilder()
	builder.ApplyOperator(catalog.OperatorUpdate{Next: 2, Changes: []catalog.OperatorChange{
		{Zone: "z"}, {RolloutService: "s", Rollout: catalog.Rollout{Service: "s", Target: "v2"}},
	}}, 0)
	require.True(t, builder.View().ExcludedZones["z"])
	require.Equal(t, "v2", builder.View().Rollouts["s"].Target)
	builder.ApplyOperator(catalog.OperatorUpdate{Next: 3, Whole: true}, 0)
	require.Empty(t, builder.View().ExcludedZones, "a whole update removes what it does not contain")
	require.Empty(t, builder.View().Rollouts)
}

func TestRemovedUpstreamIsDropped(t *testing.T) {
	builder := view.NewBuilder()
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{upstream("a", false), upstream("b", false)}}, time.Second)
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{{ID: "a"}}}, 1500*time.Millisecond)
	require.Equal(t, []string{"b"}, ids(builder.View()))
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 4, Whole: true}, 2*time.Second)
	require.Empty(t, ids(builder.View()))
}

// Scenario: a log outage outlasts the lifetime of reports, so that all of them
// expire; upstreams report again within two seconds of its end.
func TestLapsedReportsAreKeptAfterAnOutage(t *testing.T) {
	builder := view.NewBuilder()
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{
		upstream("alive", false), upstream("dead", false), upstream("leaving", true),
	}}, time.Second)
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 6, Changes: []catalog.UpstreamChange{{ID: "alive"}, {ID: "dead"}, {ID: "leaving"}}}, 6*time.Second)
	require.Equal(t, []string{"alive", "dead"}, ids(builder.View()))
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 7, Changes: []catalog.UpstreamChange{upstream("alive", false)}}, 7*time.Second)
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 7}, 9*time.Second)
	require.Equal(t, []string{"alive"}, ids(builder.View()), "a report that is not renewed is dropped")
}

// Scenario: an upstream ends without draining just after this host can reach
// the log again.
func TestReportRemovedAfterAnOutageIsDropped(t *testing.T) {
	builder := view.NewBuilder()
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{upstream("a", false), upstream("b", false)}}, time.Second)
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2}, 6*time.Second)
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{{ID: "a"}}}, 6700*time.Millisecond)
	require.Equal(t, []string{"b"}, ids(builder.View()))
}

func TestColdTimeIsCountedFromTheRequest(t *testing.T) {
	builder := view.NewBuilder()
	report := upstream("a", false)
	report.Upstream.Cold = 3 * time.Second
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 1, Changes: []catalog.UpstreamChange{report}}, 10*time.Second)
	require.Equal(t, 13*time.Second, builder.View().Members["s"][0].ColdUntil)
	again := upstream("a", false)
	again.Upstream.Cold = 3 * time.Second
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 2, Changes: []catalog.UpstreamChange{again}}, 12*time.Second)
	require.Equal(t, 13*time.Second, builder.View().Members["s"][0].ColdUntil, "the same report read again is not a new one")
	restarted := upstream("a", false)
	restarted.Upstream.Cold, restarted.Upstream.Born = 3*time.Second, 7
	builder.ApplyUpstreams(catalog.UpstreamUpdate{Next: 3, Changes: []catalog.UpstreamChange{restarted}}, 20*time.Second)
	require.Equal(t, 23*time.Second, builder.View().Members["s"][0].ColdUntil)
}
