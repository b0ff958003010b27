package route

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

func TestBalancerWakesWaitersPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current atomic.Pointer[control.Snapshot]
		current.Store(snapshot(upstreams(1, 1)))
		var reports atomic.Int64
		b := NewBalancer(current.Load, func(control.Input) { reports.Add(1) }, 1)
		q := query("small", document.ClassStandard)
		q.Deadline = time.Now().Add(time.Minute)
		first, err := b.Acquire(t.Context(), q)
		require.NoError(t, err)
		began := time.Now()
		time.AfterFunc(time.Second, first.Release)
		second, err := b.Acquire(t.Context(), q)
		require.NoError(t, err)
		require.Equal(t, time.Second, time.Since(began))

		time.AfterFunc(time.Second, func() { current.Store(snapshot(upstreams(2, 1))) })
		third, err := b.Acquire(t.Context(), q)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(began), 2*time.Second+2*tickInterval)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = b.Acquire(ctx, q)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		b.mu.Lock()
		require.Zero(t, b.core.Waiting())
		b.mu.Unlock()
		second.Release()
		third.Release()
		synctest.Wait()
		time.Sleep(time.Second)
		b.mu.Lock()
		defer b.mu.Unlock()
		require.Zero(t, b.inFlight)
		require.False(t, b.ticking)
		require.Positive(t, reports.Load())
	})
}
