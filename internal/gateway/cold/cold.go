// Package cold bounds the requests that upstreams in cold start get from all
// hosts together.
package cold

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// senderShare is the number of hosts that send to a cold upstream for each
// request a second that it bears. Each of them may send one request at once.
const senderShare = 0.5

// learnFor is how long a new process sends nothing to cold upstreams: it does not
// know yet which hosts may send to them.
const learnFor = time.Second

type account struct {
	level float64
	at    time.Duration
}

// Limiter holds what this host may send to cold upstreams. It is safe for
// concurrent use.
type Limiter struct {
	self string
	// started is the boot time at which the process began.
	started time.Duration

	mu       sync.Mutex
	accounts map[string]*account
}

// NewLimiter returns the guard of a host whose process started at a boot time.
func NewLimiter(self string, started time.Duration) *Limiter {
	return &Limiter{self: self, started: started, accounts: map[string]*account{}}
}

// Senders returns how many hosts may send to an upstream that bears a rate.
func Senders(rate float64, hosts int) int {
	return max(min(hosts, int(rate*senderShare)), 1)
}

// Take reports whether this host may send one request to a cold upstream that
// bears a rate, given all hosts that may send to it, those included that are not
// heard: parts of a fleet that do not hear one another then agree on the senders.
func (g *Limiter) Take(upstream string, rate float64, hosts []string, now time.Duration) bool {
	if now-g.started < learnFor {
		return false
	}
	senders := Senders(rate, len(hosts))
	if senders < len(hosts) && rendezvous.Rank(upstream, g.self, hosts) >= senders {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.accounts[upstream]
	if a == nil {
		a = &account{level: 1, at: now}
		g.accounts[upstream] = a
	}
	a.level = min(a.level+rate/float64(senders)*(now-a.at).Seconds(), 1)
	a.at = now
	if a.level < 1 {
		return false
	}
	a.level--
	return true
}

// Retain drops what is known of upstreams that are not listed.
func (g *Limiter) Retain(listed map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for upstream := range g.accounts {
		if _, known := listed[upstream]; !known {
			delete(g.accounts, upstream)
		}
	}
}
