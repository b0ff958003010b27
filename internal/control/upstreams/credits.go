package upstreams

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/credit"
	"github.com/marigoldmux/marigoldmux/internal/slowstart"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

const (
	// wantInterval is the time between two wants of one upstream.
	wantInterval = 400 * time.Millisecond
	// earlyWant is the shortest time between two wants, for hosts that have
	// requests waiting. It leaves time for a Demand after a smaller grant, so
	// that a want never counts too few requests in flight.
	earlyWant = 150 * time.Millisecond
	// pollInterval is the time between two load reports of one upstream, and
	// cachePolls the number of them for each look at its cache events.
	pollInterval = 800 * time.Millisecond
	cachePolls   = 2
)

// mayAskEarly reports whether all that may be sent to an upstream is in use.
func (e *entry) mayAskEarly(now time.Time) bool {
	limit, _ := e.holder.Limit(now, e.members, e.traits.Cold)
	return e.zoneIn && e.inFlight >= limit && now.Sub(e.holder.LastSent()) >= earlyWant
}

// ask sends a want to the keeper of an upstream.
func (m *Machine) ask(now time.Time, e *entry) []control.Output {
	if !e.holder.Ask(now, e.keeper) {
		return nil
	}
	m.changed = true
	wanted, urgent := m.wish(e)
	want := e.holder.Sent(now, credit.Want{
		Host: m.self.ID, Members: e.members, Wanted: wanted, Urgent: urgent, InFlight: e.inFlight,
	})
	evidence := e.evidence
	e.evidence = slowstart.Evidence{}
	if e.keeper == m.self.ID {
		m.granted(now, m.self.ID, m.answer(now, e, want, evidence))
		return nil
	}
	message := &peerv1.CreditWant{
		Upstream: e.host.ID, Wanted: int32(want.Wanted), Urgent: int32(want.Urgent), InFlight: int32(want.InFlight),
		Members: int32(want.Members), Echo: want.Echo, Sent: want.Sent,
		Good: int32(evidence.Good), Slow: int32(evidence.Slow), Failed: int32(evidence.Failed),
	}
	return []control.Output{control.Tell{
		To: e.keeper, Message: &peerv1.Message{Body: &peerv1.Message_Want{Want: message}},
	}}
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

// wanted answers a want as the keeper.
func (m *Machine) wanted(now time.Time, from string, w *peerv1.CreditWant) []control.Output {
	e := m.entries[w.GetUpstream()]
	if e == nil || e.pool == nil {
		return nil
	}
	want := credit.Want{
		Host: from, Members: int(w.GetMembers()), InFlight: int(w.GetInFlight()),
		Wanted: int(w.GetWanted()), Urgent: int(w.GetUrgent()),
		Echo: w.GetEcho(), Sent: w.GetSent(),
	}
	evidence := slowstart.Evidence{Good: int(w.GetGood()), Slow: int(w.GetSlow()), Failed: int(w.GetFailed())}
	grant := m.answer(now, e, want, evidence)
	return []control.Output{control.Tell{
		To: from, Message: &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}},
	}}
}

func (m *Machine) answer(now time.Time, e *entry, want credit.Want, evidence slowstart.Evidence) *peerv1.CreditGrant {
	if evidence != (slowstart.Evidence{}) {
		e.ramp.Observe(now, evidence)
	}
	e.pool.Take(now, want)
	level := e.ramp.Level(now)
	grant := e.pool.Answer(now, want.Host, level)
	return &peerv1.CreditGrant{
		Upstream: e.host.ID, Amount: int32(grant.Amount), Epoch: grant.Epoch, Answers: grant.Answers,
		Level: int32(level), Cold: e.ramp.Cold(now), Running: int32(e.running), Report: e.reports,
	}
}

// granted takes a grant as the holder.
func (m *Machine) granted(now time.Time, from string, g *peerv1.CreditGrant) {
	e := m.entries[g.GetUpstream()]
	if e == nil {
		return
	}
	grant := credit.Grant{Amount: int(g.GetAmount()), Epoch: g.GetEpoch(), Answers: g.GetAnswers()}
	if !e.holder.Granted(now, from, grant, int(g.GetLevel())) {
		return
	}
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

func (m *Machine) loadReported(now time.Time, in control.LoadReported) {
	e := m.entries[in.Upstream]
	if e == nil || e.pool == nil {
		return
	}
	if in.Err != nil {
		e.ramp.Lost()
		return
	}
	e.running = in.Load.Running + in.Load.Queued
	e.reports++
	e.pool.Report(in.Load.AsOf, e.running)
	e.ramp.Report(now, in.Load)
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
