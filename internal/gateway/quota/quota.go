// Package quota enforces customers' quotas over all hosts. Each host models one
// token bucket for the whole deployment, from which it takes what it uses itself and
// what its peers report as used.
package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// startLevel is the share of the burst that a new process assumes to be available,
// since it does not know what was used before.
const startLevel = 0.4

// Small requests may overdraw a quota that larger ones have used up, since they cost
// little and are often worth most. Larger requests wait until the overdraft is
// refilled.
const (
	// smallShare is the share of a second's rate up to which a request is small.
	smallShare = 0.02
	// overdraftShare is the share of the burst by which small requests may
	// overdraw.
	overdraftShare = 0.3
)

// A request is admitted if at least coveredShare of its amount is left, so that on
// average hosts take no more than what is left. Requests for more than maxCovered of
// the burst need no more than one of that size: they would seldom be admitted.
const (
	coveredShare = 0.5
	maxCovered   = 0.5
)

// Hosts may together overdraw a quota by a part of its tolerance, so that few
// requests within it are refused by mistake. What hosts may admit before they have
// heard of each other is set aside first.
const (
	// toleranceShare is the share of the tolerance that is left then.
	toleranceShare = 0.5
	// surge is a sudden use for which tolerance is set aside, as a multiple of the
	// rate.
	surge = 4
	// usualDelay is the time until peers hear of a use in a small fleet.
	usualDelay = 250 * time.Millisecond
)

// Tolerance is how far the use of a customer may exceed the quota of a window.
type Tolerance struct {
	// Excess is a share of the quota of the window, Slack an amount.
	Excess, Slack float64
	Window        time.Duration
}

// of returns the tolerance for a customer's quota. It is bounded by the burst, so
// that a slack that is meant for other units does not lift a quota.
func (t Tolerance) of(c *catalog.Customer) float64 {
	return min(t.Excess*(c.Rate*t.Window.Seconds()+c.Burst)+t.Slack, 2*c.Burst)
}

// chanceDeviations is the number of standard deviations of a number of uses that are
// attributed to chance.
const chanceDeviations = 1.0

// rateDecayTime is the time in which the weight of a use falls to 1/e.
const rateDecayTime = time.Second

// minWait is the shortest wait that is returned for a refused request.
const minWait = 50 * time.Millisecond

// bucket is the token bucket of one customer. Its level is negative while it is
// overdrawn.
type bucket struct {
	rate, burst, level float64
	// overdraft is the amount by which all hosts may overdraw the quota.
	overdraft  float64
	refilledAt time.Duration
	// used is what this host used since the process began.
	used float64
	// ownRate and peerRate are the rates at which this host and its peers have
	// recently used the quota.
	ownRate, peerRate decayedRate
	// refusedRate is the rate at which this host has recently refused requests.
	refusedRate decayedRate
	// usual is the mean amount of recent requests, weighted by their rank.
	usual float64
	// settled is set once the level has been above the band of graduated admission.
	settled bool
}

// decayedRate is an exponentially decayed rate of use. Its value is in units of the
// quota a second; uses is the decayed number of uses.
type decayedRate struct {
	value, uses float64
	decayedAt   time.Duration
}

func (r *decayedRate) add(amount float64, now time.Duration) {
	r.decay(now)
	r.value += amount / rateDecayTime.Seconds()
	r.uses++
}

func (r *decayedRate) decay(now time.Duration) {
	factor := math.Exp(-max(now-r.decayedAt, 0).Seconds() / rateDecayTime.Seconds())
	r.value *= factor
	r.uses *= factor
	r.decayedAt = now
}

func (r *decayedRate) current(now time.Duration) float64 {
	r.decay(now)
	return r.value
}

// lowerBound returns the part of the rate that is not explained by chance: a few uses
// are weak evidence of a lasting rate.
func (r *decayedRate) lowerBound(now time.Duration) float64 {
	r.decay(now)
	if r.uses == 0 {
		return 0
	}
	return r.value * max(1-chanceDeviations/math.Sqrt(r.uses), 0)
}

// What a bucket owes is bounded by maxDebtBursts and the rate in maxDebtTime. That is longer
// than quotas are judged by, and what was taken by a quota that was wrong, or by a wrong
// report of a peer, is forgotten soon.
const (
	maxDebtBursts = 2
	maxDebtTime   = time.Minute
)

// boundDebt forgets what a bucket owes beyond the largest debt. It also replaces values that
// are not numbers.
func (b *bucket) boundDebt() {
	debt := max(maxDebtBursts*b.burst+b.rate*maxDebtTime.Seconds(), 0)
	if !(b.level >= -debt) {
		b.level = -debt
	}
	for _, recent := range []*decayedRate{&b.ownRate, &b.peerRate} {
		if !(recent.value <= debt) {
			recent.value = debt
		}
	}
}

// addPeerUse takes an amount that a peer has used.
func (b *bucket) addPeerUse(amount float64, now time.Duration) {
	b.level -= amount
	b.peerRate.add(amount, now)
}

// use takes an amount for a request of this host.
func (b *bucket) use(amount float64, now time.Duration) {
	b.level -= amount
	b.used += amount
	b.ownRate.add(amount, now)
}

// unreportedUse estimates what peers have used within the propagation delay and not
// reported yet: the larger of their reported rate and of the lower bound of this
// host's own rate for each of them. Callers choose hosts at random, so a burst begins
// at all hosts at once.
func (b *bucket) unreportedUse(now, delay time.Duration, peers int) float64 {
	return max(b.peerRate.current(now), b.ownRate.lowerBound(now)*float64(peers)) * delay.Seconds()
}

// refill adds the quota of the time since the last refill. In a network partition
// each side has its own bucket, so that the burst is divided as well as the rate.
func (b *bucket) refill(now time.Duration, share float64) {
	b.boundDebt()
	if now > b.refilledAt {
		b.level += b.rate * share * (now - b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.level = min(b.level, b.burst*share)
}

// minLevel returns the level above which a request of an amount is admitted by a
// host that may use a share of the burst.
//
// Load pattern: a customer sends 6 times its quota to ninety hosts. If each admitted
// a request while any quota is left, each would overdraw it by most of one.
//
// Graduated admission lets small requests pass in another way, and asks for the whole
// amount.
func (b *bucket) minLevel(amount, share float64, graduated bool) float64 {
	overdraft := b.overdraft
	if graduated && b.settled {
		return (min(amount, maxCovered*b.burst) - overdraft) * share
	}
	if amount <= b.rate*smallShare {
		overdraft += b.burst * overdraftShare
	}
	return (coveredShare*min(amount, maxCovered*b.burst) - overdraft) * share
}

// Limiter holds the buckets of all customers. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// peerUsed is what each process of a peer used since it began, by customer.
	peerUsed         map[string]map[string]float64
	share            float64
	propagationDelay time.Duration
	peerCount        int
	tolerance        Tolerance
	// graduated is set while admission near the limit is graduated, by random numbers.
	graduated bool
	random    *rand.Rand
}

// NewLimiter returns a limiter without customers that may use the whole quota.
func NewLimiter(tolerance Tolerance) *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peerUsed: map[string]map[string]float64{}, share: 1, tolerance: tolerance, random: rand.New(rand.NewPCG(graduationSeed, 0))}
}

// Restart makes all buckets those of a new process. It is called when the host first knows
// its fleet: until then it did not hear what others used.
func (l *Limiter) Restart(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		b.level, b.refilledAt, b.peerRate = b.burst*startLevel-b.overdraft, now, decayedRate{}
	}
}

// SetShare sets the share of each quota that this host and its live peers may use
// together, from 0 to 1. It is below 1 while some hosts that may be alive are silent.
func (l *Limiter) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// SetPropagationDelay sets the time until this host receives what peers use, beyond
// usualDelay, and the number of live peers.
//
// Load pattern: a customer sends several times its quota to ninety hosts, which
// exchange digests every 0.8 s. When the bucket is empty, most hosts have not
// received the digests that show it.
func (l *Limiter) SetPropagationDelay(delay time.Duration, peers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.propagationDelay, l.peerCount = delay, peers
}

// SetCustomers sets the quotas of a new configuration. The limiter follows what peers use
// of them, also before this host has a request of the customer.
//
// Load pattern: a customer with a small quota sends requests to two hundred hosts. If
// each host began to count at its first request, each would admit that one.
func (l *Limiter) SetCustomers(customers []catalog.Customer, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range customers {
		if customers[i].Rate > 0 {
			l.bucket(&customers[i], now)
		}
	}
}

// bucket returns the refilled bucket of a customer, which it creates if there is
// none, and an estimate of what peers have used and not reported yet.
func (l *Limiter) bucket(c *catalog.Customer, now time.Duration) (*bucket, float64) {
	b := l.buckets[c.Name]
	if b == nil {
		b = l.newBucket(c, now)
		l.buckets[c.Name] = b
	}
	return b, l.update(b, c, now)
}

// overdraft returns the amount by which all hosts may overdraw the quota of a customer.
func (l *Limiter) overdraft(c *catalog.Customer) float64 {
	atOnce := surge * c.Rate * (usualDelay + l.propagationDelay).Seconds()
	return toleranceShare * max(l.tolerance.of(c)-atOnce, 0)
}

func (l *Limiter) newBucket(c *catalog.Customer, now time.Duration) *bucket {
	return &bucket{level: c.Burst*startLevel - l.overdraft(c), refilledAt: now}
}

// update applies the customer's quota and refills the bucket. It returns an estimate of what
// peers have used and not reported yet.
func (l *Limiter) update(b *bucket, c *catalog.Customer, now time.Duration) float64 {
	b.rate, b.burst, b.overdraft = c.Rate, c.Burst, l.overdraft(c)
	b.refill(now, l.share)
	return b.unreportedUse(now, l.propagationDelay, l.peerCount)
}

// Take takes an amount of a customer's quota for a request of the highest priority. When
// too little is left it returns false and the time after which the caller may retry.
func (l *Limiter) Take(c *catalog.Customer, amount float64, now time.Duration) (bool, time.Duration) {
	return l.TakeRanked(c, amount, 0, now)
}

// TakeRanked takes an amount of a customer's quota for a request of a priority, of which 0
// is the highest. When too little is left it returns false and the time after which the
// caller may retry.
func (l *Limiter) TakeRanked(c *catalog.Customer, amount float64, rank int, now time.Duration) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Rate <= 0 {
		return true, 0
	}
	b, unreported := l.bucket(c, now)
	lowest, band, chance := l.thresholds(b, amount, unreported, rank)
	if band > 0 && !(l.random.Float64() < chance) {
		lowest += band
	}
	if wait := l.wait(b, lowest, amount, now); wait > 0 {
		return false, wait
	}
	b.use(amount, now)
	return true, 0
}

// thresholds returns the level above which a request may be admitted, and the width of the
// band above it in which it is admitted by the given chance. Outside of the band, and without
// graduated admission, the width is 0.
func (l *Limiter) thresholds(b *bucket, amount, unreported float64, rank int) (lowest, band, chance float64) {
	lowest = b.minLevel(amount, l.share, l.graduated) + unreported
	if !l.graduated {
		return lowest, 0, 1
	}
	band, chance = l.graduate(b, lowest, amount*float64(1+rank))
	return lowest, band, chance
}

// wait returns 0 if a bucket admits an amount above a level, else the time after which the
// caller may retry. Graduated admission counts the refusal in the bucket's backlog.
func (l *Limiter) wait(b *bucket, lowest, amount float64, now time.Duration) time.Duration {
	if b.level <= lowest {
		wait := time.Duration((lowest - b.level) / (b.rate * max(l.share, 0.01)) * float64(time.Second))
		if l.graduated {
			wait = max(wait, l.backlog(b, amount, now))
		}
		return max(wait, minWait)
	}
	return 0
}

// Admission is whether TakeRanked would admit a request.
type Admission struct {
	// Chance is the probability that the request is admitted; only graduated admission has
	// one between 0 and 1.
	Chance float64
	// RetryAfter is the time after which a refused caller may retry, 0 if the request is
	// surely admitted.
	RetryAfter time.Duration
}

// Allows returns what TakeRanked would do. It takes nothing and changes no state: it works on
// a copy of the bucket and draws no random number.
func (l *Limiter) Allows(c *catalog.Customer, amount float64, rank int, now time.Duration) Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Rate <= 0 {
		return Admission{Chance: 1}
	}
	b := l.buckets[c.Name]
	if b == nil {
		b = l.newBucket(c, now)
	}
	current := *b
	unreported := l.update(&current, c, now)
	lowest, band, chance := l.thresholds(&current, amount, unreported, rank)
	wait := l.wait(&current, lowest+band, amount, now)
	switch {
	case wait == 0:
		return Admission{Chance: 1}
	case band > 0 && chance > 0:
		return Admission{Chance: chance, RetryAfter: wait}
	}
	return Admission{RetryAfter: wait}
}

// ChargeRetry takes an amount of a customer's quota for a retry of a request that may
// have run. It is never refused; later requests wait until it is refilled.
func (l *Limiter) ChargeRetry(c *catalog.Customer, amount float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Rate <= 0 {
		return
	}
	b, _ := l.bucket(c, now)
	b.use(amount, now)
}

// Refund returns an amount that Take took for a request that did not run.
func (l *Limiter) Refund(c *catalog.Customer, amount float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.Name]
	if b == nil || c.Rate <= 0 {
		return
	}
	b.level += amount // the next refill bounds it
	b.used -= amount
}

// Used returns what this host used since the process began, by customer.
func (l *Limiter) Used() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		used[name] = b.used
	}
	return used
}

// RecordPeerUsage applies what a peer's process reports to have used since it began,
// by customer. In the first report of a process all of it counts if the process is
// fresh, which means that it began while this host ran, and else none of it.
func (l *Limiter) RecordPeerUsage(process string, used map[string]float64, fresh bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.peerUsed[process]
	for name, total := range used {
		if b := l.buckets[name]; b != nil && (known || fresh) {
			b.addPeerUse(total-before[name], now)
		}
	}
	l.peerUsed[process] = used
}
