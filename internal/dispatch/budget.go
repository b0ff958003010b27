package dispatch

import (
	"math"
	"sync"
	"time"
)

const (
	// retriesPerRequest is the number of retries that each accepted request adds
	// to the budget.
	retriesPerRequest = 0.2
	// retriesPerSecond is the rate at which the budget refills without requests.
	retriesPerSecond = 2.0
	// retryBurst is the capacity of the budget, in retries.
	retryBurst = 100.0
)

// budget limits the retries of one service, so that retries do not worsen an
// outage. It is a token bucket that accepted requests and time refill.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

// budgets holds the retry budget of each service.
type budgets struct {
	mu       sync.Mutex
	services map[string]*budget
}

func newBudgets() *budgets { return &budgets{services: map[string]*budget{}} }

// recordAccepted credits an accepted request.
func (b *budgets) recordAccepted(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, now)
	s.tokens = math.Min(retryBurst, s.tokens+retriesPerRequest)
}

// take takes one retry from the budget and returns 0. If none is left it takes
// nothing and returns the time until there is one.
func (b *budgets) take(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service, now)
	if s.tokens >= 1 {
		s.tokens--
		return 0
	}
	return time.Duration((1 - s.tokens) / retriesPerSecond * float64(time.Second))
}

// get returns the budget of a service, refilled up to now. b.mu must be held.
func (b *budgets) get(service string, now time.Time) *budget {
	s := b.services[service]
	if s == nil {
		s = &budget{tokens: retryBurst, refilledAt: now}
		b.services[service] = s
	}
	s.tokens = math.Min(retryBurst, s.tokens+retriesPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	return s
}
