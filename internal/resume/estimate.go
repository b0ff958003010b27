package resume

import (
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1

	initialPrefill       = 500 * time.Microsecond
	initialKVFixed       = 50 * time.Millisecond
	initialKVPerToken    = 20 * time.Microsecond
	initialDelayPerToken = 200 * time.Microsecond
)

// Estimator estimates the costs of each service from the durations of attempts
// and KV cache moves. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	costs map[string]Costs
}

// NewEstimator returns an estimator with initial costs for every service.
func NewEstimator() *Estimator { return &Estimator{costs: map[string]Costs{}} }

// Costs returns the current estimate for a service.
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
			KVPerToken: initialKVPerToken, DelayPerToken: initialDelayPerToken,
		}
	}
	return c
}

// RecordPrefill records the time to the first token of an attempt that computed the
// given number of tokens before it.
func (e *Estimator) RecordPrefill(service string, tokens int, took time.Duration) {
	if tokens <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.get(service)
	c.Prefill = movingAverage(c.Prefill, took/time.Duration(tokens))
	e.costs[service] = c
}

// RecordKVMove records the duration of moving a KV cache of the given number of
// tokens.
func (e *Estimator) RecordKVMove(service string, tokens int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.get(service)
	perToken := max(0, took-c.KVFixed) / time.Duration(max(1, tokens))
	c.KVPerToken = movingAverage(c.KVPerToken, perToken)
	if took < c.KVFixed {
		c.KVFixed = movingAverage(c.KVFixed, took)
	}
	e.costs[service] = c
}

func movingAverage(old, sample time.Duration) time.Duration {
	return old + time.Duration(sampleWeight*float64(sample-old))
}
