package sequential

import "math"

// minLogEvidence is the lower bound on the logarithm of a Proof's evidence, so that
// a proof remains possible after a disturbance.
const minLogEvidence = -5

// Proof accumulates evidence that a candidate's share of bad attempts exceeds the
// control's by less than a bound.
type Proof struct {
	bound       float64
	baseline    controlEstimate
	logEvidence float64
	trials      int64
}

// NewProof returns a proof without evidence. The bound is a difference of shares.
func NewProof(bound float64) *Proof {
	return &Proof{bound: bound}
}

// Restart resets the evidence and keeps the estimate of the control's share.
func (p *Proof) Restart() {
	p.logEvidence = 0
	p.trials = 0
}

// Add adds the next block. A block in which an arm has no trials gives no evidence.
func (p *Proof) Add(block Block) {
	if block.Control.Trials > 0 && block.Candidate.Trials > 0 {
		base := p.baseline.share()
		p.logEvidence = max(minLogEvidence, p.logEvidence+logE(block, base, base, p.bound))
		p.trials += block.Candidate.Trials
	}
	p.baseline.add(block.Control)
}

// Trials returns the number of the candidate's attempts in the blocks counted since
// the last Restart.
func (p *Proof) Trials() int64 { return p.trials }

// Evidence returns the e-value against the null hypothesis that the candidate's
// share exceeds the control's by at least the bound.
func (p *Proof) Evidence() float64 { return math.Exp(p.logEvidence) }
