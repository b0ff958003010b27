package sequential_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/sequential"
)

const (
	runs   = 400
	blocks = 300
)

func draw(r *rand.Rand, trials int64, share float64) sequential.Counts {
	counts := sequential.Counts{Trials: trials}
	for range trials {
		if r.Float64() < share {
			counts.Bad++
		}
	}
	return counts
}

// alarms returns the number of runs in which the evidence ever reaches a level.
func alarms(level float64, control, candidate func(block int) float64) int {
	count := 0
	for seed := range uint64(runs) {
		r := rand.New(rand.NewPCG(seed, 7))
		d := sequential.NewDetector(0.01, blocks)
		for i := range blocks {
			d.Add(sequential.Block{Control: draw(r, 20, control(i)), Candidate: draw(r, 2, candidate(i))})
			if d.Evidence() >= level {
				count++
				break
			}
		}
	}
	return count
}

func steady(share float64) func(int) float64 { return func(int) float64 { return share } }

func TestFalseAlarmRateIsBounded(t *testing.T) {
	disturbed := func(block int) float64 {
		if block > 100 && block < 120 {
			return 0.5
		}
		return 0.01
	}
	limit := runs / 20
	require.LessOrEqual(t, alarms(20, steady(0.01), steady(0.02)), limit)
	require.LessOrEqual(t, alarms(20, steady(0.2), steady(0.2)), limit)
	require.LessOrEqual(t, alarms(20, disturbed, disturbed), limit, "false alarms during a disturbance of both arms")
}

func TestBadCandidateIsDetectedEarlyAndLate(t *testing.T) {
	late := func(block int) float64 {
		if block > 200 {
			return 0.5
		}
		return 0.01
	}
	require.Equal(t, runs, alarms(1000, steady(0.01), steady(0.3)))
	require.Equal(t, runs, alarms(1000, steady(0.01), late))
}

func TestProofRequiresGoodCandidate(t *testing.T) {
	proved := func(share float64) int {
		count := 0
		for seed := range uint64(runs) {
			r := rand.New(rand.NewPCG(seed, 9))
			p := sequential.NewProof(0.05)
			for range blocks {
				p.Add(sequential.Block{Control: draw(r, 20, 0.01), Candidate: draw(r, 2, share)})
				if p.Evidence() >= 20 {
					count++
					break
				}
			}
		}
		return count
	}
	require.GreaterOrEqual(t, proved(0.01), runs*95/100)
	require.LessOrEqual(t, proved(0.06), runs/20)
	require.Zero(t, proved(0.3))
}

func TestDifferenceIsUnbiasedWhenTrafficShiftsInDisturbance(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 3))
	var d sequential.Difference
	var pooled sequential.Block
	for i := range blocks {
		share, control, candidate := 0.01, int64(18), int64(2)
		if i >= blocks/2 {
			share, control, candidate = 0.4, 2, 18
		}
		block := sequential.Block{Control: draw(r, control, share), Candidate: draw(r, candidate, share)}
		d.Add(block)
		pooled.Control.Add(block.Control)
		pooled.Candidate.Add(block.Candidate)
	}
	ratio := func(c sequential.Counts) float64 { return float64(c.Bad) / float64(c.Trials) }
	require.Greater(t, ratio(pooled.Candidate)-ratio(pooled.Control), 0.2, "the difference of the plain ratios is biased")
	require.InDelta(t, 0, d.Share(), 0.05)
}
