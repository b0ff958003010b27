package forward

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

// maxUpstreams bounds the upstreams at which one request is attempted, including
// those that cannot be reached or reject it.
const maxUpstreams = 4

// serve makes attempts until the request has a response or no further attempt
// is allowed.
func (p *proxyRequest) serve() {
	defer p.returnTrial()
	p.h.Retry.CountRequest(p.service, boottime.Now())
	p.h.InFlight.CountDemand(p.service, uncachedTokens(p.call))
	for {
		if p.r.Context().Err() != nil {
			p.abortDisconnected()
			return
		}
		if boottime.Now() >= p.deadline || p.h.ending.Err() != nil {
			p.giveUpTimeout()
			return
		}
		if p.attempts > 0 && p.h.Reach.Isolated() && p.serveByPeer() {
			return
		}
		if !p.admitPoison() {
			return
		}
		member, reason := p.chooseUpstream()
		if member == nil {
			p.giveUpUnlessServedByPeer(reason)
			return
		}
		if p.sends > 0 && !p.reserveRetry(boottime.Now()) {
			p.giveUp("retry budget")
			return
		}
		p.retryReserved = false
		result := p.attemptWithQuota(member)
		p.recordResult(member, result)
		if result.disposition == finished {
			return
		}
		if !p.mayRetry(result) {
			p.giveUpUnlessServedByPeer(result.reason)
			return
		}
	}
}

// minUnreached is the number of upstreams that one request found out of reach from which a
// peer is asked to serve it, before it is known whether this host is isolated.
const minUnreached = 2

// giveUpUnlessServedByPeer ends a request that this host can't send to any upstream. One that an
// upstream turned away for a while is not sent to it by way of a peer.
func (p *proxyRequest) giveUpUnlessServedByPeer(reason string) {
	if p.unreached >= minUnreached && p.upstreamPause == 0 && p.r.Context().Err() == nil && p.serveByPeer() {
		return
	}
	p.giveUp(reason)
}

// attemptWithQuota makes an attempt. A request that may have run before is
// charged to the customer's quota again.
func (p *proxyRequest) attemptWithQuota(m *catalog.Member) outcome {
	charged := p.customer != nil && p.runs > 0
	if charged {
		p.h.Quota.ChargeRetry(p.customer, p.quotaTaken, boottime.Now())
	}
	result := p.attempt(m)
	if charged && (result.disposition == notSent || result.disposition == notRun) {
		p.h.Quota.Refund(p.customer, p.quotaTaken)
	}
	return result
}

// reserveRetry takes a retry from the budget for the next send, unless one is
// reserved. It reports whether a retry is reserved.
func (p *proxyRequest) reserveRetry(now time.Duration) bool {
	p.retryReserved = p.retryReserved || p.h.Retry.TryTake(p.service, now)
	return p.retryReserved
}

// mayRetry reports whether the request may be sent to another upstream.
func (p *proxyRequest) mayRetry(result outcome) bool {
	if result.disposition == callerGone || p.attempts >= maxUpstreams {
		return false
	}
	if result.disposition == notSent || result.disposition == notRun {
		return true
	}
	return p.mayRunAgain()
}

// repeatable reports whether another upstream may run a request that may have run.
func (p *proxyRequest) repeatable() bool { return p.route.Repeatable() && !p.behindLastID }

// chooseUpstream returns the upstream for the next attempt, or nil and the
// reason why there is none.
func (p *proxyRequest) chooseUpstream() (*catalog.Member, string) {
	snapshot := p.h.Snapshots.Snapshot()
	now := boottime.Now()
	service, reason := p.provenService(snapshot.View, now)
	if service == nil {
		return nil, reason
	}
	members, pause := p.eligible(snapshot.View, now)
	p.upstreamPause = pause
	if len(members) == 0 {
		return nil, noneReason(pause)
	}
	if p.byExpectedWait(service) {
		return p.chooseEngine(snapshot, service, members, now)
	}
	p.placed.byExpectedWait = false
	return p.chooseByCost(snapshot, service, members, now, rand.Uint64, p.h.Cold.Take)
}

// provenService returns the service of the request, or nil and the reason why it may not be
// used.
func (p *proxyRequest) provenService(view *catalog.View, now time.Duration) (*catalog.Service, string) {
	if !p.keyProven(view, now) {
		return nil, "keys unproven"
	}
	if service := view.Service(p.service); service != nil {
		return service, ""
	}
	return nil, "no service"
}

// noneReason returns the reason why no upstream is eligible, given the shortest remaining
// pause of those that only pause.
func noneReason(pause time.Duration) string {
	if pause > 0 {
		return "all upstreams pause"
	}
	return "no upstream"
}

// coldLimit reports whether this host may send a request to a cold upstream: it is Take or
// Allows of cold.Limiter.
type coldLimit func(upstream string, rate float64, hosts []string, now time.Duration) bool

// chooseByCost returns the upstream of the lowest cost that is not cold or may get a request
// all the same, or nil and the reason why there is none.
func (p *proxyRequest) chooseByCost(snapshot *control.Snapshot, service *catalog.Service, members []*catalog.Member,
	now time.Duration, random func() uint64, mayTake coldLimit,
) (*catalog.Member, string) {
	request := p.placement(service)
	for len(members) > 0 {
		i := place.Choose(request, p.candidates(snapshot, members, now), random())
		m := members[i]
		if !isProtected(service, m, now) || mayTake(m.ID, service.ColdRate, snapshot.SenderNames, now) {
			return m, ""
		}
		members = append(members[:i:i], members[i+1:]...)
	}
	return nil, "all upstreams are cold"
}

// isProtected reports whether an upstream is cold and its service limits the requests to
// cold ones.
func isProtected(service *catalog.Service, m *catalog.Member, now time.Duration) bool {
	return now < m.ColdUntil && service.ColdRate > 0
}

// candidates returns the state of the members for a choice.
func (p *proxyRequest) candidates(snapshot *control.Snapshot, members []*catalog.Member, now time.Duration) []place.Candidate {
	candidates := make([]place.Candidate, len(members))
	for i, m := range members {
		candidates[i] = p.candidate(m, snapshot.RemoteLoads[inflight.Hash(m.ID)], now)
	}
	return candidates
}

// keyProven reports whether the configuration is recent enough for the key of the request's
// customer, if it has one.
func (p *proxyRequest) keyProven(view *catalog.View, now time.Duration) bool {
	return p.customer == nil || p.h.keysProven(view, now)
}

// keysProven reports whether the configuration is recent enough for the keys of customers.
func (h *Handler) keysProven(view *catalog.View, now time.Duration) bool {
	return now-view.ConfirmedAt <= h.RevokeWithin-keyMargin
}

// eligible returns the upstreams to which the request may be sent, and the
// shortest remaining pause of those that only want no requests for a while, 0 if
// there are none.
func (p *proxyRequest) eligible(view *catalog.View, now time.Duration) ([]*catalog.Member, time.Duration) {
	members, pause := p.open(view, now)
	if rollout, ok := view.Rollouts[p.service]; ok {
		share := p.h.VersionShares.Share(p.service, rollout.Target)
		members = p.filterByVersion(view, members, rollout.Target, share, rand.Float64(), now)
	}
	if len(members) > 1 {
		members = slices.DeleteFunc(members, func(m *catalog.Member) bool { return m.ID == p.closedIdle })
	}
	return members, pause
}

// open returns the upstreams of both sides of a rollout that nothing rules out, and the
// shortest remaining pause as eligible does.
func (p *proxyRequest) open(view *catalog.View, now time.Duration) ([]*catalog.Member, time.Duration) {
	var members []*catalog.Member
	var pause time.Duration
	for _, m := range view.Members[p.service] {
		rule, pausedFor := p.ruledOut(view, m, now)
		if rule == "" {
			members = append(members, m)
		}
		pause = shortestPause(pause, pausedFor)
	}
	return members, pause
}

// ruleAttempted rules out an upstream that has had the request.
const ruleAttempted = "attempted"

// ruledOut returns what rules an upstream out for the next attempt, "" if nothing does, and
// the remaining pause of one that only wants no requests for a while.
func (p *proxyRequest) ruledOut(view *catalog.View, m *catalog.Member, now time.Duration) (string, time.Duration) {
	switch {
	case m.Draining:
		return "draining", 0
	case view.ExcludedZones[m.Zone]:
		return "zone excluded", 0
	case p.attempted[m.ID] && m.ID != p.closedIdle:
		return ruleAttempted, 0
	}
	switch state := p.h.Advisories.State(m, now); {
	case state.Leaving:
		return "leaves", 0
	case state.PausedFor > 0:
		return "pauses", state.PausedFor
	}
	if wait := p.brittleWait(m, 0, now); wait > 0 {
		return "brittle", wait
	}
	return "", 0
}

// filterByVersion returns the upstreams of one side of a rollout: those of the
// target version for the share of requests that the target gets, else those of
// other versions. draw, a random number from 0 to 1, decides on the side. A retry
// goes to the other versions until the target gets all requests. If one side has
// no upstreams, those of the other are returned.
//
// Load pattern: more requests come than the other versions' upstreams can run, and these ask
// for a pause. The target gets no more than its share meanwhile.
func (p *proxyRequest) filterByVersion(view *catalog.View, members []*catalog.Member, target string, share, draw float64, now time.Duration) []*catalog.Member {
	var onTarget, others []*catalog.Member
	for _, m := range members {
		if m.Version == target {
			onTarget = append(onTarget, m)
		} else {
			others = append(others, m)
		}
	}
	preferTarget := draw < share && (p.attempts == 0 || share >= 1)
	switch {
	case preferTarget && len(onTarget) > 0:
		return onTarget
	case len(others) > 0:
		return others
	case !preferTarget && p.othersReturn(view, target, share, now):
		return nil
	}
	return onTarget
}

// othersReturn reports whether upstreams of other versions than the target of a rollout take
// requests again soon, or have had this one while the target is to get none.
func (p *proxyRequest) othersReturn(view *catalog.View, target string, share float64, now time.Duration) bool {
	return slices.ContainsFunc(view.Members[p.service], func(m *catalog.Member) bool {
		if m.Version == target {
			return false
		}
		rule, pausedFor := p.ruledOut(view, m, now)
		return pausedFor > 0 || rule == ruleAttempted && share <= 0
	})
}

func (p *proxyRequest) placement(service *catalog.Service) place.Request {
	request := place.Request{Engine: service.Engine != nil, Zone: p.h.Zone}
	if request.Engine {
		request.PrefillRate = p.h.InFlight.PrefillRate(p.service)
	}
	if prompt := p.call.Prompt; p.route.Affinity && prompt != nil && len(prompt.Parts) > 1 {
		request.Prefix = prompt.Parts[len(prompt.Parts)-2].ID
		request.SharedTokens = prompt.SharedTokens()
	}
	return request
}

// minRemoteSuspects is the number of other hosts that must suspect an upstream
// for this host to suspect it without a failure of its own.
const minRemoteSuspects = 2

func (p *proxyRequest) candidate(m *catalog.Member, remote members.LoadSum, now time.Duration) place.Candidate {
	own := p.h.InFlight.State(m.ID, now)
	return place.Candidate{
		ID: m.ID, Zone: m.Zone, Slots: m.Slots,
		Requests: own.Requests + int(remote.Requests), Tokens: own.Tokens + int(remote.Tokens),
		ExtraLatency: own.ExtraLatency, Failures: own.Failures, Suspect: own.Suspect || remote.Suspects >= minRemoteSuspects,
	}
}

// recordResult updates the state of the upstream and of the request after an
// attempt.
func (p *proxyRequest) recordResult(m *catalog.Member, result outcome) {
	now := boottime.Now()
	p.recordVersionResult(m, result)
	p.recordCrashEvidence(m, result)
	switch result.disposition {
	case finished:
		p.h.InFlight.RecordLatency(m.ID, result.extraLatency, now)
	case notSent:
		if !result.withheld {
			p.unreached++
			p.h.InFlight.MarkSuspect(m.ID, now)
			p.h.Reach.Doubt()
		}
	case unknown:
		p.h.Reach.Doubt()
		p.h.InFlight.RecordFailure(m.ID, now)
		if result.unresponsive {
			p.h.InFlight.MarkSuspect(m.ID, now)
		}
	case failed:
		p.h.InFlight.RecordFailure(m.ID, now)
	}
	if result.disposition == unknown || result.disposition == failed {
		p.runs++
	}
	p.attempted[m.ID] = true
	p.closedIdle = ""
	if result.closedIdle {
		p.closedIdle = m.ID
	}
	p.failure = result.reason
}

// recordVersionResult records the result of an attempt for the version of its
// upstream.
func (p *proxyRequest) recordVersionResult(m *catalog.Member, result outcome) {
	if result.disposition != finished && p.h.Reach.Isolated() {
		// It says nothing about the version.
		return
	}
	switch result.disposition {
	case finished, unknown, failed:
		outcome := inflight.Outcome{
			Failed: result.disposition != finished || result.serverError, Latency: result.latency, Pace: result.pace,
		}
		p.h.InFlight.RecordOutcome(m, p.route.Name, outcome, boottime.Now())
	case notSent, notRun, callerGone:
	}
}

// giveUp ends a request that is not sent again: it aborts a stream that has
// begun, sends the fallback response, or refuses, with 503 if the request has
// not run, else with 502 or 504.
func (p *proxyRequest) giveUp(reason string) {
	switch {
	case p.r.Context().Err() != nil:
		p.abortDisconnected()
	case p.headerSent:
		p.abort(reason)
	case p.fallback != nil:
		p.writeResponse(p.fallback)
	case p.runs > 0 && boottime.Now() >= p.deadline:
		p.refuse(http.StatusGatewayTimeout, reason, 0)
	case p.runs > 0:
		p.refuse(http.StatusBadGateway, reason, 0)
	default:
		p.refundQuota()
		p.refuse(http.StatusServiceUnavailable, reason, p.retryAfterNoUpstream())
	}
}

// giveUpTimeout ends a request whose deadline has passed.
func (p *proxyRequest) giveUpTimeout() { p.giveUp("timeout") }

func (p *proxyRequest) refundQuota() {
	if p.customer != nil && p.quotaTaken > 0 {
		p.h.Quota.Refund(p.customer, p.quotaTaken)
		p.quotaTaken = 0
	}
}
