package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// retryShare is the number of retries that each accepted request pays for.
	retryShare = 0.2
	// retryRate is the number of retries a second that need no paying for.
	retryRate = 2.0
	// retryBurst bounds the retries that are saved up.
	retryBurst = 100.0
)

// budget bounds the retries of one service, so that retries do not add to an
// outage. It is a token bucket, filled by accepted requests and slowly by time.
type budget struct {
	tokens float64
	filled time.Time
}

// budgets holds the budget of each service.
type budgets struct {
	mu       sync.Mutex
	services map[string]*budget
}

func newBudgets() *budgets { return &budgets{services: map[string]*budget{}} }

// accepted adds the share of a new request.
func (b *budgets) accepted(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, now)
	s.tokens = math.Min(retryBurst, s.tokens+retryShare)
}

// take spends one retry. It returns how long to wait before asking again when
// there is none, and 0 when it was spent.
func (b *budgets) take(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, now)
	if s.tokens >= 1 {
		s.tokens--
		return 0
	}
	return time.Duration((1 - s.tokens) / retryRate * float64(time.Second))
}

func (b *budgets) get(service string, now time.Time) *budget {
	s := b.services[service]
	if s == nil {
		s = &budget{tokens: retryBurst, filled: now}
		b.services[service] = s
	}
	s.tokens = math.Min(retryBurst, s.tokens+retryRate*now.Sub(s.filled).Seconds())
	s.filled = now
	return s
}
