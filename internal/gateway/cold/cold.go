// Package cold bounds the requests that upstreams in cold start get from all
// hosts together.
package cold

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// sendersPerRate is the number of hosts that send to a cold upstream for each
// request a second that it bears. Each of them may send one request at once.
const sendersPerRate = 0.5

// startupDelay is how long a new process sends nothing to cold upstreams: it does not
// know yet which hosts may send to them.
const startupDelay = time.Second

type bucket struct {
	tokens float64
	at    time.Duration
}

// Limiter holds what this host may send to cold upstreams. It is safe for
// concurrent use.
type Limiter struct {
	self string
	// startedAt is the boot time at which the process began.
	startedAt time.Duration

	mu       sync.Mutex
	buckets map[string]*bucket
}

// NewLimiter returns the guard of a host whose process started at a boot time.
func NewLimiter(self string, started time.Duration) *Limiter {
	return &Limiter{self: self, startedAt: started, buckets: map[string]*bucket{}}
}

// Senders returns how many hosts may send to an upstream that bears a rate.
func Senders(rate float64, hosts int) int {
	return max(min(hosts, int(rate*sendersPerRate)), 1)
}

// Take reports whether this host may send one request to a cold upstream that
// bears a rate, given all hosts that may send to it, those included that are not
// heard: parts of a fleet that do not hear one another then agree on the senders.
func (g *Limiter) Take(upstream string, rate float64, hosts []string, now time.Duration) bool {
	if now-g.startedAt < startupDelay {
		return false
	}
	senders := Senders(rate, len(hosts))
	if senders < len(hosts) && rendezvous.Rank(upstream, g.self, hosts) >= senders {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.buckets[upstream]
	if a == nil {
		a = &bucket{tokens: 1, at: now}
		g.buckets[upstream] = a
	}
	a.tokens = min(a.tokens+rate/float64(senders)*(now-a.at).Seconds(), 1)
	a.at = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Retain drops what is known of upstreams that are not listed.
func (g *Limiter) Retain(listed map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for upstream := range g.buckets {
		if _, known := listed[upstream]; !known {
			delete(g.buckets, upstream)
		}
	}
}
