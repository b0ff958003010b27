// Package retry bounds how often requests are sent to a second upstream, over
// all hosts together.
package retry

import (
	"sync"
	"time"
)

// Safety factors: the bound holds over all hosts and for any window.
const (
	// ratioFactor is the part of the allowed ratio that is used.
	ratioFactor = 0.6
	// slackFactor is the part of the allowed slack that is handed out per window;
	// twice of it fits into one window.
	slackFactor = 0.4
)

// Limit is the limit that holds for all hosts together.
type Limit struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed besides in a Window.
	Slack  float64
	Window time.Duration
}

type bucket struct {
	tokens float64
	at    time.Duration
}

// Budget holds what this host may still spend, by service. It is safe for
// concurrent use.
type Budget struct {
	limit Limit

	mu       sync.Mutex
	hosts    int
	buckets map[string]*bucket
}

// NewBudget returns a budget under a bound.
func NewBudget(bound Limit) *Budget {
	return &Budget{limit: bound, hosts: 1, buckets: map[string]*bucket{}}
}

// SetHosts sets the number of hosts that share the bound.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
}

func (b *Budget) bucket(service string, now time.Duration) *bucket {
	slack := b.limit.Slack * slackFactor / float64(b.hosts)
	a := b.buckets[service]
	if a == nil {
		a = &bucket{tokens: slack / 2, at: now}
		b.buckets[service] = a
	}
	a.tokens = min(a.tokens+slack*(now-a.at).Seconds()/b.limit.Window.Seconds(), slack+1)
	a.at = now
	return a
}

// CountRequest counts a request of a service.
func (b *Budget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service, now).tokens += b.limit.Ratio * ratioFactor
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.bucket(service, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
