package quota

import (
	"math"
	"time"
)

// Graduated admission near the limit of a quota.
const (
	// bandShare is the share of the burst below which requests are admitted by chance. It
	// covers what a customer may use at several times its quota until hosts hear of it.
	bandShare = 0.4
	// usualAmounts is the size of a request that is admitted with a chance of 1/e in the
	// middle of the band, in usual amounts.
	usualAmounts = 4
	// usualWeight is the weight of the newest request in the usual amount, so that the
	// latest 50 or so determine it.
	usualWeight = 0.02
	// backlogTime is the time whose refused requests are expected to come back, and
	// maxBacklogWait bounds the wait for them.
	backlogTime    = 2 * time.Second
	maxBacklogWait = 5 * time.Second
	// graduationSeed is the seed of the random numbers that decide in the band.
	graduationSeed = 1
)

// SetGraduated sets whether admission near the limit is graduated. That needs hosts that
// hear of each other's use soon.
//
// Load pattern: a customer sends three times its quota to seventy hosts, in requests of 200
// to 60,000 tokens. One bucket for all would admit most requests in the order of their
// arrival, since small ones fit in what large ones leave. Hosts with a common threshold
// admit everything until they hear that the bucket is empty, and then nothing: they refuse
// half of what one bucket admits.
func (l *Limiter) SetGraduated(graduated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.graduated = graduated
}

// graduate returns the width of the band above the lowest level at which any request is
// admitted, and the chance of a request there. A request is the likelier refused the larger
// and the less urgent it is, and the less is left. The width is 0 if the level is not within
// the band, or has not been above it since the process began: the level is an assumption then. The request, of an amount weighted by its rank, counts in the usual amount.
func (l *Limiter) graduate(b *bucket, lowest, weighted float64) (band, chance float64) {
	if b.usual <= 0 {
		b.usual = weighted
	}
	b.usual += usualWeight * (weighted - b.usual)
	band = bandShare * b.burst * l.share
	left := (b.level - lowest) / band
	b.settled = b.settled || left >= 1
	if !b.settled || !(left > 0 && left < 1) {
		return 0, 1
	}
	scale := usualAmounts * b.usual * left / (1 - left)
	return band, math.Exp(-weighted / scale)
}

// backlog adds a refused request and returns the time in which the quota serves those that
// all hosts have recently refused. Callers choose hosts at random, so that each refuses about
// as much.
//
// Load pattern: callers of a customer at three times its quota who come back at once are
// refused again, and take what would be left for others.
func (l *Limiter) backlog(b *bucket, amount float64, now time.Duration) time.Duration {
	b.refusedRate.add(amount, now)
	wait := b.refusedRate.value * float64(l.peerCount+1) / b.rate * backlogTime.Seconds()
	if !(wait < maxBacklogWait.Seconds()) {
		return maxBacklogWait
	}
	return time.Duration(wait * float64(time.Second))
}
