package sequential

import "math"

// alternatives are the alternative hypotheses of a Detector, each given as the
// difference between the candidate's share and the sum of the control's share and
// the margin.
var alternatives = [...]float64{0.03, 0.1, 0.3, 0.7}

// Detector detects a candidate whose share of bad attempts exceeds the control's
// by more than a margin, from the first block or from a later one. Its evidence is
// a weighted mixture of e-processes that start at each block, one per alternative.
type Detector struct {
	margin float64
	// startWeight is the weight of the e-processes that start at each block. They
	// detect a candidate that turns bad late.
	startWeight float64
	baseline    controlEstimate
	// started holds, for each alternative, the weighted sum of the e-processes
	// that have started. unstarted is the weight of those that have not.
	started   [len(alternatives)]float64
	unstarted float64
}

// NewDetector returns a detector for a number of blocks. The margin is a
// difference of shares.
func NewDetector(margin float64, blocks int) *Detector {
	return &Detector{margin: margin, startWeight: 1 / float64(max(1, blocks)), unstarted: 1}
}

// Add adds the next block. A block in which an arm has no trials gives no evidence.
func (d *Detector) Add(block Block) {
	if block.Control.Trials == 0 || block.Candidate.Trials == 0 {
		d.baseline.add(block.Control)
		return
	}
	d.unstarted = max(0, d.unstarted-d.startWeight)
	base := d.baseline.share()
	for i, alternative := range alternatives {
		e := math.Exp(logE(block, base, base+d.margin+alternative, d.margin))
		d.started[i] = (d.started[i] + d.startWeight) * e
	}
	d.baseline.add(block.Control)
}

// Evidence returns the evidence against the null hypothesis that the candidate is
// within the margin. If the null hypothesis is true, the probability that the
// evidence ever reaches 1/alpha within the detector's number of blocks is at most
// alpha.
func (d *Detector) Evidence() float64 {
	sum := 0.0
	for _, e := range d.started {
		sum += e
	}
	return d.unstarted + sum/float64(len(alternatives))
}
