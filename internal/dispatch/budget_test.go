package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

// TestRetriesStayWithinBudget checks that, for any sequence of failures, retries
// do not exceed the burst plus the credits of requests and time.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudgets()
		begin := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		now := begin
		accepted, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				b.recordAccepted("s", now)
				accepted++
			}
			for range rapid.IntRange(0, 20).Draw(t, "failures") {
				if b.take("s", now) == 0 {
					retries++
				}
			}
		}
		bound := retryBurst + retriesPerRequest*float64(accepted) + retriesPerSecond*now.Sub(begin).Seconds()
		require.LessOrEqual(t, float64(retries), bound+1e-6)
	})
}

// TestTakeReturnsWait checks that a retry succeeds after the returned wait.
func TestTakeReturnsWait(t *testing.T) {
	b := newBudgets()
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for b.take("s", now) == 0 {
	}
	wait := b.take("s", now)
	require.Positive(t, wait)
	require.Zero(t, b.take("s", now.Add(wait)))
}
