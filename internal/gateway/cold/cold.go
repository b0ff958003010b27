// Package cold limits the requests that upstreams in cold start get from all
// hosts together.
package cold

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// sendersPerRate is the number of hosts that send to a cold upstream, for each
// request per second that it can handle. Each of them may send a burst of one
// request.
const sendersPerRate = 0.5

// startupDelay is how long a new process sends nothing to cold upstreams, since
// it does not know yet which hosts may send to them.
const startupDelay = time.Second

type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// Limiter holds what this host may send to cold upstreams. It is safe for
// concurrent use.
type Limiter struct {
	self string
	// startedAt is the boot time at which the process started.
	startedAt time.Duration

	mu      sync.Mutex
	buckets map[string]bucket
}

// NewLimiter returns the limiter of a host whose process started at a boot time.
func NewLimiter(self string, startedAt time.Duration) *Limiter {
	return &Limiter{self: self, startedAt: startedAt, buckets: map[string]bucket{}}
}

// Senders returns how many hosts may send to an upstream that can handle a rate
// of requests per second.
func Senders(rate float64, hosts int) int {
	return max(min(hosts, int(rate*sendersPerRate)), 1)
}

// Take reports whether this host may send one request to a cold upstream that can
// handle a rate of requests per second. hosts are all hosts that may send to it,
// also those that have sent no digest lately, so that both sides of a network
// partition agree on the senders. While they are not known, hosts is empty and nothing is
// sent.
func (l *Limiter) Take(upstream string, rate float64, hosts []string, now time.Duration) bool {
	if !l.isSender(upstream, rate, hosts, now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refilled(upstream, rate, len(hosts), now)
	taken := b.tokens >= 1
	if taken {
		b.tokens--
	}
	l.buckets[upstream] = b
	return taken
}

// Allows reports what Take would, and takes nothing.
func (l *Limiter) Allows(upstream string, rate float64, hosts []string, now time.Duration) bool {
	if !l.isSender(upstream, rate, hosts, now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refilled(upstream, rate, len(hosts), now).tokens >= 1
}

// isSender reports whether this host may send to a cold upstream at all.
func (l *Limiter) isSender(upstream string, rate float64, hosts []string, now time.Duration) bool {
	if now-l.startedAt < startupDelay || len(hosts) == 0 {
		return false
	}
	senders := Senders(rate, len(hosts))
	return senders >= len(hosts) || rendezvous.Rank(upstream, l.self, hosts) < senders
}

// refilled returns the bucket of an upstream as it is at now.
func (l *Limiter) refilled(upstream string, rate float64, hosts int, now time.Duration) bucket {
	b, known := l.buckets[upstream]
	if !known {
		b = bucket{tokens: 1, refilledAt: now}
	}
	b.tokens = min(b.tokens+rate/float64(Senders(rate, hosts))*(now-b.refilledAt).Seconds(), 1)
	b.refilledAt = now
	return b
}

// Retain drops the buckets of upstreams that are not listed.
func (l *Limiter) Retain(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream := range l.buckets {
		if _, known := listed[upstream]; !known {
			delete(l.buckets, upstream)
		}
	}
}
