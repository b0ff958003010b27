package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured values.
type Line struct {
	// Base is the value at no hosts, Slope what each host adds.
	Base, Slope float64
	// Error is the largest distance of a measured value from the line, as a
	// share of the largest value.
	Error float64
}

// Fit returns the line of least squares through a value of samples by their
// number of hosts.
func Fit(samples []Sample, value func(Sample) float64) Line {
	xs := make([]float64, len(samples))
	ys := make([]float64, len(samples))
	for i, sample := range samples {
		xs[i] = float64(sample.Size.Hosts)
		ys[i] = value(sample)
	}
	line := Line{}
	line.Base, line.Slope = stat.LinearRegression(xs, ys, nil, false)
	highest := 0.0
	for i := range xs {
		highest = max(highest, math.Abs(ys[i]))
		line.Error = max(line.Error, math.Abs(ys[i]-line.At(xs[i])))
	}
	if highest > 0 {
		line.Error /= highest
	}
	return line
}

// At returns the line's value at a number of hosts.
func (l Line) At(hosts float64) float64 { return l.Base + l.Slope*hosts }
