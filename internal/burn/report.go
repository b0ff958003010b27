package burn

import (
	"fmt"
	"math"
	"sort"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// All is the customer name of the line with the sums over a route's customers.
const All = "(all)"

// minEvidence is the likelihood ratio statistic from which a part of the system is
// reported as a burner: the 0.999 quantile of the chi-squared distribution with one
// degree of freedom, so chance reaches it once in a thousand.
const minEvidence = 10.83

// maxBurners limits the burners reported for one route and window.
const maxBurners = 3

// Dimension is an attribute by which attempts are grouped.
type Dimension string

// The dimensions. With equal evidence, burners of earlier ones are listed first.
const (
	ByVersion  Dimension = "version"
	ByZone     Dimension = "availability zone"
	ByUpstream Dimension = "upstream"
)

// Report is the state of service levels and error budgets at a time.
type Report struct {
	At time.Time `json:"at"`
	// Hosts is the number of hosts that responded; Missing lists the IDs of the
	// others.
	Hosts   int      `json:"hosts"`
	Missing []string `json:"missing,omitempty"`
	// Windows holds the names of the windows, such as "5m", in the order of those
	// of each line and route.
	Windows []string `json:"windows"`
	Lines   []Line   `json:"lines"`
	Routes  []Route  `json:"routes"`
}

// Line holds the figures of one service, route and customer.
type Line struct {
	Service   string   `json:"service"`
	Route     string   `json:"route"`
	Customer  string   `json:"customer"`
	Objective float64  `json:"objective"`
	Windows   []Window `json:"windows"`
	// BudgetLeft is the fraction of the longest window's error budget that is
	// left; it is negative if the budget is overdrawn.
	BudgetLeft float64 `json:"budgetLeft"`
	// Reasons holds the numbers of bad requests by reason, for each window.
	Reasons map[string][]int64 `json:"reasons,omitempty"`
}

// Window holds the figures of one window.
type Window struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
	// Burn is the burn rate of the error budget: a rate of 1 uses it up exactly over
	// the window.
	Burn float64 `json:"burn"`
}

// Route lists the parts of the system that used the error budget of a route.
type Route struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	// Burners holds the burners of each window, strongest evidence first.
	Burners [][]Burner `json:"burners"`
}

// Burner is a part of the system whose attempts fail or are late significantly
// more often than those elsewhere.
type Burner struct {
	Dimension Dimension `json:"dimension"`
	Name      string    `json:"name"`
	// Attempts counts the attempts at the part, and Bad those of them that failed
	// or were late; OtherAttempts and OtherBad count those at all other parts.
	Attempts      int64 `json:"attempts"`
	Bad           int64 `json:"bad"`
	OtherAttempts int64 `json:"otherAttempts"`
	OtherBad      int64 `json:"otherBad"`
	// Burned counts the bad requests that are charged to the part.
	Burned int64 `json:"burned"`
	// Evidence is the likelihood ratio statistic (G) of the difference.
	Evidence float64 `json:"evidence"`
}

// Analyze returns the report of merged counts. Routes without counts and routes
// that are not in the document are left out; with a nil document the report has
// only hosts and windows.
func Analyze(accounts *peerv1.InspectResponse, doc *document.Document, now time.Time) Report {
	report := Report{At: now}
	for _, window := range Windows {
		report.Windows = append(report.Windows, windowName(window))
	}
	for _, host := range accounts.GetHosts() {
		if host.GetReached() {
			report.Hosts++
		} else {
			report.Missing = append(report.Missing, host.GetId())
		}
	}
	if doc == nil {
		return report
	}
	for _, service := range doc.Services {
		for _, route := range service.Routes {
			lines := routeLines(accounts, service.Name, route)
			if len(lines) == 0 {
				continue
			}
			report.Lines = append(report.Lines, lines...)
			report.Routes = append(report.Routes, routeBurners(accounts, service.Name, route.Name))
		}
	}
	return report
}

func windowName(window time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case window%day == 0:
		return fmt.Sprintf("%dd", window/day)
	case window%time.Hour == 0:
		return fmt.Sprintf("%dh", window/time.Hour)
	default:
		return fmt.Sprintf("%dm", window/time.Minute)
	}
}

// routeLines returns the line of all customers, then one for each customer, or nil
// if the route has no counts.
func routeLines(accounts *peerv1.InspectResponse, service string, route document.Route) []Line {
	all := &peerv1.BurnSeries{Service: service, Route: route.Name, Customer: All}
	lines := []Line{{}}
	for _, entry := range accounts.GetSeries() {
		if entry.GetService() != service || entry.GetRoute() != route.Name {
			continue
		}
		addSeries(all, entry)
		lines = append(lines, newLine(entry, route.Objective))
	}
	if len(lines) == 1 {
		return nil
	}
	lines[0] = newLine(all, route.Objective)
	return lines
}

func newLine(entry *peerv1.BurnSeries, objective float64) Line {
	line := Line{
		Service: entry.GetService(), Route: entry.GetRoute(), Customer: entry.GetCustomer(), Objective: objective,
	}
	for _, count := range entry.GetWindows() {
		window := Window{Total: count.GetTotal(), Bad: count.GetBad()}
		if window.Total > 0 {
			window.Burn = float64(window.Bad) / float64(window.Total) / (1 - objective)
		}
		line.Windows = append(line.Windows, window)
	}
	line.BudgetLeft = 1
	if len(line.Windows) > 0 {
		line.BudgetLeft = 1 - line.Windows[len(line.Windows)-1].Burn
	}
	for _, reason := range entry.GetReasons() {
		if line.Reasons == nil {
			line.Reasons = map[string][]int64{}
		}
		line.Reasons[reason.GetReason()] = reason.GetBad()
	}
	return line
}

func routeBurners(accounts *peerv1.InspectResponse, service, route string) Route {
	result := Route{Service: service, Route: route}
	var causes []*peerv1.BurnCause
	for _, c := range accounts.GetCauses() {
		if c.GetService() == service && c.GetRoute() == route {
			causes = append(causes, c)
		}
	}
	for w := range Windows {
		result.Burners = append(result.Burners, burners(causes, w))
	}
	return result
}

// burners returns the parts with the strongest evidence of attempts that fail or
// are late more often than elsewhere.
func burners(causes []*peerv1.BurnCause, window int) []Burner {
	var found []Burner
	for _, dimension := range []Dimension{ByVersion, ByZone, ByUpstream} {
		for _, b := range countByValue(causes, dimension, window) {
			b.Evidence = evidence(b)
			if b.Evidence >= minEvidence {
				found = append(found, b)
			}
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Evidence > found[j].Evidence })
	return found[:min(maxBurners, len(found))]
}

// countByValue counts the attempts at each value of a dimension and at all others.
func countByValue(causes []*peerv1.BurnCause, dimension Dimension, window int) []Burner {
	byName := map[string]*Burner{}
	var names []string
	var attempts, bad int64
	for _, c := range causes {
		if window >= len(c.GetWindows()) || window >= len(c.GetBurned()) {
			continue
		}
		name := valueOf(c, dimension)
		if byName[name] == nil {
			byName[name] = &Burner{Dimension: dimension, Name: name}
			names = append(names, name)
		}
		count := c.GetWindows()[window]
		byName[name].Attempts += count.GetTotal()
		byName[name].Bad += count.GetBad()
		byName[name].Burned += c.GetBurned()[window]
		attempts += count.GetTotal()
		bad += count.GetBad()
	}
	sort.Strings(names)
	parts := make([]Burner, len(names))
	for i, name := range names {
		parts[i] = *byName[name]
		parts[i].OtherAttempts = attempts - parts[i].Attempts
		parts[i].OtherBad = bad - parts[i].Bad
	}
	return parts
}

func valueOf(c *peerv1.BurnCause, dimension Dimension) string {
	switch dimension {
	case ByVersion:
		return c.GetVersion()
	case ByZone:
		return c.GetZone()
	default:
		return c.GetUpstream()
	}
}

// evidence returns the likelihood ratio statistic (G) against the hypothesis that
// attempts at a part and elsewhere are bad at the same rate. It is 0 if the part's
// rate is not higher, or if either side has no attempts.
func evidence(b Burner) float64 {
	if b.Attempts == 0 || b.OtherAttempts == 0 {
		return 0
	}
	if float64(b.Bad)*float64(b.OtherAttempts) <= float64(b.OtherBad)*float64(b.Attempts) {
		return 0
	}
	pooled := float64(b.Bad+b.OtherBad) / float64(b.Attempts+b.OtherAttempts)
	return deviance(b.Bad, b.Attempts, pooled) + deviance(b.OtherBad, b.OtherAttempts, pooled)
}

// deviance returns twice the gain in log likelihood of the observed rate, bad of
// total, over the pooled rate.
func deviance(bad, total int64, pooled float64) float64 {
	return 2 * (logLikelihoodGain(bad, total, pooled) + logLikelihoodGain(total-bad, total, 1-pooled))
}

func logLikelihoodGain(count, total int64, pooled float64) float64 {
	if count == 0 {
		return 0
	}
	return float64(count) * math.Log(float64(count)/float64(total)/pooled)
}
