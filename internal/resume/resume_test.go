package resume_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/resume"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

var costs = resume.Costs{
	Prefill: 500 * time.Microsecond, KVFixed: 50 * time.Millisecond,
	KVPerToken: 20 * time.Microsecond, DelayPerToken: 200 * time.Microsecond,
}

func TestChoose(t *testing.T) {
	for name, c := range map[string]struct {
		stream resume.Stream
		left   time.Duration
		want   resume.Method
	}{
		"ends in time":       {resume.Stream{Computed: 900, Remaining: 100, Between: 20 * time.Millisecond}, 10 * time.Second, resume.Stay},
		"unknown pace":       {resume.Stream{Computed: 900, Remaining: 1}, 10 * time.Second, resume.MoveKV},
		"long stream":        {resume.Stream{Computed: 900, Remaining: 900, Between: 20 * time.Millisecond}, 10 * time.Second, resume.MoveKV},
		"short stream":       {resume.Stream{Computed: 20, Remaining: 900, Between: 20 * time.Millisecond}, 10 * time.Second, resume.Recompute},
		"no time for a move": {resume.Stream{Computed: 900, Remaining: 900, Between: 20 * time.Millisecond}, 100 * time.Millisecond, resume.Recompute},
	} {
		require.Equal(t, c.want, resume.Choose(c.stream, costs, c.left), name)
	}
}

// TestChosenMethodCompletesInTime checks that what still needs the old upstream
// completes before that goes away, even if it takes twice the estimated time.
func TestChosenMethodCompletesInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := resume.Stream{
			Computed: rapid.IntRange(0, 100000).Draw(t, "computed"), Remaining: rapid.IntRange(0, 5000).Draw(t, "remaining"),
			Between: time.Duration(rapid.IntRange(0, 100).Draw(t, "between")) * time.Millisecond,
		}
		left := time.Duration(rapid.IntRange(0, 60000).Draw(t, "left")) * time.Millisecond
		switch resume.Choose(s, costs, left) {
		case resume.Stay:
			require.Less(t, time.Duration(s.Remaining)*s.Between, left/2)
		case resume.MoveKV:
			require.Less(t, costs.KVTime(s.Computed), left/2)
		default:
		}
	})
}
