package sequential

import "math"

// worstLog is the logarithm below which the evidence of a Proof does not fall,
// so that a disturbance does not rule a proof out for good.
const worstLog = -5

// Proof gathers evidence that a candidate's share of bad attempts is less than
// a bound above the control's.
type Proof struct {
	bound  float64
	past   control
	log    float64
	trials int64
}

// NewProof returns a proof with a bound, a difference of shares.
func NewProof(bound float64) *Proof {
	return &Proof{bound: bound}
}

// Restart forgets the evidence and keeps the estimate of the control's share.
func (p *Proof) Restart() {
	p.log = 0
	p.trials = 0
}

// Add takes the next block. Blocks without trials of both arms say nothing.
func (p *Proof) Add(block Block) {
	if block.Control.Trials > 0 && block.Candidate.Trials > 0 {
		base := p.past.share()
		p.log = max(worstLog, p.log+logE(block, base, base, p.bound))
		p.trials += block.Candidate.Trials
	}
	p.past.add(block.Control)
}

// Trials returns the number of the candidate's attempts since the last Restart.
func (p *Proof) Trials() int64 { return p.trials }

// Evidence returns the e-value against the hypothesis that the candidate's
// share is at least the bound above the control's.
func (p *Proof) Evidence() float64 { return math.Exp(p.log) }
