package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/brittle"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
)

// recordAdvisories records what an upstream says in its response about the
// requests that it wants. A response with 421 comes from another upstream at the
// same address.
func (a *attempt) recordAdvisories(resp *http.Response, head exchange.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := boottime.Now()
	instance := advisory.InstanceOf(a.member)
	a.h.Brittle.Said(a.member.Service, head.Brittle, now)
	if head.NotRun {
		u, hosts := a.brittleUpstream(a.member, now)
		a.h.Brittle.Rejected(u, hosts, now)
	}
	if head.Leaving && a.h.Advisories.Leave(instance, now) {
		a.h.Stats.LeavingUpstreams.Add(1)
		a.h.Events.Emit(eventUpstreamLeaves, zap.String("subject", a.member.ID), zap.String("request", a.call.ID))
	}
	switch {
	case head.RetryAfterErr != nil:
		a.h.Events.Emit(eventAdvisoryIgnored, zap.String("subject", a.member.ID), zap.String("request", a.call.ID), event.Err(head.RetryAfterErr))
	case head.RetryAfter > 0:
		pause := a.h.Advisories.Pause(a.member, head.RetryAfter, now, a.h.Usage.Now())
		a.h.Stats.UpstreamPauses.Add(1)
		a.h.Events.Emit(eventUpstreamPauses, zap.String("subject", a.member.ID), zap.String("request", a.call.ID), zap.Duration("pause", pause))
	}
}

// brittleUpstream returns what is known of an upstream, and all hosts that may send to it.
func (p *proxyRequest) brittleUpstream(m *catalog.Member, now time.Duration) (brittle.Upstream, []string) {
	snapshot := p.h.Snapshots.Snapshot()
	remote := int(snapshot.RemoteLoads[inflight.Hash(m.ID)].Requests)
	return brittle.Upstream{
		Instance: advisory.InstanceOf(m), Service: m.Service, Slots: m.Slots,
		Own: p.h.InFlight.State(m.ID, now).Requests, Others: remote,
	}, snapshot.SenderNames
}

// brittleWait returns how long an upstream is to get no further requests since it is brittle, 0
// if it may get one. begun is the number of this request's own that count among those in flight.
func (p *proxyRequest) brittleWait(m *catalog.Member, begun int, now time.Duration) time.Duration {
	if !p.h.Brittle.Concerns(m.Service) {
		return 0
	}
	u, hosts := p.brittleUpstream(m, now)
	u.Own -= begun
	return p.h.Brittle.Wait(u, hosts, now)
}

// shortestPause returns the shorter of two pauses, of which 0 stands for none.
func shortestPause(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
