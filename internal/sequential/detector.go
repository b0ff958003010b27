package sequential

import "math"

// excesses are the alternatives of a Detector: how far the candidate's share
// lies above the control's share and the margin.
var excesses = [...]float64{0.03, 0.1, 0.3, 0.7}

// Detector looks for a candidate whose share of bad attempts exceeds the
// control's by more than a margin, from the first block or from a later one.
type Detector struct {
	margin float64
	// stake is what each block brings into play, so that a candidate that
	// turns bad late is found too.
	stake float64
	past  control
	// running holds the stake in play for each alternative, idle what is left.
	running [len(excesses)]float64
	idle    float64
}

// NewDetector returns a detector with a margin, a difference of shares, for a
// number of blocks.
func NewDetector(margin float64, blocks int) *Detector {
	return &Detector{margin: margin, stake: 1 / float64(max(1, blocks)), idle: 1}
}

// Add takes the next block. Blocks without trials of both arms say nothing.
func (d *Detector) Add(block Block) {
	if block.Control.Trials == 0 || block.Candidate.Trials == 0 {
		d.past.add(block.Control)
		return
	}
	d.idle = max(0, d.idle-d.stake)
	base := d.past.share()
	for i, excess := range excesses {
		e := math.Exp(logE(block, base, base+d.margin+excess, d.margin))
		d.running[i] = (d.running[i] + d.stake) * e
	}
	d.past.add(block.Control)
}

// Evidence returns the evidence against the hypothesis that the candidate is
// within the margin. While the hypothesis is true it reaches 1/alpha with a
// chance of at most alpha in each run of as many blocks as the detector is for.
func (d *Detector) Evidence() float64 {
	sum := 0.0
	for _, stake := range d.running {
		sum += stake
	}
	return d.idle + sum/float64(len(excesses))
}
