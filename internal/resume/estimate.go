package resume

import (
	"sync"
	"time"
)

const (
	// gain is the weight of a new sample in moving averages.
	gain = 0.1

	initialPrefill    = 500 * time.Microsecond
	initialKVFixed    = 50 * time.Millisecond
	initialKVPerToken = 20 * time.Microsecond
	tokenWorth        = 200 * time.Microsecond
)

// Estimator learns the costs of a service from what attempts and moves took.
// It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	costs map[string]Costs
}

// NewEstimator returns an estimator with initial costs for every service.
func NewEstimator() *Estimator { return &Estimator{costs: map[string]Costs{}} }

// Costs returns the present estimate for a service.
func (e *Estimator) Costs(service string) Costs {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(service)
}

func (e *Estimator) get(service string) Costs {
	c, known := e.costs[service]
	if !known {
		c = Costs{
			Prefill: initialPrefill, KVFixed: initialKVFixed,
			KVPerToken: initialKVPerToken, DelayPerToken: tokenWorth,
		}
	}
	return c
}

// Prefilled records the time to the first token after computing a number of tokens.
func (e *Estimator) Prefilled(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.get(service)
	c.Prefill = average(c.Prefill, took/time.Duration(tokens))
	e.costs[service] = c
}

// Moved records the time that the move of a KV cache took.
func (e *Estimator) Moved(service string, tokens int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.get(service)
	perToken := max(0, took-c.KVFixed) / time.Duration(max(1, tokens))
	c.KVPerToken = average(c.KVPerToken, perToken)
	if took < c.KVFixed {
		c.KVFixed = average(c.KVFixed, took)
	}
	e.costs[service] = c
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(gain*float64(sample-old))
}
