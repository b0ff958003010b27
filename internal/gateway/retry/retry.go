// Package retry limits how often requests are retried at another upstream, over
// all hosts together.
package retry

import (
	"sync"
	"time"
)

// Safety factors: the limit holds over all hosts and for any window.
const (
	// ratioFactor is the fraction of the allowed ratio that is used.
	ratioFactor = 0.6
	// slackFactor is the fraction of the allowed slack that is refilled in each
	// window; up to twice as much can be used in one window.
	slackFactor = 0.4
)

// Limit is the limit for all hosts together.
type Limit struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of additional retries allowed in a Window.
	Slack  float64
	Window time.Duration
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Budget holds the retries that this host may still make, by service. It is safe
// for concurrent use.
type Budget struct {
	limit Limit

	mu      sync.Mutex
	hosts   int
	buckets map[string]*bucket
}

// NewBudget returns this host's budget under a limit.
func NewBudget(limit Limit) *Budget {
	return &Budget{limit: limit, hosts: 1, buckets: map[string]*bucket{}}
}

// SetHosts sets the number of hosts that share the slack of the limit, 0 while it is not
// known: then this host uses none of it.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// slack returns this host's share of the slack.
func (b *Budget) slack() float64 {
	if b.hosts == 0 {
		return 0
	}
	return b.limit.Slack * slackFactor / float64(b.hosts)
}

func (b *Budget) refill(service string, now time.Duration) *bucket {
	slack := b.slack()
	tb := b.buckets[service]
	if tb == nil {
		tb = &bucket{tokens: slack / 2, refilledAt: now}
		b.buckets[service] = tb
	}
	tb.tokens = min(tb.tokens+slack*(now-tb.refilledAt).Seconds()/b.limit.Window.Seconds(), slack+1)
	tb.refilledAt = now
	return tb
}

// CountRequest adds the retries allowed for a request of a service to its budget.
func (b *Budget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(service, now).tokens += b.limit.Ratio * ratioFactor
}

// TryTake uses one retry of a service's budget and reports whether there was one
// left.
func (b *Budget) TryTake(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.refill(service, now)
	if tb.tokens < 1 {
		return false
	}
	tb.tokens--
	return true
}
