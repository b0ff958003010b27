// Package duty does what one host at a time does for all: it reports usage and
// orders capacity. Who does it is settled by conditional writes to a ledger in
// the log; each holder has a fencing token above that of all earlier ones.
package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
)

// ErrLedger says that the ledger cannot be understood.
var ErrLedger = eris.New("ledger cannot be understood")

// Report is the usage of one window.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Order asks for a number of upstreams in an availability zone.
type Order struct {
	Service, Zone string
	Count         int
	// Spot asks for upstreams that may be reclaimed; they are counted apart.
	Spot bool
}

// Outcome is what is known of a call.
type Outcome int

// The outcomes of calls.
const (
	// NotDone: the call had no effect and may be repeated.
	NotDone Outcome = iota
	// OutcomeUnknown: the call may take effect, also later.
	OutcomeUnknown
	// Done: the call took effect.
	Done
	// Refused: a newer holder acts, or what was asked for is not to be had.
	Refused
)

// Cloud takes the calls of duties.
type Cloud interface {
	ReportUsage(ctx context.Context, token int64, report Report) (Outcome, error)
	OrderCapacity(ctx context.Context, token int64, order Order) (Outcome, error)
}

// Counts holds counted requests by customer.
type Counts map[string]int64

// Ledger is the state of the duties. Every write replaces it whole.
type Ledger struct {
	// Holder is the host that holds the duties, "" after it left.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Recent are the latest holders, the newest last; none stands twice in a row.
	Recent []string `json:"recent,omitempty"`
	Token  int64    `json:"token"`
	// Write identifies the write.
	Write uint64 `json:"write"`
	// Reports are the newest reports as they were or will be sent, by window.
	Reports map[int64]Counts `json:"reports,omitempty"`
	// NextWindow is the first window without a report.
	NextWindow int64 `json:"nextWindow"`
	// Open holds the counts of windows without a report, by process.
	Open map[int64]map[uint64]Counts `json:"open,omitempty"`
	// Rollouts are the rollouts by service.
	Rollouts map[string]rollout.Progress `json:"moves,omitempty"`
}

// keepReports is the number of reports that a ledger holds for a successor.
const keepReports = 4

// keepHolders is the number of holders that a ledger remembers.
const keepHolders = 6

// Replaced reports whether another host held the duties after a host did.
func (l Ledger) Replaced(host string) bool {
	return slices.Contains(l.Recent, host) && l.Recent[len(l.Recent)-1] != host
}

// ParseLedger reads a ledger; no bytes are an empty one.
func ParseLedger(data []byte) (Ledger, error) {
	var l Ledger
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, eris.Wrap(ErrLedger, err.Error())
	}
	return l, nil
}

// Encode returns the ledger as bytes.
func (l Ledger) Encode() ([]byte, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	return data, nil
}

// Claim returns the ledger with a new holder, from a window on.
func (l Ledger) Claim(host string, incarnation uint64, window int64) Ledger {
	next := l.clone()
	if len(l.Recent) == 0 || l.Recent[len(l.Recent)-1] != host {
		next.Recent = append(next.Recent, host)
		next.Recent = next.Recent[max(len(next.Recent)-keepHolders, 0):]
	}
	next.Holder, next.Incarnation = host, incarnation
	next.Token++
	if next.NextWindow == 0 {
		next.NextWindow = window
	}
	return next
}

// Release returns the ledger without a holder.
func (l Ledger) Release() Ledger {
	next := l.clone()
	next.Holder, next.Incarnation = "", 0
	return next
}

func (l Ledger) clone() Ledger {
	next := l
	next.Recent = slices.Clone(l.Recent)
	next.Reports = maps.Clone(l.Reports)
	if next.Reports == nil {
		next.Reports = map[int64]Counts{}
	}
	next.Rollouts = maps.Clone(l.Rollouts)
	next.Open = map[int64]map[uint64]Counts{}
	for window, processes := range l.Open {
		next.Open[window] = maps.Clone(processes)
	}
	return next
}

// Merge returns the ledger with the counts of processes taken in; counts only
// grow.
func (l Ledger) Merge(seen map[int64]map[uint64]Counts) Ledger {
	next := l.clone()
	for window, processes := range seen {
		if window < l.NextWindow {
			continue
		}
		if next.Open[window] == nil {
			next.Open[window] = map[uint64]Counts{}
		}
		for process, counts := range processes {
			next.Open[window][process] = larger(next.Open[window][process], counts)
		}
	}
	return next
}

func larger(a, b Counts) Counts {
	merged := maps.Clone(a)
	if merged == nil {
		merged = Counts{}
	}
	for customer, count := range b {
		merged[customer] = max(merged[customer], count)
	}
	return merged
}

// FinalizeReports returns the ledger with the reports of all windows before one settled.
func (l Ledger) FinalizeReports(before int64) Ledger {
	next := l.clone()
	for ; next.NextWindow < before; next.NextWindow++ {
		total := Counts{}
		for _, counts := range next.Open[next.NextWindow] {
			for customer, count := range counts {
				total[customer] += count
			}
		}
		next.Reports[next.NextWindow] = total
		delete(next.Open, next.NextWindow)
	}
	for window := range next.Reports {
		if window < next.NextWindow-keepReports {
			delete(next.Reports, window)
		}
	}
	return next
}
