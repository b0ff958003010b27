package inflight_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
)

// noRemoteTokens stands for other hosts that have nothing in flight.
func noRemoteTokens(string) int { return 0 }

func TestRequestsInFlightAreCounted(t *testing.T) {
	tr := inflight.NewTracker(noRemoteTokens)
	r := tr.Begin("u", "s", 100, time.Second)
	require.Equal(t, inflight.State{Requests: 1, Tokens: 100}, tr.State("u", time.Second))
	r.Received(1100 * time.Millisecond)
	require.Equal(t, inflight.State{Requests: 1}, tr.State("u", 1100*time.Millisecond), "the prompt was read")
	r.End(1200 * time.Millisecond)
	r.End(1200 * time.Millisecond)
	require.Equal(t, inflight.State{}, tr.State("u", 1200*time.Millisecond))
}

func TestSilentUpstreamIsSuspected(t *testing.T) {
	tr := inflight.NewTracker(noRemoteTokens)
	r := tr.Begin("u", "s", 1, time.Second)
	require.False(t, tr.Unresponsive("u", 1600*time.Millisecond))
	require.True(t, tr.Unresponsive("u", 1800*time.Millisecond))
	r.Received(1900 * time.Millisecond)
	require.False(t, tr.Unresponsive("u", 2*time.Second))
	r.End(2 * time.Second)
	require.False(t, tr.Unresponsive("u", time.Minute), "an idle upstream is not silent")
}

// Load pattern: prompts of this and other hosts queue at an engine for a second.
func TestUpstreamWithQueuedPromptsIsNotSilent(t *testing.T) {
	const perSecond = 112_000
	remote := perSecond / 2
	tr := inflight.NewTracker(func(string) int { return remote })
	first := tr.Begin("u", "s", perSecond/2, time.Second)
	require.False(t, tr.Unresponsive("u", 2600*time.Millisecond))
	require.False(t, tr.State("u", 2600*time.Millisecond).Suspect)
	require.True(t, tr.Unresponsive("u", 2800*time.Millisecond))
	first.End(3 * time.Second)

	// However many prompts are queued, an upstream that is down gets suspected.
	remote = 100 * perSecond
	tr.Begin("u", "s", perSecond, 4*time.Second)
	require.True(t, tr.Unresponsive("u", 6300*time.Millisecond))
}

// Load pattern: a prompt queues at an engine that is slower than others; it is not
// taken for silent after the time that suffices at a fast one.
func TestSilenceAllowsForTheSpeedOfEngines(t *testing.T) {
	tr := inflight.NewTracker(noRemoteTokens)
	for k := range 20 {
		tokens := 1000 * (1 + k%2*3)
		tr.RecordFirstEvent("slow", tokens, time.Duration(50+tokens/28)*time.Millisecond, time.Second)
	}
	require.InEpsilon(t, 28, tr.PrefillRate("slow"), 0.05)
	tr.Begin("u", "slow", 28_000, time.Second)
	tr.Begin("v", "fast", 28_000, time.Second)
	require.False(t, tr.Unresponsive("u", 2500*time.Millisecond))
	require.True(t, tr.Unresponsive("v", 2500*time.Millisecond))
}

func TestFailuresAreForgotten(t *testing.T) {
	tr := inflight.NewTracker(noRemoteTokens)
	for range 5 {
		tr.RecordFailure("u", time.Second)
	}
	require.Greater(t, tr.State("u", time.Second).Failures, 0.8)
	for range 5 {
		tr.RecordLatency("u", 0, 9*time.Second)
	}
	require.Less(t, tr.State("u", 9*time.Second).Failures, 0.1)
}

func TestUnlistedUpstreamsAreDropped(t *testing.T) {
	tr := inflight.NewTracker(noRemoteTokens)
	tr.RecordFailure("gone", time.Second)
	r := tr.Begin("busy", "s", 1, time.Second)
	tr.Retain(map[string]bool{})
	require.Zero(t, tr.State("gone", time.Second).Failures)
	require.Equal(t, 1, tr.State("busy", time.Second).Requests)
	r.End(time.Second)
}
