package inflight_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
)

// alone is a board's view of other hosts that have nothing in flight.
func alone(string) int { return 0 }

func TestWorkIsCountedInAndOut(t *testing.T) {
	b := inflight.NewTracker(alone)
	w := b.Begin("u", 100, time.Second)
	require.Equal(t, inflight.State{Requests: 1, Tokens: 100}, b.State("u", time.Second))
	w.Received(1100 * time.Millisecond)
	require.Equal(t, inflight.State{Requests: 1}, b.State("u", 1100*time.Millisecond), "the prompt was read")
	w.End(1200 * time.Millisecond)
	w.End(1200 * time.Millisecond)
	require.Equal(t, inflight.State{}, b.State("u", 1200*time.Millisecond))
}

func TestSilentUpstreamIsSuspected(t *testing.T) {
	b := inflight.NewTracker(alone)
	w := b.Begin("u", 1, time.Second)
	require.False(t, b.Silent("u", 1600*time.Millisecond))
	require.True(t, b.Silent("u", 1800*time.Millisecond))
	w.Received(1900 * time.Millisecond)
	require.False(t, b.Silent("u", 2*time.Second))
	w.End(2 * time.Second)
	require.False(t, b.Silent("u", time.Minute), "an idle upstream is not silent")
}

// Load pattern: prompts of this and other hosts queue at an engine for a second.
func TestUpstreamWithPromptsToReadIsNotSilent(t *testing.T) {
	const perSecond = 112_000
	remote := perSecond / 2
	b := inflight.NewTracker(func(string) int { return remote })
	first := b.Begin("u", perSecond/2, time.Second)
	require.False(t, b.Silent("u", 2600*time.Millisecond))
	require.False(t, b.State("u", 2600*time.Millisecond).Suspect)
	require.True(t, b.Silent("u", 2800*time.Millisecond))
	first.End(3 * time.Second)

	// However many prompts wait, an upstream that is down is found out.
	remote = 100 * perSecond
	b.Begin("u", perSecond, 4*time.Second)
	require.True(t, b.Silent("u", 6300*time.Millisecond))
}

func TestFailuresAreForgotten(t *testing.T) {
	b := inflight.NewTracker(alone)
	for range 5 {
		b.RecordFailure("u", time.Second)
	}
	require.Greater(t, b.State("u", time.Second).Failures, 0.8)
	for range 5 {
		b.RecordLatency("u", 0, 9*time.Second)
	}
	require.Less(t, b.State("u", 9*time.Second).Failures, 0.1)
}

func TestUnlistedUpstreamsAreDropped(t *testing.T) {
	b := inflight.NewTracker(alone)
	b.RecordFailure("gone", time.Second)
	w := b.Begin("busy", 1, time.Second)
	b.Retain(map[string]bool{})
	require.Zero(t, b.State("gone", time.Second).Failures)
	require.Equal(t, 1, b.State("busy", time.Second).Requests)
	w.End(time.Second)
}
