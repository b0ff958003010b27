package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Line is a straight line through measured values.
type Line struct {
	// Base is the value at zero hosts, Slope the increase per host.
	Base, Slope float64
	// Error is the largest deviation of a measured value from the line, as a
	// share of the largest absolute value.
	Error float64
}

// Fit returns the least-squares line through a value of the samples against
// their number of hosts.
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
