package forward

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
)

// maxDraws bounds the values of a random number for which a choice is computed. With at most
// as many upstreams, all that make a difference are.
const maxDraws = 512

// Explain returns where a request would be sent now and why. It sends nothing and changes no
// state. Its errors are those of package explain.
func (h *Handler) Explain(q *explain.Query) (*explain.Answer, error) {
	if err := q.Check(); err != nil {
		return nil, err
	}
	snapshot, now := h.Snapshots.Snapshot(), boottime.Now()
	view := snapshot.View
	if view.Document == nil {
		return nil, explain.ErrNoConfiguration
	}
	route, err := findRoute(view, q)
	if err != nil {
		return nil, err
	}
	customer, err := findCustomer(view.Document, q.Customer)
	if err != nil {
		return nil, err
	}
	p := &proxyRequest{h: h, call: hypotheticalCall(q, now), route: route}
	p.deadline = now + p.timeout()
	answer := &explain.Answer{
		Gateway: h.Host, Zone: h.Zone, Route: route.Name,
		ConfigVersion: view.Document.Version, ConfigAgeMs: explain.Ms(now - view.ConfirmedAt),
	}
	keyed := needsKey(view, route)
	if keyed {
		p.customer = customer
	}
	stops := !p.fitsStop(now)
	answer.DeadlineMs = explain.Ms(p.deadline - now)
	answer.Quota = p.explainQuota(now)
	switch {
	case keyed && !h.keysProven(view, now):
		answer.Refusal = "keys unproven"
	case stops:
		answer.Refusal = reasonStops
	case answer.Quota != nil && !answer.Quota.Allowed:
		answer.Refusal = quotaReason(customer, answer.Quota.Amount)
	}
	switch {
	case customer != nil && !keyed:
		answer.Note = "the route needs no key, so no quota applies"
	case customer == nil && keyed:
		answer.Note = "not checked without a customer"
	}
	for _, backend := range backendShares(route) {
		answer.Cases = append(answer.Cases, p.explainService(snapshot, backend, now)...)
	}
	return answer, nil
}

// findRoute returns the route of a query.
func findRoute(view *catalog.View, q *explain.Query) (*catalog.Route, error) {
	if q.Route == "" {
		if route := view.Route(q.Host, q.Path); route != nil {
			return route, nil
		}
		if !slices.ContainsFunc(view.Document.Routes, func(r catalog.Route) bool { return r.HostName == catalog.WithoutPort(q.Host) }) {
			return nil, fmt.Errorf("%w: no route has the host name %q", explain.ErrUnknown, q.Host)
		}
		return nil, fmt.Errorf("%w: no route of host name %q has the path %q", explain.ErrUnknown, q.Host, q.Path)
	}
	for i := range view.Document.Routes {
		if route := &view.Document.Routes[i]; route.Name == q.Route {
			return route, nil
		}
	}
	return nil, fmt.Errorf("%w: no route %q", explain.ErrUnknown, q.Route)
}

// findCustomer returns the customer with a name, nil without a name.
func findCustomer(document *catalog.Document, name string) (*catalog.Customer, error) {
	if name == "" {
		return nil, nil
	}
	for i := range document.Customers {
		if customer := &document.Customers[i]; customer.Name == name {
			return customer, nil
		}
	}
	return nil, fmt.Errorf("%w: no customer %q", explain.ErrUnknown, name)
}

// hypotheticalCall returns the call of a request that arrives now.
func hypotheticalCall(q *explain.Query, now time.Duration) *exchange.Call {
	call := &exchange.Call{Host: q.Host, Path: q.Path, Timeout: time.Duration(q.DeadlineMs) * time.Millisecond, Arrived: now}
	if len(q.Parts) == 0 && q.OutputTokens == 0 {
		return call
	}
	call.Prompt = &exchange.Prompt{Model: q.Model, MaxOutputTokens: q.OutputTokens}
	for _, part := range q.Parts {
		call.Prompt.Parts = append(call.Prompt.Parts, exchange.PrefixPart{ID: part.ID, Tokens: part.Tokens})
		call.Prompt.InputTokens += part.Tokens
	}
	return call
}

// explainQuota returns whether the quota of the customer would allow the request, nil
// without a customer.
func (p *proxyRequest) explainQuota(now time.Duration) *explain.Quota {
	if p.customer == nil {
		return nil
	}
	amount := quotaCost(p.call, p.customer)
	admission := p.h.Quota.Allows(p.customer, amount, p.quotaRank(), now)
	if p.lacksFleet() {
		admission = quota.Admission{RetryAfter: retryOtherHost}
	}
	return &explain.Quota{
		Customer: p.customer.Name, Allowed: admission.Chance > 0, Chance: admission.Chance, Amount: amount, InTokens: p.customer.InTokens,
		Rate: p.customer.Rate, RetryAfterMs: explain.Ms(admission.RetryAfter),
	}
}

// backendShare is a service with the probability that pickService picks it.
type backendShare struct {
	service string
	share   float64
}

// backendShares returns the services that pickService may pick.
func backendShares(route *catalog.Route) []backendShare {
	total := totalWeight(route)
	if total <= 0 {
		return []backendShare{{route.Backends[0].Service, 1}}
	}
	var shares []backendShare
	for _, backend := range route.Backends {
		if backend.Weight > 0 {
			shares = append(shares, backendShare{backend.Service, float64(backend.Weight) / float64(total)})
		}
	}
	return shares
}

// side holds the upstreams of one side of a rollout, or all without one.
type side struct {
	members []*catalog.Member
	share   float64
}

// sides returns the sides of a rollout that the first attempt of a request may get, as
// filterByVersion chooses them.
func (p *proxyRequest) sides(view *catalog.View, open []*catalog.Member, now time.Duration) []side {
	rollout, ok := view.Rollouts[p.service]
	if !ok {
		return []side{{open, 1}}
	}
	share := p.h.VersionShares.Share(p.service, rollout.Target)
	if share <= 0 || share >= 1 {
		return []side{{p.filterByVersion(view, open, rollout.Target, share, 0, now), 1}}
	}
	target := p.filterByVersion(view, open, rollout.Target, share, 0, now)
	others := p.filterByVersion(view, open, rollout.Target, share, share, now)
	if slices.Equal(target, others) {
		return []side{{target, 1}}
	}
	return []side{{target, share}, {others, 1 - share}}
}

// explainService returns the cases of a request to a service.
func (p *proxyRequest) explainService(snapshot *control.Snapshot, backend backendShare, now time.Duration) []explain.Case {
	of := *p
	of.service = backend.service
	view := snapshot.View
	c := explain.Case{Service: of.service, Share: backend.share, RolloutTarget: view.Rollouts[of.service].Target}
	service, reason := of.provenService(view, now)
	if service == nil {
		c.Refusal = reason
		return []explain.Case{c}
	}
	open, pause := of.open(view, now)
	var cases []explain.Case
	for _, s := range of.sides(view, open, now) {
		c := c
		c.Share *= s.share
		of.explainSide(&c, snapshot, service, s.members, now)
		if len(s.members) == 0 {
			c.Refusal = noneReason(pause)
		}
		of.addRuledOut(&c, view, s.members, now)
		cases = append(cases, c)
	}
	return cases
}

// explainSide adds what is chosen among the members to a case, and what it depends on.
func (p *proxyRequest) explainSide(c *explain.Case, snapshot *control.Snapshot, service *catalog.Service, members []*catalog.Member, now time.Duration) {
	c.ByExpectedWait = p.byExpectedWait(service)
	c.PrefillRate = p.placement(service).PrefillRate
	if len(members) == 0 {
		return
	}
	var choose func(draw uint64) (*catalog.Member, string)
	if c.ByExpectedWait {
		prompt, engines := p.enginePrompt(service), p.engines(snapshot, service, members, now)
		choose = func(draw uint64) (*catalog.Member, string) {
			choice := p.decideEngine(prompt, engines, now, draw)
			if choice.refusal != "" {
				c.RetryAfterMs = explain.Ms(choice.refusedFor)
				return nil, choice.refusal
			}
			return members[choice.index], ""
		}
		c.PromptKind = string(prompt.Kind())
		for i, parts := range place.AllEngineParts(prompt, engines) {
			c.Upstreams = append(c.Upstreams, engineState(members[i], &engines[i], parts))
		}
	} else {
		choose = func(draw uint64) (*catalog.Member, string) {
			return p.chooseByCost(snapshot, service, members, now, func() uint64 { return draw }, p.h.Cold.Allows)
		}
		candidates := p.candidates(snapshot, members, now)
		for i, parts := range place.AllParts(p.placement(service), candidates) {
			u := upstreamState(members[i], &candidates[i], parts)
			if u.Cold = isProtected(service, members[i], now); u.Cold && !p.h.Cold.Allows(u.ID, service.ColdRate, snapshot.SenderNames, now) {
				u.RuledOut = "cold"
			}
			c.Upstreams = append(c.Upstreams, u)
		}
	}
	c.Choices, c.Refusal = choices(len(members), choose)
	ruleOutSuspects(c.Upstreams)
	slices.SortStableFunc(c.Upstreams, func(a, b explain.Upstream) int {
		if a.RuledOut == "" != (b.RuledOut == "") {
			return cmp.Compare(a.RuledOut, b.RuledOut)
		}
		return cmp.Compare(a.CostMs, b.CostMs)
	})
}

// choices returns what is chosen among n upstreams over all random numbers, with the share
// of each, or the reason why nothing is.
func choices(n int, choose func(draw uint64) (*catalog.Member, string)) ([]explain.Choice, string) {
	draws := min(n, maxDraws)
	counts := map[string]int{}
	refusal := ""
	for k := range draws {
		m, reason := choose(uint64(k * n / draws))
		if m == nil {
			refusal = reason
			continue
		}
		counts[m.ID]++
	}
	list := make([]explain.Choice, 0, len(counts))
	for id, count := range counts {
		list = append(list, explain.Choice{ID: id, Share: float64(count) / float64(draws)})
	}
	slices.SortFunc(list, func(a, b explain.Choice) int {
		return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.ID, b.ID))
	})
	return list, refusal
}

// ruleOutSuspects marks suspects: they are chosen only if nothing else may be.
func ruleOutSuspects(upstreams []explain.Upstream) {
	if !slices.ContainsFunc(upstreams, func(u explain.Upstream) bool { return !u.Suspect && u.RuledOut == "" }) {
		return
	}
	for i := range upstreams {
		if upstreams[i].Suspect {
			upstreams[i].RuledOut = "suspect"
		}
	}
}

// addRuledOut adds the upstreams of the service to a case that are not among its members.
func (p *proxyRequest) addRuledOut(c *explain.Case, view *catalog.View, members []*catalog.Member, now time.Duration) {
	for _, m := range view.Members[p.service] {
		if slices.Contains(members, m) {
			continue
		}
		rule, pausedFor := p.ruledOut(view, m, now)
		if rule == "" {
			rule = "other side of the rollout"
		}
		c.Upstreams = append(c.Upstreams, explain.Upstream{
			ID: m.ID, Zone: m.Zone, Version: m.Version, RuledOut: rule, PausedForMs: explain.Ms(pausedFor),
		})
	}
}

func engineState(m *catalog.Member, e *place.Engine, parts place.Parts) explain.Upstream {
	u := upstreamState(m, &e.Candidate, parts)
	u.HeldTokens, u.Slowdown, u.MomentarySlowdown, u.ForLongPrompts = e.Held, e.Slowdown, e.Momentary, e.ForLong
	return u
}

func upstreamState(m *catalog.Member, c *place.Candidate, parts place.Parts) explain.Upstream {
	return explain.Upstream{ID: m.ID, Zone: m.Zone, Version: m.Version, State: &explain.State{
		Requests: c.Requests, Tokens: c.Tokens, Slots: c.Slots, FailureRate: c.Failures, Suspect: c.Suspect,
		CostMs: explain.Ms(parts.Total()),
		Costs: explain.Costs{
			ExpectedWaitMs: explain.Ms(parts.Wait), ExpectedReadMs: explain.Ms(parts.Read), RereadMs: explain.Ms(parts.Reread),
			MissMs: explain.Ms(parts.Miss), MisplacedMs: explain.Ms(parts.Misplaced), OutputMs: explain.Ms(parts.Output), RequestsMs: explain.Ms(parts.Requests),
			QueueMs: explain.Ms(parts.Queue), LatencyMs: explain.Ms(parts.Latency), FailuresMs: explain.Ms(parts.Failures),
			ZoneMs: explain.Ms(parts.Zone),
		},
	}}
}
