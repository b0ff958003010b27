package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reconcile"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// Guards against a removed upstream that a follower uses again behind a drill: heartbeats that differ in
// their number only are not passed on, so it takes the copy's report for a newer one.
func TestFollowerUsesNoRemovedUpstreamBehindADrill(t *testing.T) {
	report := func(epoch, next, sequence int64, whole bool) catalog.UpstreamUpdate {
		return catalog.UpstreamUpdate{Epoch: epoch, Next: next, Whole: whole, Changes: []catalog.UpstreamChange{
			{ID: "w", Upstream: &catalog.Upstream{ID: "w", Born: 1, Sequence: sequence}}}}
	}
	cache := relay.NewCache()
	var reader, follower reconcile.Upstreams
	at, next := time.Second, int64(-1)
	pass := func(u catalog.UpstreamUpdate) {
		at += time.Second
		cache.ApplyUpstreams(reader.Apply(u, at), at)
		got := cache.Respond(t.Context(), relay.Request{Operator: -1, Upstreams: next}, at)
		next = got.Upstreams.Next
		follower.Apply(got.Upstreams, at)
	}
	pass(report(0, 1, 1, true))
	for sequence := int64(2); sequence <= 9; sequence++ {
		pass(report(0, sequence, sequence, false))
	}
	pass(catalog.UpstreamUpdate{Next: 10, Changes: []catalog.UpstreamChange{{ID: "w"}}})
	// The log comes back from a copy with report 7; both read it themselves, since it was away.
	require.Empty(t, reader.Apply(report(1, 7, 7, true), at+time.Second).Changes, "reader")
	require.Empty(t, follower.Apply(report(1, 7, 7, true), at+time.Second).Changes, "follower")
}
