package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

// Load pattern: prompts of two kinds, of which most find a queue at their engine or
// their shared parts not cached. Engines of two deployments read 56.6 and 112 tokens
// per millisecond.
func TestSpeedOfEnginesIsLearned(t *testing.T) {
	for _, rate := range []float64{30, 56.6, 112, 250} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			var s place.Speed
			require.InDelta(t, place.DefaultPrefillRate, s.Rate(), 0)
			draw := rand.New(rand.NewPCG(1, 2))
			for k := range 60 {
				mean := []float64{1110, 3720}[k%2]
				tokens := mean * math.Exp(0.5*draw.NormFloat64())
				delay := 50 + tokens/rate
				if draw.Float64() < 0.5 {
					delay += draw.ExpFloat64() * 200
				}
				s.Record(int(tokens), time.Duration(delay*float64(time.Millisecond)), time.Duration(k)*200*time.Millisecond)
			}
			require.InEpsilon(t, rate, s.Rate(), 0.25)
		})
	}
}

func TestSpeedNeedsSeveralLengths(t *testing.T) {
	var s place.Speed
	for range 50 {
		s.Record(1000, 100*time.Millisecond, time.Second)
		s.Record(0, 100*time.Millisecond, time.Second)
		s.Record(1_000_000, time.Minute, time.Second)
	}
	require.InDelta(t, place.DefaultPrefillRate, s.Rate(), 0)
	for range 50 {
		s.Record(3000, 50*time.Millisecond, time.Second) // faster than shorter prompts
	}
	require.InDelta(t, place.DefaultPrefillRate, s.Rate(), 0)
}
