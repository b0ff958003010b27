// Package place chooses the upstream that runs a request. The choice is a pure
// function of a host's view and load data, so that all hosts make nearly the same
// choice.
package place

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Costs of a choice, as time that requests lose.
const (
	// streamCost is the cost of each running stream for the others on its engine.
	streamCost = 1500 * time.Microsecond
	// slotCost is the cost of each running request for the next one at a plain
	// upstream while slots are free.
	slotCost = 4 * time.Millisecond
	// queueCost is the cost for the next request of each request beyond the
	// slots.
	queueCost = 20 * time.Millisecond
	// missCostPerToken is the cost of processing a token of a shared prefix
	// again, beyond the time that it takes: the queue at the upstream that has
	// the prefix cached may be longer by this time.
	missCostPerToken = 45 * time.Microsecond
	// secondShare and thirdShare are the fractions of the cost of a miss at the
	// upstreams ranked second and third for a prefix, so that bursts of it spread
	// over few caches.
	secondShare = 0.5
	thirdShare  = 0.8
	// failurePenalty is the cost of an upstream that fails every request.
	failurePenalty = 2 * time.Second
	// otherZonePenalty is the cost of leaving the availability zone.
	otherZonePenalty = time.Millisecond
)

// Candidate is an upstream that may run a request.
type Candidate struct {
	ID, Zone string
	Slots    int
	// Requests and Tokens are the load from all hosts: running requests, and
	// prompt tokens of those without a first event yet.
	Requests, Tokens int
	// ExtraLatency is how much later than expected the upstream responded lately.
	ExtraLatency time.Duration
	// Failures is the fraction of its recent responses that were failures, beyond
	// that of the service.
	Failures float64
	// Suspect is set when the upstream does not respond at present.
	Suspect bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Prefix identifies the shared part of the prompt, and SharedTokens is its
	// length. Without a Prefix, cached prefixes are ignored.
	Prefix       string
	SharedTokens int
	Engine       bool
	Zone         string
	// PrefillRate is the number of prompt tokens that an engine processes per
	// millisecond; 0 means DefaultPrefillRate.
	PrefillRate float64
}

// Choose returns the index of the best candidate, or -1 if there is none. A
// random number breaks ties.
//
// Load pattern: sessions with long shared prefixes, with bursts of one of them.
// The first-ranked upstream of a prefix has it cached; it is chosen until its
// queue costs more than processing the prefix elsewhere.
func Choose(request Request, candidates []Candidate, random uint64) int {
	shares := missShares(request, candidates)
	miss := missCost(request)
	best, lowestCost := -1, time.Duration(0)
	for k := range candidates {
		i := (k + int(random%uint64(len(candidates)))) % len(candidates)
		cost := Cost(request, &candidates[i])
		if shares != nil {
			cost += time.Duration(shares[i] * float64(miss))
		}
		if best < 0 || better(&candidates[i], cost, &candidates[best], lowestCost) {
			best, lowestCost = i, cost
		}
	}
	return best
}

func better(a *Candidate, costA time.Duration, b *Candidate, costB time.Duration) bool {
	if a.Suspect != b.Suspect {
		return b.Suspect
	}
	return costA < costB
}

func missCost(r Request) time.Duration {
	return PrefillTime(r.SharedTokens, r.PrefillRate) + time.Duration(r.SharedTokens)*missCostPerToken
}

// missShares returns for each candidate the expected fraction of the cost of a
// miss, or nil if the request has no prefix. Rendezvous hashing ranks the
// candidates for a prefix.
func missShares(request Request, candidates []Candidate) []float64 {
	if request.Prefix == "" {
		return nil
	}
	first, second, third := topRanked(request.Prefix, candidates)
	shares := make([]float64, len(candidates))
	for i := range shares {
		switch i {
		case first:
			shares[i] = 0
		case second:
			shares[i] = secondShare
		case third:
			shares[i] = thirdShare
		default:
			shares[i] = 1
		}
	}
	return shares
}

// topRanked returns the indexes of the three candidates of the highest weights
// for a prefix, leaving out suspect ones; -1 stands for none.
func topRanked(prefix string, candidates []Candidate) (first, second, third int) {
	first, second, third = -1, -1, -1
	var weights [3]uint64
	for i := range candidates {
		if candidates[i].Suspect {
			continue
		}
		weight := rendezvous.Weight(prefix, candidates[i].ID)
		switch {
		case first < 0 || weight > weights[0]:
			first, second, third = i, first, second
			weights = [3]uint64{weight, weights[0], weights[1]}
		case second < 0 || weight > weights[1]:
			second, third = i, second
			weights = [3]uint64{weights[0], weight, weights[1]}
		case third < 0 || weight > weights[2]:
			third = i
			weights[2] = weight
		}
	}
	return first, second, third
}

// Cost returns the time that a request is expected to lose at a candidate,
// without the cost of a prefix miss.
func Cost(request Request, c *Candidate) time.Duration {
	cost := c.ExtraLatency + time.Duration(c.Failures*float64(failurePenalty))
	if c.Zone != request.Zone {
		cost += otherZonePenalty
	}
	if request.Engine {
		cost += PrefillTime(c.Tokens, request.PrefillRate) + time.Duration(c.Requests)*streamCost
	} else {
		cost += time.Duration(c.Requests) * slotCost
	}
	if excess := c.Requests + 1 - c.Slots; c.Slots > 0 && excess > 0 {
		cost += time.Duration(excess) * queueCost
	}
	return cost
}

// PrefillTime returns how long an engine takes to process a number of prompt tokens
// at a rate per millisecond; 0 means DefaultPrefillRate.
func PrefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}
