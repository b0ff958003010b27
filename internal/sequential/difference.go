package sequential

// Difference estimates how far the candidate's share of bad attempts lies above
// the control's. Each block counts by what it can tell of both (the weights of
// Mantel and Haenszel), so that a share of the traffic which changes while both
// arms are disturbed does not show as a difference.
type Difference struct {
	sum, weight float64
	trials      int64
}

// Add takes the next block. Blocks without trials of both arms say nothing.
func (d *Difference) Add(block Block) {
	a, b := float64(block.Control.Trials), float64(block.Candidate.Trials)
	if a == 0 || b == 0 {
		return
	}
	d.sum += (float64(block.Candidate.Bad)*a - float64(block.Control.Bad)*b) / (a + b)
	d.weight += a * b / (a + b)
	d.trials += block.Candidate.Trials
}

// Trials returns the number of the candidate's attempts that were counted.
func (d *Difference) Trials() int64 { return d.trials }

// Share returns the estimate, 0 before the first block.
func (d *Difference) Share() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.sum / d.weight
}
