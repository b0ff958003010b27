package burn

import (
	"fmt"
	"math"
	"sort"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// All is the customer of lines that add up all customers of a route.
const All = "(all)"

// minEvidence is the least likelihood ratio statistic at which a part of the
// system is named as a burner: chance reaches it once in a thousand.
const minEvidence = 10.83

// maxBurners bounds the parts that are named for one route.
const maxBurners = 3

// Dimension is a way in which attempts differ.
type Dimension string

// The dimensions, in the order in which equal evidence is decided.
const (
	ByVersion  Dimension = "version"
	ByZone     Dimension = "availability zone"
	ByUpstream Dimension = "upstream"
)

// Report tells how service levels stand.
type Report struct {
	At time.Time `json:"at"`
	// Hosts is the number of hosts that answered, Missing names the others.
	Hosts   int      `json:"hosts"`
	Missing []string `json:"missing,omitempty"`
	// Windows names the windows of each line.
	Windows []string `json:"windows"`
	Lines   []Line   `json:"lines"`
	Routes  []Route  `json:"routes"`
}

// Line is the account of one service, route and customer.
type Line struct {
	Service   string   `json:"service"`
	Route     string   `json:"route"`
	Customer  string   `json:"customer"`
	Objective float64  `json:"objective"`
	Windows   []Window `json:"windows"`
	// BudgetLeft is the share of the error budget of the longest window that
	// is left; it is below 0 when more than the budget was burned.
	BudgetLeft float64 `json:"budgetLeft"`
	// Reasons counts the bad requests of each window by reason.
	Reasons map[string][]int64 `json:"reasons,omitempty"`
}

// Window is the account of one window.
type Window struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
	// Burn is the rate at which the error budget is used: 1 uses it up exactly
	// over the window.
	Burn float64 `json:"burn"`
}

// Route tells what burned the budget of a route.
type Route struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	// Burners holds for each window the parts that stand out, the worst first.
	Burners [][]Burner `json:"burners"`
}

// Burner is a part of the system at which attempts fare worse than elsewhere.
type Burner struct {
	Dimension Dimension `json:"dimension"`
	Name      string    `json:"name"`
	// Attempts and Bad count the attempts there, and those that failed or were
	// late; OtherAttempts and OtherBad count those at all other parts.
	Attempts      int64 `json:"attempts"`
	Bad           int64 `json:"bad"`
	OtherAttempts int64 `json:"otherAttempts"`
	OtherBad      int64 `json:"otherBad"`
	// Burned counts the bad requests that are charged to it.
	Burned int64 `json:"burned"`
	// Evidence is the likelihood ratio statistic of the difference.
	Evidence float64 `json:"evidence"`
}

// Analyze turns merged accounts into a report. Routes that the document does
// not have are left out; a nil document gives an empty report.
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

// routeLines returns the line of all customers and one of each.
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

// burners names the parts at which attempts fare worse than elsewhere.
func burners(causes []*peerv1.BurnCause, window int) []Burner {
	var found []Burner
	for _, dimension := range []Dimension{ByVersion, ByZone, ByUpstream} {
		for _, b := range split(causes, dimension, window) {
			b.Evidence = evidence(b)
			if b.Evidence >= minEvidence {
				found = append(found, b)
			}
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].Evidence > found[j].Evidence })
	return found[:min(maxBurners, len(found))]
}

// split counts the attempts at each value of a dimension and beside it.
func split(causes []*peerv1.BurnCause, dimension Dimension, window int) []Burner {
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

// evidence returns the likelihood ratio statistic (G) of the hypothesis that
// attempts fare alike at a part and beside it, or 0 if they fare no worse there.
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

// deviance is twice the log likelihood gained by a rate of its own over a
// pooled rate, for a number of bad ones in a total.
func deviance(bad, total int64, pooled float64) float64 {
	return 2 * (gain(bad, total, pooled) + gain(total-bad, total, 1-pooled))
}

func gain(count, total int64, pooled float64) float64 {
	if count == 0 {
		return 0
	}
	return float64(count) * math.Log(float64(count)/float64(total)/pooled)
}
