package sequential

// Difference estimates the candidate's share of bad attempts minus the control's.
// Blocks have Mantel-Haenszel weights, so that a change in the candidate's share of
// the traffic during a disturbance of both arms does not appear as a difference.
type Difference struct {
	sum, weight float64
	trials      int64
}

// Add adds the next block. Blocks in which an arm has no trials are ignored.
func (d *Difference) Add(block Block) {
	a, b := float64(block.Control.Trials), float64(block.Candidate.Trials)
	if a == 0 || b == 0 {
		return
	}
	d.sum += (float64(block.Candidate.Bad)*a - float64(block.Control.Bad)*b) / (a + b)
	d.weight += a * b / (a + b)
	d.trials += block.Candidate.Trials
}

// Trials returns the number of the candidate's attempts in the blocks counted.
func (d *Difference) Trials() int64 { return d.trials }

// Share returns the estimated difference of shares, 0 before the first block.
func (d *Difference) Share() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.sum / d.weight
}
