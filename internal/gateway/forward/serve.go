package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

// maxTries bounds the upstreams that one call is tried at, including those that
// cannot be reached or reject it.
const maxTries = 4

// serve sends the call until it is answered or given up.
func (p *pass) serve() {
	p.g.Retry.CountRequest(p.service, boottime.Now())
	p.g.InFlight.CountDemand(p.service, ownTokens(p.call))
	for {
		if p.r.Context().Err() != nil {
			p.gone()
			return
		}
		if boottime.Now() >= p.end {
			p.timeOut()
			return
		}
		if until := p.heldUntil(); until > 0 {
			p.holdBack(until)
			return
		}
		member, reason := p.choose()
		if member == nil {
			p.giveUp(reason)
			return
		}
		if p.sends > 0 && !p.reserveRetry(boottime.Now()) {
			p.giveUp("retry budget")
			return
		}
		p.reserved = false
		result := p.send(member)
		p.note(member, result)
		if result.fate == finished {
			return
		}
		if !p.mayGoOn(result) {
			p.giveUp(result.reason)
			return
		}
	}
}

// send makes an attempt. The customer's quota pays again for a call that may
// have run before.
func (p *pass) send(m *catalog.Member) outcome {
	again := p.customer != nil && p.runs > 0
	if again {
		p.g.Quota.ChargeRetry(p.customer, p.amount, boottime.Now())
	}
	result := p.attempt(m)
	if again && (result.fate == notSent || result.fate == notRun) {
		p.g.Quota.Refund(p.customer, p.amount)
	}
	return result
}

// reserveRetry takes a retry for the next send, once, and reports whether there
// was one.
func (p *pass) reserveRetry(now time.Duration) bool {
	p.reserved = p.reserved || p.g.Retry.Spend(p.service, now)
	return p.reserved
}

// mayGoOn reports whether the call may be sent to another upstream.
func (p *pass) mayGoOn(result outcome) bool {
	if result.fate == callerGone || p.tries >= maxTries {
		return false
	}
	if result.fate == notSent || result.fate == notRun {
		return true
	}
	return p.route.Repeatable() && p.runs < p.route.MaxAttempts
}

// choose returns the upstream for the next send, or why there is none.
func (p *pass) choose() (*catalog.Member, string) {
	snapshot := p.g.Snapshots.Snapshot()
	now := boottime.Now()
	view := snapshot.View
	if p.customer != nil && now-view.ConfirmedAt > p.g.RevokeWithin-keyMargin {
		return nil, "keys unproven"
	}
	service := view.Service(p.service)
	if service == nil {
		return nil, "no service"
	}
	members := p.eligible(view)
	if len(members) == 0 {
		return nil, "no upstream"
	}
	request := p.placement(service)
	for len(members) > 0 {
		candidates := make([]place.Candidate, len(members))
		for i, m := range members {
			candidates[i] = p.candidate(m, snapshot.RemoteLoads[inflight.Hash(m.ID)], now)
		}
		i := place.Choose(request, candidates, rand.Uint64())
		m := members[i]
		if now >= m.ColdUntil || service.ColdRate <= 0 || p.g.Cold.Take(m.ID, service.ColdRate, snapshot.SenderNames, now) {
			return m, ""
		}
		members = append(members[:i:i], members[i+1:]...)
	}
	return nil, "all upstreams are cold"
}

// eligible returns the upstreams that may get the call.
func (p *pass) eligible(view *catalog.View) []*catalog.Member {
	var members []*catalog.Member
	for _, m := range view.Members[p.service] {
		if !m.Draining && !view.ExcludedZones[m.Zone] && !p.tried[m.ID] {
			members = append(members, m)
		}
	}
	if rollout, moving := view.Rollouts[p.service]; moving {
		return p.ofVersion(members, rollout.Target)
	}
	return members
}

// ofVersion returns the upstreams of one side of a rollout: of its target for
// the share that the target gets, else of the versions before. A call that the
// target did not answer goes back to those. Where a side has no upstreams left,
// the other takes its calls.
func (p *pass) ofVersion(members []*catalog.Member, target string) []*catalog.Member {
	var to, from []*catalog.Member
	for _, m := range members {
		if m.Version == target {
			to = append(to, m)
		} else {
			from = append(from, m)
		}
	}
	share := p.g.Versions.Share(p.service, target)
	wanted := rand.Float64() < share && (p.tries == 0 || share >= 1)
	if len(from) == 0 || wanted && len(to) > 0 {
		return to
	}
	return from
}

func (p *pass) placement(service *catalog.Service) place.Request {
	request := place.Request{Engine: service.Engine != nil, Zone: p.g.Zone}
	if prompt := p.call.Prompt; p.route.Affinity && prompt != nil && len(prompt.Parts) > 1 {
		request.Prefix = prompt.Parts[len(prompt.Parts)-2].ID
		request.SharedTokens = prompt.SharedTokens()
	}
	return request
}

// manySuspect is the number of other hosts that must suspect an upstream for
// this one to do so without an experience of its own.
const manySuspect = 2

func (p *pass) candidate(m *catalog.Member, remote control.RemoteLoad, now time.Duration) place.Candidate {
	own := p.g.InFlight.State(m.ID, now)
	return place.Candidate{
		ID: m.ID, Zone: m.Zone, Slots: m.Slots,
		Requests: own.Requests + remote.Requests, Tokens: own.Tokens + remote.Tokens,
		ExtraLatency: own.ExtraLatency, Failures: own.Failures, Suspect: own.Suspect || remote.Suspects >= manySuspect,
	}
}

// note takes in what an attempt showed of the upstream.
func (p *pass) note(m *catalog.Member, result outcome) {
	now := boottime.Now()
	p.judge(m, result)
	p.blame(m, result)
	switch result.fate {
	case finished:
		p.g.InFlight.RecordLatency(m.ID, result.lag, now)
	case notSent:
		p.g.InFlight.MarkSuspect(m.ID, now)
	case unknown:
		p.g.InFlight.RecordFailure(m.ID, now)
		if result.silent {
			p.g.InFlight.MarkSuspect(m.ID, now)
		}
	case failed:
		p.g.InFlight.RecordFailure(m.ID, now)
	}
	if result.fate == unknown || result.fate == failed {
		p.runs++
	}
	p.tried[m.ID] = true
	p.failure = result.reason
}

// judge counts what an attempt says of its upstream's version.
func (p *pass) judge(m *catalog.Member, result outcome) {
	switch result.fate {
	case finished, unknown, failed:
		p.g.InFlight.RecordOutcome(m, p.route.Name, result.fate != finished || result.failure, result.waited, boottime.Now())
	case notSent, notRun, callerGone:
	}
}

// giveUp answers a call that is not sent again.
func (p *pass) giveUp(reason string) {
	switch {
	case p.r.Context().Err() != nil:
		p.gone()
	case p.committed:
		p.abort(reason)
	case p.best != nil:
		p.deliver(p.best)
	case p.runs > 0 && boottime.Now() >= p.end:
		p.refuse(http.StatusGatewayTimeout, reason, 0)
	case p.runs > 0:
		p.refuse(http.StatusBadGateway, reason, 0)
	default:
		p.returnQuota()
		p.refuse(http.StatusServiceUnavailable, reason, p.comeBack())
	}
}

// timeOut answers a call whose time is over.
func (p *pass) timeOut() { p.giveUp("timeout") }

func (p *pass) returnQuota() {
	if p.customer != nil && p.amount > 0 {
		p.g.Quota.Refund(p.customer, p.amount)
		p.amount = 0
	}
}
