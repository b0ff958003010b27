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

// Load pattern: a host reads the log and asks a reader at the same time, and its
// control loop is busy. The second read goes on where the first ended; if
// beliefs got it first, they would take the first for an old answer.
func TestBeliefsGetUpdatesInTheOrderOfTheCopy(t *testing.T) {
	told := make(chan int64, 2)
	first := make(chan struct{})
	i := &updateApplier{copy: relay.NewCache()}
	i.submit = func(_ context.Context, input any) {
		next := input.(control.OperatorRead).Update.Next
		if next == 5 {
			close(first)
			// The loop is busy for longer than the second read takes.
			time.Sleep(100 * time.Millisecond)
		}
		told <- next
	}
	go i.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 5}, time.Second)
	<-first
	from, _ := i.copy.Offsets()
	require.EqualValues(t, 5, from)
	i.applyOperator(t.Context(), catalog.OperatorUpdate{Next: 9}, 2*time.Second)
	require.EqualValues(t, 5, <-told)
	require.EqualValues(t, 9, <-told)
}

func TestOldAndEmptyAnswersAreNotTaken(t *testing.T) {
	count := 0
	i := &updateApplier{copy: relay.NewCache(), submit: func(context.Context, any) { count++ }}
	i.applyOperator(t.Context(), catalog.OperatorUpdate{Next: -1}, time.Second)
	i.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: -1}, time.Second)
	require.Zero(t, count, "a reader that read nothing proves nothing")
	i.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: 7}, time.Second)
	i.applyUpstreams(t.Context(), catalog.UpstreamUpdate{Next: 6}, 2*time.Second)
	require.Equal(t, 1, count)
}
