// Package quota keeps customers' quotas over all hosts. Each host models the
// bucket of the whole deployment: it takes from it what it uses itself and what
// its peers say they used.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// startLevel is the share of the burst that a new process assumes to be left:
// it does not know what was used before.
const startLevel = 0.4

// Small requests may overdraw a quota that larger ones used up: they cost
// little and are often worth most. What they overdraw, larger ones wait for.
const (
	// smallShare is the share of a second's rate up to which a request is small.
	smallShare = 0.02
	// overdraft is the share of the burst by which small requests overdraw.
	overdraft = 0.3
)

// deviations is the number of standard deviations of a count of uses that may
// be chance.
const deviations = 1.0

// rateMemory is the time in which the weight of what was used falls to 1/e.
const rateMemory = time.Second

// minWait is the shortest wait that a refused caller is told.
const minWait = 50 * time.Millisecond

type bucket struct {
	rate, burst, level float64
	at                 time.Duration
	spent              float64
	// own and heard are the rates at which this host and its peers used the quota
	// of late.
	own, heard rate
}

// rate is a decayed rate of use, and the decayed number of uses.
type rate struct {
	value, uses float64
	at          time.Duration
}

func (r *rate) add(amount float64, now time.Duration) {
	r.decay(now)
	r.value += amount / rateMemory.Seconds()
	r.uses++
}

func (r *rate) decay(now time.Duration) {
	factor := math.Exp(-max(now-r.at, 0).Seconds() / rateMemory.Seconds())
	r.value *= factor
	r.uses *= factor
	r.at = now
}

func (r *rate) now(now time.Duration) float64 {
	r.decay(now)
	return r.value
}

// sure returns the part of the rate that is not explained by chance: few uses
// say little of how often others like them come.
func (r *rate) sure(now time.Duration) float64 {
	r.decay(now)
	if r.uses == 0 {
		return 0
	}
	return r.value * max(1-deviations/math.Sqrt(r.uses), 0)
}

// hear takes in what a peer used.
func (b *bucket) hear(amount float64, now time.Duration) {
	b.level -= amount
	b.heard.add(amount, now)
}

// use takes an amount for a request of this host.
func (b *bucket) use(amount float64, now time.Duration) {
	b.level -= amount
	b.spent += amount
	b.own.add(amount, now)
}

// untold estimates what peers used that is not told yet: as much as they told of
// late or, if that is more, as this host surely used for each of them. Callers
// choose hosts at random, so a burst begins everywhere at once.
func (b *bucket) untold(now, lag time.Duration, peers int) float64 {
	return max(b.heard.now(now), b.own.sure(now)*float64(peers)) * lag.Seconds()
}

// refill lets the quota grow back. Hosts that cannot hear one another share the
// burst as well, since each side has its own bucket then.
func (b *bucket) refill(now time.Duration, share float64) {
	if now > b.at {
		b.level = min(b.level+b.rate*share*(now-b.at).Seconds(), b.burst*share)
		b.at = now
	}
}

// least returns the level above which a request of an amount is admitted by
// hosts that can count on a share of the burst.
func (b *bucket) least(amount, share float64) float64 {
	if amount <= b.rate*smallShare {
		return -b.burst * share * overdraft
	}
	return 0
}

// Limiter holds the buckets of all customers. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	heard   map[string]map[string]float64
	share   float64
	lag     time.Duration
	peers   int
}

// NewLimiter returns a limiter without customers.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, heard: map[string]map[string]float64{}, share: 1}
}

// SetShare sets the part of each rate that this host may count on, from 0 to 1;
// it is below 1 while some hosts cannot be heard.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// SetPropagationDelay sets how long what peers use is on its way to this host, beyond what
// quotas bear, and the number of peers that it hears.
//
// Load pattern: a customer sends several times its quota to ninety hosts, which
// tell one another each 0.8 s. When the bucket is empty, most do not know yet.
func (l *Limiter) SetPropagationDelay(lag time.Duration, peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.peers = lag, peers
}

func (l *Limiter) bucket(c *catalog.Customer, now time.Duration) *bucket {
	b := l.buckets[c.Name]
	if b == nil {
		b = &bucket{level: c.Burst * startLevel, at: now}
		l.buckets[c.Name] = b
	}
	b.rate, b.burst = c.Rate, c.Burst
	b.level = min(b.level, c.Burst)
	b.refill(now, l.share)
	return b
}

// Take uses an amount of a customer's quota. When too little is left it
// returns false and after what time the caller may come back.
func (l *Limiter) Take(c *catalog.Customer, amount float64, now time.Duration) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Rate <= 0 {
		return true, 0
	}
	b := l.bucket(c, now)
	untold := b.untold(now, l.lag, l.peers)
	if b.level <= b.least(amount, l.share)+untold {
		wait := time.Duration((untold - b.level) / (b.rate * max(l.share, 0.01)) * float64(time.Second))
		return false, max(wait, minWait)
	}
	b.use(amount, now)
	return true, 0
}

// ChargeRetry uses an amount of a customer's quota for a request that is sent again
// although it may have run. It is not refused: later requests wait for it.
func (l *Limiter) ChargeRetry(c *catalog.Customer, amount float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Rate <= 0 {
		return
	}
	l.bucket(c, now).use(amount, now)
}

// Refund gives back what a request did not use since it did not run.
func (l *Limiter) Refund(c *catalog.Customer, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.Name]
	if b == nil || c.Rate <= 0 {
		return
	}
	b.level = min(b.level+amount, b.burst)
	b.spent -= amount
}

// Used returns what this host used since it began, by customer.
func (l *Limiter) Used() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spent := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		spent[name] = b.spent
	}
	return spent
}

// RecordPeerUsage takes in what a peer's process used since it began. What a process
// used before this host knew it counts only if it is fresh, which means that
// it began while this host ran.
func (l *Limiter) RecordPeerUsage(process string, spent map[string]float64, fresh bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.heard[process]
	for name, total := range spent {
		if b := l.buckets[name]; b != nil && (known || fresh) {
			b.hear(total-before[name], now)
		}
	}
	l.heard[process] = spent
}
