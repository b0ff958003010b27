package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnPadding = 2

// WriteText writes the report as readable text with aligned columns.
func (r Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	p := printer{w: w}
	p.printf("service-level burn at %s, from %d hosts\n", r.At.UTC().Format("2006-01-02 15:04:05Z"), r.Hosts)
	if len(r.Missing) > 0 {
		p.printf("no answer from: %s\n", strings.Join(r.Missing, ", "))
	}
	p.printf("\nSERVICE\tROUTE\tCUSTOMER\tOBJECTIVE\tBUDGET LEFT")
	for _, window := range r.Windows {
		p.printf("\tBURN %s", window)
	}
	p.printf("\n")
	for _, line := range r.Lines {
		p.line(line)
	}
	p.printf("\n")
	for _, route := range r.Routes {
		p.route(route, r.Windows)
	}
	if p.err != nil {
		return p.err
	}
	return w.Flush()
}

// printer writes formatted text and keeps the first error; later writes are
// skipped.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) line(line Line) {
	p.printf("%s\t%s\t%s\t%g\t%.1f%%", line.Service, line.Route, line.Customer, line.Objective, 100*line.BudgetLeft)
	for _, window := range line.Windows {
		p.printf("\t%.2f (%d/%d)", window.Burn, window.Bad, window.Total)
	}
	p.printf("\n")
}

// route prints the burners of the shortest window with burners.
func (p *printer) route(route Route, windows []string) {
	described := route.Describe(windows)
	if len(described) == 0 {
		p.printf("%s/%s: no version, availability zone or upstream stands out\n", route.Service, route.Route)
	}
	for _, line := range described {
		p.printf("%s\n", line)
	}
}

// Describe returns a line of text for each burner of the shortest window with
// burners, given the names of the windows.
func (r Route) Describe(windows []string) []string {
	var lines []string
	for w, burners := range r.Burners {
		for _, b := range burners {
			lines = append(lines, fmt.Sprintf("%s/%s burned by %s", r.Service, r.Route, b.describe(windows[w])))
		}
		if len(lines) > 0 {
			break
		}
	}
	return lines
}

func (b Burner) describe(window string) string {
	return fmt.Sprintf("%s %s: %d of %d attempts bad in %s (elsewhere %d of %d), %d requests charged",
		b.Dimension, b.Name, b.Bad, b.Attempts, window, b.OtherBad, b.OtherAttempts, b.Burned)
}
