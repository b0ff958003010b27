package upstreams

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/credit"
	"github.com/marigoldmux/marigoldmux/internal/slowstart"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// timing holds the intervals at which a host requests credits and polls load.
type timing struct {
	// lease is how long shares are lent and grants may be used.
	lease time.Duration
	// request is the time between two credit requests for one upstream;
	// earlyRequest is the shortest time between two, for hosts that have requests
	// waiting. It leaves time for a Demand after a smaller grant, so that a
	// credit request never counts too few requests in flight.
	request, earlyRequest time.Duration
	// poll is the time between two polls of one upstream's load.
	poll time.Duration
}

// shortTiming is for hosts that send to few upstreams, longTiming for others.
var (
	shortTiming = timing{lease: 2 * time.Second, request: 400 * time.Millisecond, earlyRequest: 150 * time.Millisecond, poll: 800 * time.Millisecond}
	longTiming  = timing{lease: 12 * time.Second, request: 5 * time.Second, earlyRequest: time.Second, poll: 5 * time.Second}
)

// cachePolls is the number of load polls for each poll that also requests cache
// events.
const cachePolls = 2

// shortTimingUpstreams is the number of upstreams up to which a host uses
// shortTiming.
const shortTimingUpstreams = 22

func (m *Machine) timing() timing {
	if m.owned > shortTimingUpstreams {
		return longTiming
	}
	return shortTiming
}

// longestLease returns the longest lease that a host of the cell may use; the
// views of hosts of one cell may differ by a few upstreams.
func (m *Machine) longestLease() time.Duration {
	if m.owned+2 > shortTimingUpstreams {
		return longTiming.lease
	}
	return shortTiming.lease
}

// mayRequestEarly reports whether the limit of an upstream is used up and
// earlyRequest has passed since the last credit request.
func (m *Machine) mayRequestEarly(now time.Time, e *entry) bool {
	limit, _ := e.limit(now)
	return e.zoneServing && e.inFlight >= limit && now.Sub(e.holder.LastSent()) >= m.timing().earlyRequest
}

// due reports whether a credit request is due: at the regular interval, and
// earlier after bad attempts.
func (m *Machine) due(now time.Time, e *entry) bool {
	since := now.Sub(e.holder.LastSent())
	bad := e.outcomes.Slow+e.outcomes.Failed > 0
	return m.needsCredits(e) && (since >= m.timing().request || bad && since >= m.timing().earlyRequest)
}

// nearlyDue reports whether a credit request may be sent together with a due one
// to the same coordinator, so that they share a call now and later.
func (m *Machine) nearlyDue(now time.Time, e *entry) bool {
	return m.needsCredits(e) && now.Sub(e.holder.LastSent()) >= m.timing().request/2
}

// needsCredits reports whether this host requests credits for an upstream: always
// as an owner, and as a guest only while it has requests in flight or waiting.
func (m *Machine) needsCredits(e *entry) bool {
	return !e.guest || e.inFlight > 0 || m.waiting[e.host.Service][e.host.Version] > 0
}

// limit returns the number of requests that this host may have in flight at an
// upstream, and until when; the zero time sets no end.
func (e *entry) limit(now time.Time) (int, time.Time) {
	if e.guest {
		return e.holder.Limit(now, 1, 0)
	}
	limit, until := e.holder.Limit(now, e.cellHosts, e.rampParams.Cold)
	if e.suspect {
		limit = min(limit, max(1, e.rampParams.Cold/max(1, e.cellHosts)))
	}
	return limit, until
}

// requestCredits sends a credit request and the outcomes of attempts to the
// coordinator of an upstream, or applies them directly if that is this host.
func (m *Machine) requestCredits(now time.Time, e *entry) []control.Output {
	if !e.holder.ShouldRequest(now, e.coordinator) {
		return nil
	}
	m.changed = true
	wanted, urgent := m.creditDemand(e)
	req := e.holder.NewRequest(now, credit.Request{
		Host: m.self.ID, Members: e.owners(), Wanted: wanted, Urgent: urgent, InFlight: e.inFlight,
	})
	outcomes := e.outcomes
	e.outcomes = slowstart.Outcomes{}
	if e.coordinator == m.self.ID {
		e.pool.Receive(now, req)
		return m.updateRamp(now, e, func() { e.ramp.Observe(now, outcomes) }, m.self.ID)
	}
	message := &peerv1.CreditWant{
		Upstream: e.host.ID, Wanted: int32(req.Wanted), Urgent: int32(req.Urgent), InFlight: int32(req.InFlight),
		Members: int32(req.Members), Echo: req.Echo, Sent: req.Sent,
		LeaseMs: int32(req.Lease.Milliseconds()),
		Good:    int32(outcomes.Good), Slow: int32(outcomes.Slow), Failed: int32(outcomes.Failed),
	}
	return []control.Output{control.SendMessage{
		To: e.coordinator, Message: &peerv1.Message{Body: &peerv1.Message_Want{Want: message}},
	}}
}

// owners returns the number of hosts that own equal shares of the upstream; 0
// for a guest.
func (e *entry) owners() int {
	if e.guest {
		return 0
	}
	return e.cellHosts
}

// creditDemand returns the number of requests that this host wants to have in
// flight at an upstream: those in flight and an equal part of those that wait, at
// least urgent, which is an equal part of the slots that urgent classes need.
// Both are 0 when the zone is excluded or the upstream is leaving.
func (m *Machine) creditDemand(e *entry) (wanted, urgent int) {
	if !e.zoneServing || e.host.Leaving {
		return 0, 0
	}
	index, count := 0, 0
	for _, other := range m.ordered {
		if other.host.Service != e.host.Service || other.host.Version != e.host.Version || !other.zoneServing {
			continue
		}
		if other == e {
			index = count
		}
		count++
	}
	// Hosts assign the remainder starting at different upstreams.
	index = (index + m.offset) % max(1, count)
	waiting := m.waiting[e.host.Service][e.host.Version]
	urgent = share(m.urgent[e.host.Service], index, count)
	return max(e.inFlight+share(waiting, index, count), urgent), urgent
}

// share returns the part at an index when a total is divided into n parts that
// differ by at most 1; the first parts get the remainder.
func share(total, index, n int) int {
	n = max(1, n)
	if index < total%n {
		return total/n + 1
	}
	return total / n
}

// creditRequestReceived handles a credit request as the coordinator.
func (m *Machine) creditRequestReceived(now time.Time, from string, w *peerv1.CreditWant) []control.Output {
	e := m.entries[w.GetUpstream()]
	if e == nil || e.pool == nil {
		return nil
	}
	req := credit.Request{
		Host: from, Members: int(w.GetMembers()), InFlight: int(w.GetInFlight()),
		Wanted: int(w.GetWanted()), Urgent: int(w.GetUrgent()),
		Echo: w.GetEcho(), Sent: w.GetSent(),
		Lease: min(time.Duration(w.GetLeaseMs())*time.Millisecond, longTiming.lease),
	}
	outcomes := slowstart.Outcomes{Good: int(w.GetGood()), Slow: int(w.GetSlow()), Failed: int(w.GetFailed())}
	e.pool.Receive(now, req)
	return m.updateRamp(now, e, func() {
		if outcomes != (slowstart.Outcomes{}) {
			e.ramp.Observe(now, outcomes)
		}
	}, from)
}

// updateRamp applies an update to an upstream's ramp and sends a grant to the
// requester, if any. When the update lowers the level, all members get a new grant
// at once.
func (m *Machine) updateRamp(now time.Time, e *entry, update func(), requester string) []control.Output {
	before := e.ramp.Level(now)
	update()
	receivers := []string{requester}
	if e.ramp.Level(now) < before {
		receivers = e.pool.Members()
	}
	var outs []control.Output
	for _, to := range receivers {
		if to == "" {
			continue
		}
		grant := m.newGrant(now, e, to)
		if to == m.self.ID {
			m.grantReceived(now, to, grant)
			continue
		}
		outs = append(outs, control.SendMessage{
			To: to, Message: &peerv1.Message{Body: &peerv1.Message_Grant{Grant: grant}},
		})
	}
	return outs
}

func (m *Machine) newGrant(now time.Time, e *entry, host string) *peerv1.CreditGrant {
	level := e.ramp.Level(now)
	grant := e.pool.GrantTo(now, host, level)
	return &peerv1.CreditGrant{
		Upstream: e.host.ID, Amount: int32(grant.Amount), Epoch: grant.Epoch, Answers: grant.InReplyTo,
		Level: int32(level), Cold: e.ramp.Cold(now), Running: int32(e.running), Report: e.reportCount,
	}
}

// grantReceived applies a grant as a holder of credits.
func (m *Machine) grantReceived(now time.Time, from string, g *peerv1.CreditGrant) {
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
	if e.loadVersion != g.GetReport() {
		e.loadVersion = g.GetReport()
		e.load = float64(g.GetRunning()) / float64(max(1, g.GetLevel()))
	}
}

// poll requests an upstream's load report, every cachePolls-th time with cache
// events.
func (e *entry) poll(now time.Time) control.Output {
	e.lastPoll = now
	e.polls++
	after := int64(-1)
	if e.polls%cachePolls == 0 {
		after = e.cache.LastSequence()
	}
	return control.PollUpstream{Upstream: e.host.ID, Address: e.host.Address, CacheAfter: after}
}

func (m *Machine) loadReported(now time.Time, in control.LoadReported) []control.Output {
	e := m.entries[in.Upstream]
	if e == nil || e.pool == nil {
		return nil
	}
	if in.Err != nil {
		return m.updateRamp(now, e, e.ramp.ReportMissed, "")
	}
	e.running = in.Load.Running + in.Load.Queued
	e.reportCount++
	e.pool.Report(in.Load.AsOf, e.running)
	return m.updateRamp(now, e, func() { e.ramp.Report(now, in.Load) }, "")
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
