// Package resume chooses how to continue a stream whose upstream is about to be
// reclaimed, from estimated costs.
package resume

import "time"

// Method is a way to continue a stream.
type Method int

// The methods.
const (
	// Stay lets the stream finish at its upstream.
	Stay Method = iota + 1
	// MoveKV moves the KV cache to another upstream.
	MoveKV
	// Recompute computes the prompt and the generated tokens again at another
	// upstream.
	Recompute
)

// String returns the name of the method.
func (m Method) String() string {
	return [...]string{"", "stay", "move KV cache", "recompute"}[m]
}

// Stream describes the progress of a stream.
type Stream struct {
	// Computed is the number of tokens of the prompt and of the output so far.
	Computed int
	// Remaining is the maximum number of tokens still to be generated.
	Remaining int
	// Between is the time between two tokens, or 0 if unknown.
	Between time.Duration
}

// Costs holds the estimated costs of the methods.
type Costs struct {
	// Prefill is the time to compute one token again.
	Prefill time.Duration
	// KVFixed and KVPerToken are the fixed time and the time per token to move
	// a KV cache.
	KVFixed, KVPerToken time.Duration
	// DelayPerToken is the cost of computing one token again, beside the time
	// that it takes, expressed as an equally bad delay of the stream.
	DelayPerToken time.Duration
}

// safetyFactor is the factor by which an estimate may be too low without the
// upstream going away before the stream or the move is complete.
const safetyFactor = 2

// Choose returns the cheapest method that is likely to complete before the
// upstream goes away, which it does after the duration left.
func Choose(s Stream, c Costs, left time.Duration) Method {
	if s.Between > 0 && safetyFactor*time.Duration(s.Remaining)*s.Between < left {
		return Stay
	}
	move := c.KVTime(s.Computed)
	if safetyFactor*move >= left {
		return Recompute
	}
	if move <= c.recomputeCost(s.Computed) {
		return MoveKV
	}
	return Recompute
}

// KVTime returns the estimated time to move the KV cache of a number of tokens.
func (c Costs) KVTime(tokens int) time.Duration {
	return c.KVFixed + time.Duration(tokens)*c.KVPerToken
}

func (c Costs) recomputeCost(tokens int) time.Duration {
	return time.Duration(tokens) * (c.Prefill + c.DelayPerToken)
}
