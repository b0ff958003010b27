// Package retry bounds how often requests are sent to a second upstream, over
// all hosts together.
package retry

import (
	"sync"
	"time"
)

// Safety factors: the bound holds over all hosts and for any window.
const (
	// ratioPart is the part of the allowed ratio that is used.
	ratioPart = 0.6
	// slackPart is the part of the allowed slack that is handed out per window;
	// twice of it fits into one window.
	slackPart = 0.4
)

// Limit is the limit that holds for all hosts together.
type Limit struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed besides in a Window.
	Slack  float64
	Window time.Duration
}

type account struct {
	level float64
	at    time.Duration
}

// Budget holds what this host may still spend, by service. It is safe for
// concurrent use.
type Budget struct {
	bound Limit

	mu       sync.Mutex
	hosts    int
	accounts map[string]*account
}

// NewBudget returns a budget under a bound.
func NewBudget(bound Limit) *Budget {
	return &Budget{bound: bound, hosts: 1, accounts: map[string]*account{}}
}

// SetHosts sets the number of hosts that share the bound.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
}

func (b *Budget) account(service string, now time.Duration) *account {
	slack := b.bound.Slack * slackPart / float64(b.hosts)
	a := b.accounts[service]
	if a == nil {
		a = &account{level: slack / 2, at: now}
		b.accounts[service] = a
	}
	a.level = min(a.level+slack*(now-a.at).Seconds()/b.bound.Window.Seconds(), slack+1)
	a.at = now
	return a
}

// CountRequest counts a request of a service.
func (b *Budget) CountRequest(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service, now).level += b.bound.Ratio * ratioPart
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}
