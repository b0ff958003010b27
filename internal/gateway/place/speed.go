package place

import (
	"math/bits"
	"time"
)

// Bounds of the estimate of an engine's speed.
const (
	// DefaultPrefillRate is the number of prompt tokens that an engine processes per
	// millisecond, until it is learned.
	DefaultPrefillRate = 112.0
	// minPrefillRate and maxPrefillRate bound what is learned, in tokens per
	// millisecond.
	minPrefillRate, maxPrefillRate = 10.0, 1000.0
	// speedEpoch is the time after which the fastest responses are collected anew;
	// those of the epoch before count as well.
	speedEpoch = 30 * time.Second
	// speedBins is the number of classes of prompts by the logarithm of their
	// length; longer prompts than the last class are left out, since engines read
	// them in several parts.
	speedBins = 13
	// minSpeedSamples is the number of responses that a class needs to count.
	minSpeedSamples = 4
)

// fastest is the fastest response to prompts of a class.
type fastest struct {
	tokens  int
	latency time.Duration
	samples int
}

// Speed learns how fast the engines of a service read prompts: from the fastest
// responses to prompts of several lengths, which found their engine idle and the
// shared parts cached. Its zero value has learned nothing. It is not safe for
// concurrent use.
type Speed struct {
	epoch         time.Duration
	current, last [speedBins]fastest
}

// Record adds the time to the first event of a response to a prompt of which an
// engine had to read a number of tokens.
func (s *Speed) Record(tokens int, latency, now time.Duration) {
	bin := bits.Len(uint(max(tokens, 0)))
	if bin == 0 || bin >= speedBins || latency <= 0 {
		return
	}
	if now-s.epoch >= speedEpoch {
		s.last, s.current, s.epoch = s.current, [speedBins]fastest{}, now
	}
	f := &s.current[bin]
	f.samples++
	if f.latency == 0 || latency < f.latency {
		f.tokens, f.latency = tokens, latency
	}
}

// Rate returns the number of prompt tokens that an engine processes per millisecond:
// the slope of the least squares line through the fastest responses of the classes.
func (s *Speed) Rate() float64 {
	var n, sumX, sumY, sumXX, sumXY float64
	for bin := range speedBins {
		f := s.current[bin]
		if old := s.last[bin]; old.samples > 0 && (f.samples == 0 || old.latency < f.latency) {
			f.tokens, f.latency, f.samples = old.tokens, old.latency, f.samples+old.samples
		}
		if f.samples < minSpeedSamples {
			continue
		}
		x, y := float64(f.tokens), f.latency.Seconds()*1000
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	if n < 2 || !(slope > 0) {
		return DefaultPrefillRate
	}
	return min(max(1/slope, minPrefillRate), maxPrefillRate)
}
