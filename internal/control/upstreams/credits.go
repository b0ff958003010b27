package upstreams

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/credit"
	"github.com/marigoldmux/marigoldmux/internal/slowstart"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// pace says how often a host asks and polls.
type pace struct {
	// lease is how long shares are lent and grants are used.
	lease time.Duration
	// want is the time between two wants of one upstream, early the shortest
	// time between two, for hosts that have requests waiting. It leaves time
	// for a Demand after a smaller grant, so that a want never counts too few
	// requests in flight.
	want, early time.Duration
	// poll is the time between two load reports of one upstream.
	poll time.Duration
}

// The paces of hosts that send to few upstreams and to many.
var (
	smallPace = pace{lease: 2 * time.Second, want: 400 * time.Millisecond, early: 150 * time.Millisecond, poll: 800 * time.Millisecond}
	largePace = pace{lease: 12 * time.Second, want: 5 * time.Second, early: time.Second, poll: 5 * time.Second}
)

// cachePolls is the number of load reports for each look at cache events.
const cachePolls = 2

// fewUpstreams is the number of upstreams up to which a host has the small pace.
const fewUpstreams = 22

func (m *Machine) pace() pace {
	if m.owned > fewUpstreams {
		return largePace
	}
	return smallPace
}

// longestLease returns the longest lease in use; hosts of one cell may differ
// by a few upstreams in what they know.
func (m *Machine) longestLease() time.Duration {
	if m.owned+2 > fewUpstreams {
		return largePace.lease
	}
	return smallPace.lease
}

// mayAskEarly reports whether all that may be sent to an upstream is in use.
func (m *Machine) mayAskEarly(now time.Time, e *entry) bool {
	limit, _ := e.limit(now)
	return e.zoneIn && e.inFlight >= limit && now.Sub(e.holder.LastSent()) >= m.pace().early
}

// due reports whether it is time for a want: at the usual interval, and early
// when attempts went badly.
func (m *Machine) due(now time.Time, e *entry) bool {
	since := now.Sub(e.holder.LastSent())
	bad := e.evidence.Slow+e.evidence.Failed > 0
	return m.needs(e) && (since >= m.pace().want || bad && since >= m.pace().early)
}

// nearlyDue reports whether a want may go along with another one to the same
// coordinator, so that they share a call now and later.
func (m *Machine) nearlyDue(now time.Time, e *entry) bool {
	return m.needs(e) && now.Sub(e.holder.LastSent()) >= m.pace().want/2
}

// needs reports whether a host asks for credits without a request at hand.
func (m *Machine) needs(e *entry) bool {
	return !e.guest || e.inFlight > 0 || m.waiting[e.host.Service][e.host.Version] > 0
}

// limit returns what this host may have in flight at an upstream, and until when.
func (e *entry) limit(now time.Time) (int, time.Time) {
	if e.guest {
		return e.holder.Limit(now, 1, 0)
	}
	limit, until := e.holder.Limit(now, e.members, e.traits.Cold)
	if e.suspect {
		limit = min(limit, max(1, e.traits.Cold/max(1, e.members)))
	}
	return limit, until
}

// ask sends a want to the coordinator of an upstream.
func (m *Machine) ask(now time.Time, e *entry) []control.Output {
	if !e.holder.ShouldRequest(now, e.coordinator) {
		return nil
	}
	m.changed = true
	wanted, urgent := m.wish(e)
	want := e.holder.Sent(now, credit.Request{
		Host: m.self.ID, Members: e.owners(), Wanted: wanted, Urgent: urgent, InFlight: e.inFlight,
	})
	evidence := e.evidence
	e.evidence = slowstart.Outcomes{}
	if e.coordinator == m.self.ID {
		e.pool.Receive(now, want)
		return m.watch(now, e, func() { e.ramp.Observe(now, evidence) }, m.self.ID)
	}
	message := &peerv1.CreditWant{
		Upstream: e.host.ID, Wanted: int32(want.Wanted), Urgent: int32(want.Urgent), InFlight: int32(want.InFlight),
		Members: int32(want.Members), Echo: want.Echo, Sent: want.Sent,
		LeaseMs: int32(want.Lease.Milliseconds()),
		Good:    int32(evidence.Good), Slow: int32(evidence.Slow), Failed: int32(evidence.Failed),
	}
	return []control.Output{control.SendMessage{
		To: e.coordinator, Message: &peerv1.Message{Body: &peerv1.Message_Want{Want: message}},
	}}
}

// owners returns the number of hosts that own shares; 0 for a guest.
func (e *entry) owners() int {
	if e.guest {
		return 0
	}
	return e.members
}

// wish returns the number of requests that this host would like to have at an
// upstream: those in flight and an equal part of those that wait. Urgent is an
// equal part of the slots that urgent classes need.
func (m *Machine) wish(e *entry) (wanted, urgent int) {
	if !e.zoneIn || e.host.Leaving {
		return 0, 0
	}
	place, others := 0, 0
	for _, other := range m.ordered {
		if other.host.Service != e.host.Service || other.host.Version != e.host.Version || !other.zoneIn {
			continue
		}
		if other == e {
			place = others
		}
		others++
	}
	// Each host begins to deal at another upstream.
	place = (place + m.offset) % max(1, others)
	waiting := m.waiting[e.host.Service][e.host.Version]
	urgent = part(m.urgent[e.host.Service], place, others)
	return max(e.inFlight+part(waiting, place, others), urgent), urgent
}

// part returns what one of a number of places gets when a total is dealt out.
func part(total, place, places int) int {
	places = max(1, places)
	if place < total%places {
		return total/places + 1
	}
	return total / places
}

// wanted answers a want as the coordinator.
func (m *Machine) wanted(now time.Time, from string, w *peerv1.CreditWant) []control.Output {
	e := m.entries[w.GetUpstream()]
	if e == nil || e.pool == nil {
		return nil
	}
	want := credit.Request{
		Host: from, Members: int(w.GetMembers()), InFlight: int(w.GetInFlight()),
		Wanted: int(w.GetWanted()), Urgent: int(w.GetUrgent()),
		Echo: w.GetEcho(), Sent: w.GetSent(),
		Lease: min(time.Duration(w.GetLeaseMs())*time.Millisecond, largePace.lease),
	}
	evidence := slowstart.Outcomes{Good: int(w.GetGood()), Slow: int(w.GetSlow()), Failed: int(w.GetFailed())}
	e.pool.Receive(now, want)
	return m.watch(now, e, func() {
		if evidence != (slowstart.Outcomes{}) {
			e.ramp.Observe(now, evidence)
		}
	}, from)
}

// watch lets evidence change what is believed of an upstream and answers a
// host, if one asked. When the upstream is believed to bear less than before,
// all holders get a new grant at once.
func (m *Machine) watch(now time.Time, e *entry, learn func(), asked string) []control.Output {
	before := e.ramp.Level(now)
	learn()
	receivers := []string{asked}
	if e.ramp.Level(now) < before {
		receivers = e.pool.Members()
	}
	var outs []control.Output
	for _, to := range receivers {
		if to == "" {
			continue
		}
		grant := m.answer(now, e, to)
		if to == m.self.ID {
			m.granted(now, to, grant)
			continue
		}
		outs = append(outs, control.SendMessage{
			To: to, Message: &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}},
		})
	}
	return outs
}

func (m *Machine) answer(now time.Time, e *entry, host string) *peerv1.CreditGrant {
	level := e.ramp.Level(now)
	grant := e.pool.GrantTo(now, host, level)
	return &peerv1.CreditGrant{
		Upstream: e.host.ID, Amount: int32(grant.Amount), Epoch: grant.Epoch, Answers: grant.InReplyTo,
		Level: int32(level), Cold: e.ramp.Cold(now), Running: int32(e.running), Report: e.reports,
	}
}

// granted takes a grant as the holder.
func (m *Machine) granted(now time.Time, from string, g *peerv1.CreditGrant) {
	e := m.entries[g.GetUpstream()]
	if e == nil {
		return
	}
	grant := credit.Grant{Amount: int(g.GetAmount()), Epoch: g.GetEpoch(), InReplyTo: g.GetAnswers()}
	if !e.holder.Receive(now, from, grant, int(g.GetLevel())) {
		return
	}
	e.suspect = false
	m.changed = true
	e.cold = g.GetCold()
	if e.report != g.GetReport() {
		e.report = g.GetReport()
		e.load = float64(g.GetRunning()) / float64(max(1, g.GetLevel()))
	}
}

// poll asks for an upstream's load report.
func (e *entry) poll(now time.Time) control.Output {
	e.polled = now
	e.polls++
	after := int64(-1)
	if e.polls%cachePolls == 0 {
		after = e.cache.Next()
	}
	return control.PollUpstream{Upstream: e.host.ID, Address: e.host.Address, CacheAfter: after}
}

func (m *Machine) loadReported(now time.Time, in control.LoadReported) []control.Output {
	e := m.entries[in.Upstream]
	if e == nil || e.pool == nil {
		return nil
	}
	if in.Err != nil {
		return m.watch(now, e, e.ramp.ReportMissed, "")
	}
	e.running = in.Load.Running + in.Load.Queued
	e.reports++
	e.pool.Report(in.Load.AsOf, e.running)
	return m.watch(now, e, func() { e.ramp.Report(now, in.Load) }, "")
}

func (m *Machine) cacheChanged(in control.CacheChanged) {
	e := m.entries[in.Upstream]
	if e == nil || e.pool == nil || !e.cache.Apply(in.Events) {
		return
	}
	e.prefixes = e.cache.Snapshot()
	e.key = publishKey{}
	m.changed = true
}
