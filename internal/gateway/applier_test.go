package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/proof"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// Load pattern: a host reads the log and gets updates from a reader at the same
// time, and its control loop is busy. The second read starts where the first
// ended; if its update reached the view first, the first update would be
// dropped as outdated.
func TestUpdatesReachTheViewInTheOrderOfTheCache(t *testing.T) {
	submitted := make(chan int64, 2)
	first := make(chan struct{})
	a := &updateApplier{copy: relay.NewCache()}
	a.submit = func(_ context.Context, input any) {
		next := input.(control.OperatorRead).Update.Next
		if next == 5 {
			close(first)
			// The loop is busy for longer than the second read takes.
			time.Sleep(100 * time.Millisecond)
		}
		submitted <- next
	}
	go a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 5}, time.Second)
	<-first
	from, _ := a.copy.Positions()
	require.EqualValues(t, 5, from.Offset)
	a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 9}, 2*time.Second)
	require.EqualValues(t, 5, <-submitted)
	require.EqualValues(t, 9, <-submitted)
}

func TestOldAndEmptyUpdatesAreNotApplied(t *testing.T) {
	count := 0
	a := &updateApplier{copy: relay.NewCache(), submit: func(context.Context, any) { count++ }}
	a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: -1}, time.Second)
	a.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: -1}, time.Second)
	require.Zero(t, count, "an update of a reader that has read nothing confirms nothing")
	a.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: 7}, time.Second)
	a.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: 6}, 2*time.Second)
	require.Equal(t, 1, count)
}

// Guards against a follower that takes the configuration of a reader without the proof for the
// newest one.
func TestUnprovenReaderConfirmsNothing(t *testing.T) {
	document := catalog.OperatorChange{Document: &catalog.Document{Version: 4}}
	listing := catalog.OperatorUpdate{Next: 5, Epoch: 1, Whole: true, Changes: []catalog.OperatorChange{document}}
	var inputs []control.OperatorRead
	newApplier := func() *updateApplier {
		return &updateApplier{
			copy: relay.NewCache(), submit: func(_ context.Context, input any) { inputs = append(inputs, input.(control.OperatorRead)) },
			proofChanged: func(proof.State) {}, highestVersion: func() int64 { return 0 },
		}
	}
	reader, follower := newApplier(), newApplier()
	reader.applyOperator(t.Context(), listing, time.Minute)
	request := relay.Request{Operator: -1, Upstreams: -1}
	resp := reader.copy.Respond(t.Context(), request, time.Minute+time.Second)
	require.Greater(t, resp.OperatorAge, time.Hour, "a former build goes by the age alone")
	follower.applyRelayed(t.Context(), resp, time.Hour)
	require.True(t, inputs[1].Update.Unproven)
	require.Equal(t, time.Hour-time.Second, inputs[1].RequestedAt)
	require.True(t, follower.currentProof().Missing())

	reader.prove(t.Context(), proof.Ledger, 1, 4)
	require.False(t, inputs[2].Update.Unproven)
	require.Equal(t, time.Minute, inputs[2].RequestedAt, "the latest read confirms")
	resp = reader.copy.Respond(t.Context(), request, time.Minute+time.Second)
	require.Equal(t, time.Second, resp.OperatorAge)
	follower.applyRelayed(t.Context(), resp, time.Hour)
	require.False(t, inputs[3].Update.Unproven)
	require.Equal(t, proof.Peer, follower.currentProof().Basis)
}

// Guards against a host that confirms its configuration although a digest of a peer has a higher version.
func TestHigherVersionOfAPeerKeepsAConfigurationUnconfirmed(t *testing.T) {
	var last control.OperatorRead
	highest := int64(0)
	a := &updateApplier{
		copy: relay.NewCache(), submit: func(_ context.Context, input any) { last = input.(control.OperatorRead) },
		epochRose: func(int64, int64) {}, proofChanged: func(proof.State) {}, highestVersion: func() int64 { return highest },
	}
	document := catalog.OperatorChange{Document: &catalog.Document{Version: 4}}
	a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 5, Whole: true, Changes: []catalog.OperatorChange{document}}, time.Second)
	a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 3, Epoch: 1, Whole: true}, 2*time.Second)
	require.False(t, last.Update.Unproven, "the proof is carried over")
	highest = 5
	a.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 3, Epoch: 1}, 3*time.Second)
	require.True(t, last.Update.Unproven)
	require.True(t, a.currentProof().Behind)
}

type applied struct {
	*updateApplier
	last    control.OperatorRead
	highest int64
}

func newApplied() *applied {
	a := &applied{}
	a.updateApplier = &updateApplier{
		copy: relay.NewCache(), submit: func(_ context.Context, input any) { a.last = input.(control.OperatorRead) },
		epochRose: func(int64, int64) {}, proofChanged: func(proof.State) {}, highestVersion: func() int64 { return a.highest },
	}
	return a
}

func listed(version int64) catalog.OperatorUpdate {
	return catalog.OperatorUpdate{Next: 5, Epoch: 1, Whole: true, Changes: []catalog.OperatorChange{{Document: &catalog.Document{Version: version}}}}
}

// Guards against a follower that gets the proof of a reader, and not the higher version that it is of, since
// the reader took that from a peer at the same offset.
func TestFollowerGetsTheVersionThatItsReaderTookFromAPeer(t *testing.T) {
	peer, reader, follower := newApplied(), newApplied(), newApplied()
	peer.applyOperator(t.Context(), listed(4), time.Minute)
	reader.applyOperator(t.Context(), listed(3), time.Minute)
	follower.applyRelayed(t.Context(), reader.copy.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: -1}, time.Minute), time.Minute)
	require.True(t, follower.currentProof().Missing())
	peer.prove(t.Context(), proof.Ledger, 1, 4)
	reader.applyRelayed(t.Context(), peer.copy.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: -1}, time.Minute), time.Minute)
	require.EqualValues(t, 4, reader.currentProof().ProvenVersion)
	resp := reader.copy.Respond(t.Context(), relay.Request{Operator: 5, OperatorEpoch: 1, Upstreams: -1}, time.Minute)
	follower.applyRelayed(t.Context(), resp, time.Minute)
	require.True(t, follower.last.Update.Unproven || follower.currentProof().Version == 4, "version %d is confirmed", follower.currentProof().Version)
}

// Guards against a follower that goes by the proof of a reader which knows that it is behind.
func TestReaderThatKnowsThatItIsBehindConfirmsNothing(t *testing.T) {
	reader, follower := newApplied(), newApplied()
	old := listed(3)
	old.Epoch, old.Next = 0, 9
	reader.applyOperator(t.Context(), old, time.Minute)
	reader.applyOperator(t.Context(), listed(3), time.Minute+time.Second)
	reader.highest = 4
	reader.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 5, Epoch: 1}, time.Minute+20*time.Second)
	require.True(t, reader.last.Update.Unproven)
	resp := reader.copy.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: -1}, time.Minute+20*time.Second)
	follower.applyRelayed(t.Context(), resp, time.Hour)
	require.True(t, follower.last.Update.Unproven, "confirmed as of %v", follower.last.RequestedAt)
}

// Guards against a version in the ledger that its holder knew to be in force in an earlier epoch only.
func TestHolderTellsNoVersionOfAnEarlierEpoch(t *testing.T) {
	a := newApplied()
	a.applyOperator(t.Context(), listed(4), time.Minute)
	a.prove(t.Context(), proof.Recorded, 1, 4)
	g := &Gateway{updates: a.updateApplier}
	require.EqualValues(t, 4, g.provenVersion(1))
	require.Zero(t, g.provenVersion(2))
}
