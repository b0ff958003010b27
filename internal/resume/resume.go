// Package resume decides how a stream goes on when its upstream is about to
// leave. It is a pure function of estimates.
package resume

import "time"

// Method says how a stream goes on.
type Method int

// The ways.
const (
	// Stay lets the stream end where it is.
	Stay Method = iota + 1
	// MoveKV moves the KV cache to another upstream.
	MoveKV
	// Recompute lets another upstream compute prompt and tokens again.
	Recompute
)

// String names the way.
func (w Method) String() string {
	return [...]string{"", "stay", "move KV cache", "recompute"}[w]
}

// Stream is the state of a stream.
type Stream struct {
	// Computed is the number of tokens of the prompt and of the answer so far.
	Computed int
	// Remaining is the largest number of tokens that may still come.
	Remaining int
	// Between is the time between two tokens; 0 if unknown.
	Between time.Duration
}

// Costs are the estimated costs of the ways.
type Costs struct {
	// Prefill is the time to compute one token of a prompt again.
	Prefill time.Duration
	// KVFixed and KVPerToken are the time to move a KV cache.
	KVFixed, KVPerToken time.Duration
	// DelayPerToken is the delay of one stream that is as bad as one token
	// computed again.
	DelayPerToken time.Duration
}

// margin is the factor by which an estimate may be wrong before the upstream
// is gone in the middle of what was begun there.
const margin = 2

// Choose returns the cheapest way that is likely to end before the upstream
// goes, left being the time until then.
func Choose(s Stream, c Costs, left time.Duration) Method {
	if s.Between > 0 && margin*time.Duration(s.Remaining)*s.Between < left {
		return Stay
	}
	move := c.KVTime(s.Computed)
	if margin*move >= left {
		return Recompute
	}
	if move <= c.recomputeCost(s.Computed) {
		return MoveKV
	}
	return Recompute
}

// KVTime is the estimated time to move the KV cache of a number of tokens.
func (c Costs) KVTime(tokens int) time.Duration {
	return c.KVFixed + time.Duration(tokens)*c.KVPerToken
}

func (c Costs) recomputeCost(tokens int) time.Duration {
	return time.Duration(tokens) * (c.Prefill + c.DelayPerToken)
}
