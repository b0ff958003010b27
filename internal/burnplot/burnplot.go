// Package burnplot draws burn rates of service-level reports.
package burnplot

import (
	"bytes"
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/marigoldmux/marigoldmux/internal/burn"
)

// ErrPlot is the root of errors from plotting.
var ErrPlot = eris.New("plot failed")

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	barWidth   = 0.4 * vg.Centimeter
)

// palette holds the colours of the routes. They can also be distinguished with
// red-green colour blindness.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xe6, G: 0x9f, B: 0x00, A: 0xff},
	color.RGBA{R: 0x56, G: 0xb4, B: 0xe9, A: 0xff},
	color.RGBA{R: 0xcc, G: 0x79, B: 0xa7, A: 0xff},
	color.RGBA{R: 0x33, G: 0x33, B: 0x33, A: 0xff},
}

// SVGs returns an SVG plot for each service of a report: bars with the burn rate of
// each route over each window, and a dashed line at rate 1, which uses up exactly
// the error budget. Its errors wrap ErrPlot.
func SVGs(report burn.Report) ([][]byte, error) {
	byService := map[string][]burn.Line{}
	var services []string
	for _, line := range report.Lines {
		if line.Customer != burn.All {
			continue
		}
		if byService[line.Service] == nil {
			services = append(services, line.Service)
		}
		byService[line.Service] = append(byService[line.Service], line)
	}
	var drawn [][]byte
	for _, service := range services {
		svg, err := draw(service, byService[service], report.Windows)
		if err != nil {
			return nil, eris.Wrap(ErrPlot, err.Error())
		}
		drawn = append(drawn, svg)
	}
	return drawn, nil
}

func draw(service string, lines []burn.Line, windows []string) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Burn of " + service
	p.Y.Label.Text = "burn (1 uses up the budget)"
	p.Y.Min = 0
	p.NominalX(windows...)
	p.Legend.Top = true
	for i, line := range lines {
		values := make(plotter.Values, len(line.Windows))
		for w, window := range line.Windows {
			values[w] = window.Burn
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = palette[i%len(palette)]
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(lines)-1)/2)
		p.Add(bars)
		p.Legend.Add(line.Route, bars)
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(limit)
	p.Y.Max = max(p.Y.Max, 1)
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if _, err := writer.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
