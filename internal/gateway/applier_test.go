package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
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
