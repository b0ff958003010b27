package reconcile_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reconcile"
)

// report returns the report of upstream "u" with a sequence number.
func report(sequence int64, draining bool) catalog.UpstreamChange {
	return catalog.UpstreamChange{ID: "u", Upstream: &catalog.Upstream{ID: "u", Born: 7, Sequence: sequence, Draining: draining}}
}

func reports(epoch int64, whole bool, changes ...catalog.UpstreamChange) catalog.UpstreamUpdate {
	return catalog.UpstreamUpdate{Epoch: epoch, Whole: whole, Changes: changes}
}

// Guards against an upstream that was removed just before a drill and is used for seconds behind it.
func TestUpstreamThatACopyLacksIsKeptForLessThanTwoSeconds(t *testing.T) {
	var known reconcile.Upstreams
	known.Apply(reports(0, true, report(3, false)), time.Second)
	kept := report(3, false)
	kept.Kept = true
	require.Equal(t, []catalog.UpstreamChange{kept}, known.Apply(reports(1, true), 2*time.Second).Changes)
	require.Equal(t, []catalog.UpstreamChange{kept}, known.Apply(reports(1, true), 3200*time.Millisecond).Changes)
	require.Equal(t, []catalog.UpstreamChange{{ID: "u"}}, known.Apply(reports(1, false), 3300*time.Millisecond).Changes)
}

// Guards against an upstream that drains and is used again, since the copy is listed a second time and its
// report there has the same number.
func TestDrainingUpstreamIsNotUsedAgainByAnEqualReport(t *testing.T) {
	var known reconcile.Upstreams
	known.Apply(reports(0, true, report(3, true)), time.Second)
	for at := 2 * time.Second; at < 5*time.Second; at += time.Second {
		merged := known.Apply(reports(1, true, report(3, false)), at)
		require.True(t, merged.Changes[0].Upstream.Draining)
	}
	require.False(t, known.Apply(reports(1, false, report(4, false)), 6*time.Second).Changes[0].Upstream.Draining)
}

func TestRemovedUpstreamIsListedAgainOnlyByANewerReport(t *testing.T) {
	var known reconcile.Upstreams
	known.Apply(reports(0, true, report(3, false)), time.Second)
	known.Apply(reports(0, false, catalog.UpstreamChange{ID: "u"}), 2*time.Second)
	require.Empty(t, known.Apply(reports(1, true, report(3, false)), 3*time.Second).Changes)
	require.Empty(t, known.Apply(reports(1, false, report(2, false)), 4*time.Second).Changes)
	require.Len(t, known.Apply(reports(1, false, report(4, false)), 5*time.Second).Changes, 1)
}

// Guards against an upstream that began to drain just before a drill and is used behind it, as its reports
// have the same number.
func TestDrainThatNobodyHadReadCountsByAnEqualReport(t *testing.T) {
	var known reconcile.Upstreams
	known.Apply(reports(0, true, report(3, false)), time.Second)
	require.True(t, known.Apply(reports(1, true, report(3, true)), 2*time.Second).Changes[0].Upstream.Draining)
}

// Guards against an upstream that is never used again, since its clock was set back or its reports
// have no order.
func TestReportsOfALaterTimeAreAlwaysUsed(t *testing.T) {
	var known reconcile.Upstreams
	known.Apply(reports(0, true, report(3, false)), time.Second)
	known.Apply(reports(1, true, report(3, false)), 2*time.Second)
	require.Empty(t, known.Apply(reports(1, false, report(2, false)), 3*time.Second).Changes)
	require.Len(t, known.Apply(reports(1, false, report(0, false)), 3*time.Second).Changes, 1)
	restarted := report(1, false)
	restarted.Upstream.Born = 6
	require.Len(t, known.Apply(reports(1, false, restarted), 5*time.Minute).Changes, 1)
}

// Guards against a copy, or records written again out of order, that undo what the host knows of
// an upstream: behind any number of drills the newest report that was read counts.
func TestUpstreamNeverGoesBackBehindADrill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known reconcile.Upstreams
		newest, epoch := int64(5), int64(0)
		known.Apply(reports(0, true, report(newest, true)), time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			rise := rapid.Bool().Draw(t, "drill")
			if rise {
				epoch++
			}
			sequence := rapid.Int64Range(1, 9).Draw(t, "sequence")
			whole := rise || rapid.Bool().Draw(t, "whole")
			// Up to the newest report that was read, the upstream says that it drains.
			merged := known.Apply(reports(epoch, whole, report(sequence, sequence >= 5)), 2*time.Second)
			if epoch == 0 {
				newest = sequence
				continue
			}
			newest = max(newest, sequence)
			for _, c := range merged.Changes {
				require.GreaterOrEqual(t, c.Upstream.Sequence, newest)
			}
			if whole {
				require.Len(t, merged.Changes, 1, "an upstream that is known is listed")
			}
		}
	})
}
