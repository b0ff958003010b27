// Package sequential compares the share of bad attempts of a candidate with that
// of a control by sequential tests, whose results are valid after each block.
//
// A block contains the attempts of both arms in the same time interval. Each block
// gives an e-value: a statistic with an expectation of at most 1 if the null
// hypothesis is true. The product over blocks is a test supermartingale, so by
// Ville's inequality the probability that it ever reaches 1/alpha is at most alpha,
// however often it is inspected. The shares may differ between blocks as long as
// the null hypothesis holds within each, so a common disturbance of both arms does
// not count against the candidate.
package sequential

import "math"

// Counts holds the attempts of one arm in a block.
type Counts struct {
	// Trials is the number of attempts, and Bad the number of bad ones among them.
	Trials, Bad int64
}

// Add adds other counts.
func (c *Counts) Add(other Counts) {
	c.Trials += other.Trials
	c.Bad += other.Bad
}

// Block holds the attempts of both arms in the same time interval.
type Block struct {
	Control, Candidate Counts
}

const (
	// priorTrials and priorBad are prior counts that smooth the estimate of the
	// control's share.
	priorTrials = 20
	priorBad    = 0.2
	// estimateTrials is the number of the control's attempts over which its share is
	// estimated; older attempts are scaled down.
	estimateTrials = 200
	// minShare is the minimum distance of a share from 0 and 1.
	minShare = 1e-4
	// bisections is the number of bisection steps in closestNull.
	bisections = 24
)

// controlEstimate estimates the control's share from the latest blocks before the
// current one.
type controlEstimate struct {
	trials, bad float64
}

func (c *controlEstimate) share() float64 {
	return (c.bad + priorBad) / (c.trials + priorTrials)
}

func (c *controlEstimate) add(counts Counts) {
	c.trials += float64(counts.Trials)
	c.bad += float64(counts.Bad)
	if c.trials > estimateTrials {
		c.bad *= estimateTrials / c.trials
		c.trials = estimateTrials
	}
}

func clamp(share float64) float64 {
	return min(max(share, minShare), 1-minShare)
}

// logE returns the logarithm of the e-value of a block: the ratio of the
// likelihood under the alternative shares to that under the closest pair of shares
// whose difference is margin.
func logE(block Block, alternativeControl, alternativeCandidate, margin float64) float64 {
	a := clamp(alternativeControl)
	b := clamp(alternativeCandidate)
	null := closestNull(float64(block.Control.Trials), float64(block.Candidate.Trials), a, b, margin)
	return logRatio(block.Control, a, null) + logRatio(block.Candidate, b, null+margin)
}

func logRatio(counts Counts, share, null float64) float64 {
	bad := float64(counts.Bad)
	good := float64(counts.Trials - counts.Bad)
	return bad*math.Log(share/null) + good*math.Log((1-share)/(1-null))
}

// closestNull returns the control's share x that minimises the relative entropy
// D((a, b) || (x, x+margin)), in which each arm is weighted by its trials.
func closestNull(trialsA, trialsB, a, b, margin float64) float64 {
	low := minShare / 2
	high := 1 - margin - minShare/2
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
