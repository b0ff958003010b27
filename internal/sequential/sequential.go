// Package sequential compares the failure share of a candidate with that of a
// control, block by block, and may be looked at after each block.
//
// A block holds what both arms did in the same span of time. Each block gives
// an e-value: a number whose mean is at most 1 while the null hypothesis is
// true. The product over blocks is a test martingale, so by Ville's inequality
// it ever reaches 1/alpha with a chance of at most alpha, however often it is
// looked at. The shares may differ from block to block as long as the null
// hypothesis holds within each, so a common disturbance of both arms is not
// held against the candidate.
package sequential

import "math"

// Counts is what one arm did in a block.
type Counts struct {
	// Trials is the number of attempts, Bad the number of bad ones among them.
	Trials, Bad int64
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Trials += other.Trials
	c.Bad += other.Bad
}

// Block is what both arms did in the same span of time.
type Block struct {
	Control, Candidate Counts
}

const (
	// priorTrials and priorBad smooth the estimate of the control's share.
	priorTrials = 20
	priorBad    = 0.2
	// memory is the number of the control's attempts over which its share is
	// estimated.
	memory = 200
	// smallestShare keeps shares away from 0 and 1.
	smallestShare = 1e-4
	// bisections is the number of halvings in the search for the closest null.
	bisections = 24
)

// control estimates the control's share from the latest blocks that have passed.
type control struct {
	trials, bad float64
}

func (c *control) share() float64 {
	return (c.bad + priorBad) / (c.trials + priorTrials)
}

func (c *control) add(counts Counts) {
	c.trials += float64(counts.Trials)
	c.bad += float64(counts.Bad)
	if c.trials > memory {
		c.bad *= memory / c.trials
		c.trials = memory
	}
}

func clamp(share float64) float64 {
	return min(max(share, smallestShare), 1-smallestShare)
}

// logE returns the logarithm of the e-value of a block: the likelihood under
// the alternative shares over that under the closest pair of shares whose
// difference is margin.
func logE(block Block, alternativeControl, alternativeCandidate, margin float64) float64 {
	a := clamp(alternativeControl)
	b := clamp(alternativeCandidate)
	null := closest(float64(block.Control.Trials), float64(block.Candidate.Trials), a, b, margin)
	return logRatio(block.Control, a, null) + logRatio(block.Candidate, b, null+margin)
}

func logRatio(counts Counts, share, null float64) float64 {
	bad := float64(counts.Bad)
	good := float64(counts.Trials - counts.Bad)
	return bad*math.Log(share/null) + good*math.Log((1-share)/(1-null))
}

// closest returns the control's share x for which the pair (x, x+margin) has
// the least relative entropy from the pair (a, b), each weighted by its trials.
func closest(trialsA, trialsB, a, b, margin float64) float64 {
	low := smallestShare / 2
	high := 1 - margin - smallestShare/2
	for range bisections {
		x := (low + high) / 2
		slope := trialsA*(x-a)/(x*(1-x)) + trialsB*(x+margin-b)/((x+margin)*(1-x-margin))
		if slope < 0 {
			low = x
		} else {
			high = x
		}
	}
	return (low + high) / 2
}
