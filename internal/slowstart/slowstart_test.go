package slowstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

var (
	start  = time.Unix(1000, 0)
	traits = Params{Cold: 2, Warm: 16, ColdStart: 20 * time.Second}
)

// raise brings a ramp to its full level and returns the time of it.
func raise(t *testing.T, r *Ramp, now time.Time) time.Time {
	t.Helper()
	for range 1000 {
		if r.Level(now) == traits.Warm {
			return now
		}
		now = now.Add(200 * time.Millisecond)
		r.Observe(now, Outcomes{Good: 1})
	}
	t.Fatal("never at the full level")
	return now
}

func TestColdUntilTheColdStartIsOverAndProven(t *testing.T) {
	r := New(start, traits, 0)
	now := start
	for now.Before(start.Add(traits.ColdStart - time.Second)) {
		now = now.Add(time.Second)
		r.Observe(now, Outcomes{Good: 5})
		require.Equal(t, 2, r.Level(now))
		require.True(t, r.Cold(now))
	}
	full := raise(t, r, now)
	require.Less(t, full.Sub(start), traits.ColdStart+5*time.Second)
	require.False(t, r.Cold(full))
	idle := New(start, traits, 0)
	require.Equal(t, 2, idle.Level(start.Add(time.Hour)), "no proof, no step")
}

func TestTurnsColdByItsAnswersOrReports(t *testing.T) {
	for name, turn := range map[string]func(*Ramp, time.Time){
		"slow":    func(r *Ramp, now time.Time) { r.Observe(now, Outcomes{Slow: 9}) },
		"failing": func(r *Ramp, now time.Time) { r.Observe(now, Outcomes{Failed: 9}) },
		"dead":    func(r *Ramp, _ time.Time) { r.ReportMissed(); r.ReportMissed() },
		"cache": func(r *Ramp, now time.Time) {
			r.Report(now, engine.Load{AsOf: now, CacheTokens: 4000})
			r.Report(now, engine.Load{AsOf: now, CacheTokens: 8})
		},
		"version": func(r *Ramp, now time.Time) {
			r.Report(now, engine.Load{AsOf: now, Version: "v1"})
			r.Report(now, engine.Load{AsOf: now, Version: "v2"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(start, traits, 0)
			now := raise(t, r, start)
			turn(r, now)
			require.LessOrEqual(t, r.Level(now), traits.Cold)
		})
	}
}

func TestFailingUpstreamIsProbedByOneRequestAtATime(t *testing.T) {
	r := New(start, traits, 0)
	now := raise(t, r, start)
	probes := 0
	for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if level := r.Level(now); level > 0 {
			if probes > 0 {
				require.Equal(t, 1, level)
			}
			probes++
			r.Observe(now, Outcomes{Failed: level})
		}
	}
	require.Less(t, probes, 20)
	now = now.Add(time.Minute)
	r.Observe(now, Outcomes{Good: 1})
	require.Equal(t, traits.Cold, r.Level(now))
}

// TestNoOscillation has an upstream that falls over at any level above 4: the
// number of times that it is overloaded must fall with time.
func TestNoOscillation(t *testing.T) {
	r := New(start, traits, 0)
	falls := [2]int{}
	const span = 10 * time.Minute
	for now := start; now.Before(start.Add(2 * span)); now = now.Add(200 * time.Millisecond) {
		if r.Level(now) <= 4 {
			r.Observe(now, Outcomes{Good: 1})
			continue
		}
		r.Observe(now, Outcomes{Slow: 9})
		falls[now.Sub(start)/span]++
	}
	require.Positive(t, falls[0])
	require.Less(t, falls[1], 5)
}

func TestReturnNeedsProofButNoWait(t *testing.T) {
	r := New(start, traits, 0)
	now := raise(t, r, start)
	r.Return(now)
	require.Equal(t, 2, r.Level(now))
	require.Less(t, raise(t, r, now).Sub(now), 6*time.Second)
}

func TestTakesOverWhatAnotherCoordinatorBelieved(t *testing.T) {
	require.Equal(t, 8, New(start, traits, 8).Level(start))
	require.Equal(t, 16, New(start, traits, 99).Level(start))
	r := New(start, traits, 0)
	r.Report(start, engine.Load{AsOf: start, Running: 11})
	require.Equal(t, 11, r.Level(start))
}
