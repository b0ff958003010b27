package slowstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

var (
	start  = time.Unix(1000, 0)
	params = Params{Cold: 2, Warm: 16, ColdStart: 20 * time.Second}
)

// rampUp records good attempts until the ramp reaches the warm limit and
// returns the time at which it does.
func rampUp(t *testing.T, r *Ramp, now time.Time) time.Time {
	t.Helper()
	for range 1000 {
		if r.Level(now) == params.Warm {
			return now
		}
		now = now.Add(200 * time.Millisecond)
		r.Observe(now, Outcomes{Good: 1})
	}
	t.Fatal("ramp did not reach the warm limit")
	return now
}

func TestColdUntilColdStartEndsAndAttemptsSucceed(t *testing.T) {
	r := New(start, params, 0)
	now := start
	for now.Before(start.Add(params.ColdStart - time.Second)) {
		now = now.Add(time.Second)
		r.Observe(now, Outcomes{Good: 5})
		require.Equal(t, 2, r.Level(now))
		require.True(t, r.Cold(now))
	}
	warmAt := rampUp(t, r, now)
	require.Less(t, warmAt.Sub(start), params.ColdStart+5*time.Second)
	require.False(t, r.Cold(warmAt))
	idle := New(start, params, 0)
	require.Equal(t, 2, idle.Level(start.Add(time.Hour)), "level was raised without successful attempts")
}

func TestBadOutcomesOrReportsMakeUpstreamCold(t *testing.T) {
	for name, degrade := range map[string]func(*Ramp, time.Time){
		"slow":                 func(r *Ramp, now time.Time) { r.Observe(now, Outcomes{Slow: 9}) },
		"failing":              func(r *Ramp, now time.Time) { r.Observe(now, Outcomes{Failed: 9}) },
		"load reports missing": func(r *Ramp, _ time.Time) { r.ReportMissed(); r.ReportMissed() },
		"cache shrunk": func(r *Ramp, now time.Time) {
			r.Report(now, engine.Load{AsOf: now, CacheTokens: 4000})
			r.Report(now, engine.Load{AsOf: now, CacheTokens: 8})
		},
		"version changed": func(r *Ramp, now time.Time) {
			r.Report(now, engine.Load{AsOf: now, Version: "v1"})
			r.Report(now, engine.Load{AsOf: now, Version: "v2"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(start, params, 0)
			now := rampUp(t, r, start)
			degrade(r, now)
			require.LessOrEqual(t, r.Level(now), params.Cold)
		})
	}
}

func TestFailingUpstreamIsProbedByOneRequestAtATime(t *testing.T) {
	r := New(start, params, 0)
	now := rampUp(t, r, start)
	rounds := 0
	for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if level := r.Level(now); level > 0 {
			if rounds > 0 {
				require.Equal(t, 1, level)
			}
			rounds++
			r.Observe(now, Outcomes{Failed: level})
		}
	}
	require.Less(t, rounds, 20)
	now = now.Add(time.Minute)
	r.Observe(now, Outcomes{Good: 1})
	require.Equal(t, params.Cold, r.Level(now))
}

// TestNoOscillation simulates an upstream that is overloaded at any level above
// 4: overloads must become rare as the waits between them double.
func TestNoOscillation(t *testing.T) {
	r := New(start, params, 0)
	overloads := [2]int{}
	const span = 10 * time.Minute
	for now := start; now.Before(start.Add(2 * span)); now = now.Add(200 * time.Millisecond) {
		if r.Level(now) <= 4 {
			r.Observe(now, Outcomes{Good: 1})
			continue
		}
		r.Observe(now, Outcomes{Slow: 9})
		overloads[now.Sub(start)/span]++
	}
	require.Positive(t, overloads[0])
	require.Less(t, overloads[1], 5)
}

func TestResumedUpstreamNeedsSuccessesButNoWait(t *testing.T) {
	r := New(start, params, 0)
	now := rampUp(t, r, start)
	r.Resume(now)
	require.Equal(t, 2, r.Level(now))
	require.Less(t, rampUp(t, r, now).Sub(now), 6*time.Second)
}

func TestAdoptsLevelOfAnotherCoordinatorAndRunningRequests(t *testing.T) {
	require.Equal(t, 8, New(start, params, 8).Level(start))
	require.Equal(t, 16, New(start, params, 99).Level(start))
	r := New(start, params, 0)
	r.Report(start, engine.Load{AsOf: start, Running: 11})
	require.Equal(t, 11, r.Level(start))
}
