// Package burn accounts for service levels: which share of requests ended
// whole and on time, how much of each error budget is left, and which version,
// availability zone or upstream burned it.
package burn

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// stripes is the number of locks among which the accounts are spread.
	stripes = 8
	// maxSeries and maxCauses bound the accounts of one stripe. What comes
	// beyond is counted under the name Other.
	maxSeries = 128
	maxCauses = 128
)

// Other is the name of customers and upstreams beyond the bound on accounts.
const Other = "(other)"

// ReasonLate is the reason of requests that were answered late.
const ReasonLate = "late"

// ReasonWaited is the reason of requests that were late although no attempt
// was: they waited for an upstream.
const ReasonWaited = "waited"

// Recorder counts the ends of requests and of attempts on one host. It is not
// part of the control state: the control loop may drop inputs when it is
// behind, which is when the account matters most.
type Recorder struct {
	stripes [stripes]stripe
}

type stripe struct {
	mu     sync.Mutex
	series map[seriesKey]*series
	causes map[causeKey]*cause
}

type seriesKey struct{ service, route, customer string }

type series struct {
	counts  counts
	reasons map[string]*counts
}

// reason returns the counts of bad requests of one reason.
func (s *series) reason(name string) *counts {
	if s.reasons[name] == nil {
		s.reasons[name] = &counts{}
	}
	return s.reasons[name]
}

type causeKey struct{ service, route, version, zone, upstream string }

type cause struct {
	// attempts counts attempts, burned the bad requests charged to them.
	attempts, burned counts
}

// NewRecorder returns a recorder without accounts.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.stripes {
		r.stripes[i].series = map[seriesKey]*series{}
		r.stripes[i].causes = map[causeKey]*cause{}
	}
	return r
}

func (r *Recorder) stripe(service, route string) *stripe {
	return &r.stripes[xxhash.Sum64String(service+"\x00"+route)%stripes]
}

// Ended counts the end of a request. Requests that ended through a fault or a
// wish of their caller are not counted.
func (r *Recorder) Ended(end dispatch.RequestEnded) {
	reason, counted := classify(end)
	if !counted {
		return
	}
	s := r.stripe(end.Service, end.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.account(seriesKey{end.Service, end.Route, end.Customer}, end.At)
	account.counts.add(end.At, reason != "")
	if reason == "" {
		return
	}
	account.reason(reason).add(end.At, true)
	if end.FirstBad != nil {
		s.cause(keyOf(end.FirstBad), end.At).burned.add(end.At, true)
	}
}

// classify returns why a request counts as bad, or "" for a good one.
func classify(end dispatch.RequestEnded) (reason string, counted bool) {
	switch end.Reason {
	case request.ReasonInvalid, request.ReasonCancelled, request.ReasonCustomerLimit,
		request.ReasonHeldBack, request.ReasonClaimedBefore, request.ReasonKeyExpired:
		return "", false
	}
	switch {
	case end.Outcome != request.Answer:
		return string(end.Reason), true
	case end.Late && end.FirstBad == nil:
		return ReasonWaited, true
	case end.Late:
		return ReasonLate, true
	default:
		return "", true
	}
}

// Attempt counts the end of an attempt.
func (r *Recorder) Attempt(ended control.AttemptEnded, now time.Time) {
	s := r.stripe(ended.Service, ended.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cause(keyOf(&ended), now).attempts.add(now, ended.Failure != nil || ended.Late)
}

func keyOf(ended *control.AttemptEnded) causeKey {
	return causeKey{ended.Service, ended.Route, ended.Version, ended.Zone, ended.Upstream}
}

func (s *stripe) account(key seriesKey, now time.Time) *series {
	if s.series[key] == nil && len(s.series) >= maxSeries {
		s.prune(now)
		if len(s.series) >= maxSeries {
			key.customer = Other
		}
	}
	account := s.series[key]
	if account == nil {
		account = &series{reasons: map[string]*counts{}}
		s.series[key] = account
	}
	return account
}

func (s *stripe) cause(key causeKey, now time.Time) *cause {
	if s.causes[key] == nil && len(s.causes) >= maxCauses {
		s.prune(now)
		if len(s.causes) >= maxCauses {
			key.upstream, key.zone = Other, Other
		}
	}
	c := s.causes[key]
	if c == nil {
		c = &cause{}
		s.causes[key] = c
	}
	return c
}

// prune drops the accounts that counted nothing in the longest window.
func (s *stripe) prune(now time.Time) {
	for key, account := range s.series {
		if account.counts.empty(now) {
			delete(s.series, key)
		}
	}
	for key, c := range s.causes {
		if c.attempts.empty(now) && c.burned.empty(now) {
			delete(s.causes, key)
		}
	}
}

// Report returns all accounts at a time.
func (r *Recorder) Report(now time.Time) *peerv1.InspectResponse {
	report := &peerv1.InspectResponse{}
	for i := range r.stripes {
		r.stripes[i].report(now, report)
	}
	sortReport(report)
	return report
}

func (s *stripe) report(now time.Time, report *peerv1.InspectResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, account := range s.series {
		entry := &peerv1.BurnSeries{
			Service: key.service, Route: key.route, Customer: key.customer, Windows: account.counts.sums(now),
		}
		for reason, c := range account.reasons {
			entry.Reasons = append(entry.Reasons, &peerv1.BurnReason{Reason: reason, Bad: totals(c.sums(now))})
		}
		report.Series = append(report.Series, entry)
	}
	for key, c := range s.causes {
		report.Causes = append(report.Causes, &peerv1.BurnCause{
			Service: key.service, Route: key.route, Version: key.version, Zone: key.zone, Upstream: key.upstream,
			Windows: c.attempts.sums(now), Burned: totals(c.burned.sums(now)),
		})
	}
}

func sortReport(report *peerv1.InspectResponse) {
	sort.Slice(report.Series, func(i, j int) bool {
		return seriesName(report.Series[i]) < seriesName(report.Series[j])
	})
	sort.Slice(report.Causes, func(i, j int) bool {
		return causeName(report.Causes[i]) < causeName(report.Causes[j])
	})
	for _, entry := range report.Series {
		sort.Slice(entry.Reasons, func(i, j int) bool { return entry.Reasons[i].GetReason() < entry.Reasons[j].GetReason() })
	}
}

func seriesName(s *peerv1.BurnSeries) string {
	return strings.Join([]string{s.GetService(), s.GetRoute(), s.GetCustomer()}, "\x00")
}

func causeName(c *peerv1.BurnCause) string {
	return strings.Join([]string{c.GetService(), c.GetRoute(), c.GetVersion(), c.GetZone(), c.GetUpstream()}, "\x00")
}
