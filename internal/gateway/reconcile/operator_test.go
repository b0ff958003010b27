package reconcile_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reconcile"
)

func zone(name string) catalog.OperatorChange { return catalog.OperatorChange{Zone: name} }

func rolloutTo(target string) catalog.OperatorChange {
	return catalog.OperatorChange{RolloutService: "s", Rollout: catalog.Rollout{Service: "s", Target: target}}
}

func listing(epoch int64, changes ...catalog.OperatorChange) catalog.OperatorUpdate {
	return catalog.OperatorUpdate{Epoch: epoch, Whole: true, Changes: changes}
}

func change(epoch int64, changes ...catalog.OperatorChange) catalog.OperatorUpdate {
	return catalog.OperatorUpdate{Epoch: epoch, Changes: changes}
}

func TestOrdersThatACopyLacksAreKeptForAWhile(t *testing.T) {
	var known reconcile.Operator
	known.Apply(listing(0, zone("a"), zone("b")), time.Second)
	kept := zone("a")
	kept.Kept = true
	merged := known.Apply(listing(1, zone("b")), 2*time.Second)
	require.ElementsMatch(t, []catalog.OperatorChange{zone("b"), kept}, merged.Changes)
	require.Empty(t, known.Apply(change(1), 31*time.Second).Changes)
	require.Equal(t, []catalog.OperatorChange{{Zone: "a", Removed: true}}, known.Apply(change(1), 32*time.Second).Changes)
}

func TestOrdersThatAreWrittenAgainStay(t *testing.T) {
	var known reconcile.Operator
	known.Apply(listing(0, zone("a")), time.Second)
	known.Apply(listing(1), 2*time.Second)
	known.Apply(change(1, zone("a")), 3*time.Second)
	require.Empty(t, known.Apply(change(1), time.Minute).Changes)
}

func TestZoneThatOnlyTheCopyTakesOutIsTakenOut(t *testing.T) {
	var known reconcile.Operator
	known.Apply(listing(0, zone("a")), time.Second)
	known.Apply(change(0, catalog.OperatorChange{Zone: "a", Removed: true}), 2*time.Second)
	require.Equal(t, []catalog.OperatorChange{zone("a")}, known.Apply(listing(1, zone("a")), 3*time.Second).Changes)
}

func TestRolloutOfACopyDoesNotReplaceANewerOne(t *testing.T) {
	var known reconcile.Operator
	known.Apply(listing(0, rolloutTo("v1")), time.Second)
	known.Apply(change(0, rolloutTo("v2")), 2*time.Second)
	for range 2 {
		require.Equal(t, []catalog.OperatorChange{rolloutTo("v2")}, known.Apply(listing(1, rolloutTo("v1")), 3*time.Second).Changes)
	}
	require.Equal(t, []catalog.OperatorChange{rolloutTo("v3")}, known.Apply(listing(1, rolloutTo("v3")), 4*time.Second).Changes)
	withdrawn := catalog.OperatorChange{RolloutService: "s", Removed: true}
	known.Apply(change(1, withdrawn), 5*time.Second)
	require.Equal(t, []catalog.OperatorChange{withdrawn}, known.Apply(listing(2, rolloutTo("v3")), 6*time.Second).Changes)
}

// Guards against an update without a drill that is changed: in the first epoch, and in any later
// one that was read from the start, updates pass as they are.
func TestUpdatesWithoutADrillPassUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var operator reconcile.Operator
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			update := catalog.OperatorUpdate{Whole: step == 0 || rapid.Bool().Draw(t, "whole")}
			for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b"}), rapid.ID).Draw(t, "zones") {
				removed := !update.Whole && rapid.Bool().Draw(t, "removed")
				update.Changes = append(update.Changes, catalog.OperatorChange{Zone: name, Removed: removed})
			}
			require.ElementsMatch(t, update.Changes, operator.Apply(update, time.Duration(step)*time.Minute).Changes)
		}
	})
}

// Guards against a rollout that is never taken, since the copy once had the same order.
func TestOrderOfTheCopyIsTakenWhenItIsOrderedAnew(t *testing.T) {
	var known reconcile.Operator
	known.Apply(listing(0, rolloutTo("v2")), time.Second)
	known.Apply(listing(1, rolloutTo("v1")), 2*time.Second)
	known.Apply(change(1, rolloutTo("v2")), 3*time.Second) // written again
	// Operators order v1 anew; the host reads it in a listing.
	merged := known.Apply(listing(1, rolloutTo("v1")), time.Minute)
	require.Equal(t, []catalog.OperatorChange{rolloutTo("v1")}, merged.Changes)
}
