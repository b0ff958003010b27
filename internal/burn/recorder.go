// Package burn measures service levels: the fraction of requests that got a
// complete response on time, the burn rate and remainder of each error budget, and
// the versions, availability zones and upstreams that used it.
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
	// stripes is the number of locks over which the counts are spread, by service
	// and route.
	stripes = 8
	// maxSeries and maxCauses limit the customers' series and the causes of one
	// stripe. Events beyond the limits are counted under the name Other.
	maxSeries = 128
	maxCauses = 128
)

// Other is the customer, or the availability zone and upstream, under which events
// beyond the limits of a recorder are counted.
const Other = "(other)"

// ReasonLate is the reason of requests that got a late response after an attempt
// that failed or was late.
const ReasonLate = "late"

// ReasonWaited is the reason of requests that got a late response although no
// attempt failed or was late: they waited for an upstream.
const ReasonWaited = "waited"

// Recorder counts finished requests and attempts on one host. It is safe for
// concurrent use. It is not part of the control state, since the control loop may
// drop inputs when it is overloaded, which is when the counts matter most.
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

// reason returns the counts of bad requests with the given reason.
func (s *series) reason(name string) *counts {
	if s.reasons[name] == nil {
		s.reasons[name] = &counts{}
	}
	return s.reasons[name]
}

type causeKey struct{ service, route, version, zone, upstream string }

type cause struct {
	// attempts counts attempts; burned counts the bad requests charged to them.
	attempts, burned counts
}

// NewRecorder returns an empty recorder.
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

// Ended counts a finished request. A bad one is charged to its first attempt that
// failed or was late. Requests that classify excludes are not counted.
func (r *Recorder) Ended(end dispatch.RequestEnded) {
	reason, counted := classify(end)
	if !counted {
		return
	}
	s := r.stripe(end.Service, end.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.seriesFor(seriesKey{end.Service, end.Route, end.Customer}, end.At)
	account.counts.add(end.At, reason != "")
	if reason == "" {
		return
	}
	account.reason(reason).add(end.At, true)
	if end.FirstBad != nil {
		s.causeFor(causeKeyOf(end.FirstBad), end.At).burned.add(end.At, true)
	}
}

// classify returns why a request counts as bad, or "" for a good one. Requests that
// ended because of their caller, or are held back, are not counted.
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

// Attempt counts a finished attempt.
func (r *Recorder) Attempt(ended control.AttemptEnded, now time.Time) {
	s := r.stripe(ended.Service, ended.Route)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.causeFor(causeKeyOf(&ended), now).attempts.add(now, ended.Failure != nil || ended.Late)
}

func causeKeyOf(ended *control.AttemptEnded) causeKey {
	return causeKey{ended.Service, ended.Route, ended.Version, ended.Zone, ended.Upstream}
}

func (s *stripe) seriesFor(key seriesKey, now time.Time) *series {
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

func (s *stripe) causeFor(key causeKey, now time.Time) *cause {
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

// prune removes series and causes without events in the longest window.
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

// Report returns all counts, with windows that end at now.
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
