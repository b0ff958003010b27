// Package duty performs the duties, the tasks that one gateway host at a time does for
// the whole deployment: it reports usage, orders capacity and decides on rollouts. The
// host that does them, their holder, is elected by conditional writes to a ledger in
// the log; each holder has a fencing token above those of all earlier ones.
package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// ErrLedger is returned for a ledger that cannot be decoded or encoded.
var ErrLedger = eris.New("invalid ledger")

// Report is the usage of one window: the number of requests by customer.
type Report struct {
	// Window is the number of the window, see usage.Counter.
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Order sets the number of upstreams of one kind that a service is to have in an
// availability zone.
type Order struct {
	Service, Zone string
	Count         int
	// Spot is set when Count is the number of upstreams that may be reclaimed;
	// otherwise it is the number of on-demand ones.
	Spot bool
}

// Outcome is what is known of the effect of a call.
type Outcome int

// The outcomes of calls.
const (
	// NotDone: the call had no effect and may be repeated.
	NotDone Outcome = iota
	// OutcomeUnknown: the call may have taken effect, or may still do so.
	OutcomeUnknown
	// Done: the call took effect.
	Done
	// Refused: a newer token was used, or the ordered capacity is not available.
	Refused
)

// Grant is the permission to act as holder of the duties.
type Grant struct {
	// Token is the fencing token.
	Token int64
	// Until is the boot time from which the call must not be sent: another host may
	// hold the duties then, and not every API checks tokens.
	Until time.Duration
}

// Cloud receives the calls of the holder of the duties.
type Cloud interface {
	ReportUsage(ctx context.Context, grant Grant, report Report) (Outcome, error)
	OrderCapacity(ctx context.Context, grant Grant, order Order) (Outcome, error)
}

// Counts holds numbers of requests by customer.
type Counts map[string]int64

// Ledger is the stored state of the duties. Every write replaces all of it. No method
// changes it; those that return a Ledger return a changed copy.
type Ledger struct {
	// Holder is the host that holds the duties, "" after it released them.
	Holder string `json:"holder"`
	// Incarnation identifies the holder's process; it is 0 without a holder.
	Incarnation uint64 `json:"incarnation"`
	// RecentHolders holds the latest holders, the newest last. No host is in it twice in
	// a row.
	RecentHolders []string `json:"recent,omitempty"`
	// Token is the fencing token of the latest holder.
	Token int64 `json:"token"`
	// WriteID is a random number that identifies the write.
	WriteID uint64 `json:"write"`
	// Reports holds the newest finalized reports by window, sent or not.
	Reports map[int64]Counts `json:"reports,omitempty"`
	// NextWindow is the first window without a finalized report.
	NextWindow int64 `json:"nextWindow"`
	// OpenCounts holds the counts of windows without a report, by window and
	// incarnation of the counting process.
	OpenCounts map[int64]map[uint64]Counts `json:"open,omitempty"`
	// Packed holds OpenCounts in its stored form where there are many; it is empty
	// otherwise. A former build passes over it.
	Packed []byte `json:"packed,omitempty"`
	// ConfigVersion is the newest configuration version that a holder of this epoch knew to
	// be in force, 0 if there is none.
	ConfigVersion int64 `json:"config,omitempty"`
	// Rollouts holds the progress of rollouts by service.
	Rollouts map[string]rollout.Progress `json:"moves,omitempty"`
}

// maxReports is the number of reports that a ledger keeps for the next holder.
const maxReports = 4

// maxRecentHolders is the maximum length of Ledger.RecentHolders.
const maxRecentHolders = 6

// Replaced reports whether a host held the duties and another one did after it.
func (l Ledger) Replaced(host string) bool {
	return slices.Contains(l.RecentHolders, host) && l.RecentHolders[len(l.RecentHolders)-1] != host
}

// ParseLedger decodes a ledger. Empty data is an empty ledger. Errors wrap ErrLedger.
func ParseLedger(data []byte) (Ledger, error) {
	var l Ledger
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return Ledger{}, eris.Wrap(ErrLedger, err.Error())
	}
	if len(l.Packed) > 0 {
		open, err := unpackCounts(l.Packed)
		if err != nil {
			return Ledger{}, err
		}
		l.OpenCounts, l.Packed = open, nil
	}
	return l, nil
}

// Encode returns the ledger as JSON. Errors wrap ErrLedger.
func (l Ledger) Encode() ([]byte, error) {
	if l.processes() > maxPlainProcesses {
		packed, err := packCounts(l.OpenCounts)
		if err != nil {
			return nil, err
		}
		l.Packed, l.OpenCounts = packed, nil
	}
	data, err := json.Marshal(l)
	if err != nil {
		return nil, eris.Wrap(ErrLedger, err.Error())
	}
	return data, nil
}

// epochTokens is the number of tokens of an epoch of the log. Two to the 21st epochs of as many
// tokens fit in a number that JSON readers can hold exactly.
const epochTokens = 1 << 32

// OfEpoch reports whether the latest claim was made in an epoch of the log. A ledger of an
// earlier one comes from a copy, or was written late: its holder holds nothing any more.
func (l Ledger) OfEpoch(epoch int64) bool { return l.Token/epochTokens == epoch }

// tokenStride is the distance of tokens in the first epoch of the log.
const tokenStride = 1 << 10

// claimToken returns the token of a claim that is written at a position.
//
// Scenario: the log comes back from a copy without the latest claims, and a late write of a
// former epoch lands in the new one. The tokens of an epoch are above all of earlier ones, and
// as no offset is given out twice in it, so is no token. Builds that know no epochs run beside
// this one and claim with the copy's token plus 1: the stride keeps them off the tokens of claims
// that are lost.
func (l Ledger) claimToken(at topic.Position) int64 {
	if at.Epoch == 0 {
		return l.Token + tokenStride
	}
	return max(l.Token, at.Epoch*epochTokens+at.Offset) + 1
}

// Claim returns the ledger with a new holder, claimed at a position in the log. An empty
// ledger starts at the given window.
func (l Ledger) Claim(host string, incarnation uint64, window int64, at topic.Position) Ledger {
	next := l.clone()
	if len(l.RecentHolders) == 0 || l.RecentHolders[len(l.RecentHolders)-1] != host {
		next.RecentHolders = append(next.RecentHolders, host)
		next.RecentHolders = next.RecentHolders[max(len(next.RecentHolders)-maxRecentHolders, 0):]
	}
	next.Holder, next.Incarnation = host, incarnation
	if !l.OfEpoch(at.Epoch) {
		next.ConfigVersion = 0
	}
	next.Token = l.claimToken(at)
	if next.NextWindow == 0 {
		next.NextWindow = window
	}
	return next
}

// WithoutReportsBefore returns the ledger without reports of the windows before the given
// one, but for those that are known.
func (l Ledger) WithoutReportsBefore(window int64, known map[int64]Counts) Ledger {
	next := l.clone()
	next.NextWindow = max(next.NextWindow, window)
	next.Reports = maps.Clone(known)
	if next.Reports == nil {
		next.Reports = map[int64]Counts{}
	}
	maps.DeleteFunc(next.OpenCounts, func(window int64, _ map[uint64]Counts) bool { return window < next.NextWindow })
	return next
}

// Release returns the ledger without a holder, so that another host may claim it at
// once.
func (l Ledger) Release() Ledger {
	next := l.clone()
	next.Holder, next.Incarnation = "", 0
	return next
}

func (l Ledger) clone() Ledger {
	next := l
	next.RecentHolders = slices.Clone(l.RecentHolders)
	next.Reports = maps.Clone(l.Reports)
	if next.Reports == nil {
		next.Reports = map[int64]Counts{}
	}
	next.Rollouts = maps.Clone(l.Rollouts)
	next.OpenCounts = map[int64]map[uint64]Counts{}
	for window, byIncarnation := range l.OpenCounts {
		next.OpenCounts[window] = maps.Clone(byIncarnation)
	}
	return next
}

// Merge returns the ledger with counts of processes, by window and incarnation, merged
// into the open windows; counts only grow.
func (l Ledger) Merge(observed map[int64]map[uint64]Counts) Ledger {
	next := l.clone()
	for window, byIncarnation := range observed {
		if window < l.NextWindow {
			continue
		}
		if next.OpenCounts[window] == nil {
			next.OpenCounts[window] = map[uint64]Counts{}
		}
		for incarnation, counts := range byIncarnation {
			next.OpenCounts[window][incarnation] = maxCounts(next.OpenCounts[window][incarnation], counts)
		}
	}
	return next
}

// maxCounts returns the larger count of each customer.
func maxCounts(a, b Counts) Counts {
	merged := maps.Clone(a)
	if merged == nil {
		merged = Counts{}
	}
	for customer, count := range b {
		merged[customer] = max(merged[customer], count)
	}
	return merged
}

// FinalizeReports returns the ledger with the reports of all windows before the given
// one, which sum the counts of processes. Only the newest reports are kept; it passes over
// windows further back, of which there are many after a clock was wrong.
func (l Ledger) FinalizeReports(before int64) Ledger {
	next := l.clone()
	next.NextWindow = max(next.NextWindow, before-maxReports)
	for ; next.NextWindow < before; next.NextWindow++ {
		total := Counts{}
		for _, counts := range next.OpenCounts[next.NextWindow] {
			for customer, count := range counts {
				total[customer] += count
			}
		}
		next.Reports[next.NextWindow] = total
		delete(next.OpenCounts, next.NextWindow)
	}
	for window := range next.Reports {
		if window < next.NextWindow-maxReports {
			delete(next.Reports, window)
		}
	}
	maps.DeleteFunc(next.OpenCounts, func(window int64, _ map[uint64]Counts) bool { return window < next.NextWindow })
	return next
}
