package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
	"github.com/marigoldmux/marigoldmux/internal/gateway/promptcache"
)

// enginePlacement is how a request was placed by the expected wait.
type enginePlacement struct {
	// byExpectedWait is set when the latest choice was made by the expected wait; without
	// it, only prefixes may be set.
	byExpectedWait bool
	prefixes       []promptcache.Prefix
	// held is the number of tokens of the prompt that the chosen engine probably holds.
	held     int
	forecast place.Forecast
	// slowdown is that of the chosen engine, 0 if it is not known.
	slowdown float64
	// refusedFor is the time after which an engine could begin within the route's target, if
	// the request is refused since none can begin before its deadline.
	refusedFor time.Duration
}

// byExpectedWait reports whether a request to a service is placed by the expected wait.
func (p *proxyRequest) byExpectedWait(service *catalog.Service) bool {
	return service.ByExpectedWait() && p.call.Prompt != nil
}

// chooseEngine returns the engine for the next attempt, or nil and the reason why there is
// none. It records the choice in the request and in the statistics.
func (p *proxyRequest) chooseEngine(snapshot *control.Snapshot, service *catalog.Service, members []*catalog.Member, now time.Duration) (*catalog.Member, string) {
	prompt := p.enginePrompt(service)
	engines := p.engines(snapshot, service, members, now)
	choice := p.decideEngine(prompt, engines, now, rand.Uint64())
	if choice.index < 0 {
		return nil, choice.refusal
	}
	chosen := &engines[choice.index]
	p.placed.byExpectedWait = true
	p.placed.held, p.placed.forecast, p.placed.slowdown = chosen.Held, choice.forecast, chosen.Slowdown
	if choice.refusal != "" {
		p.placed.refusedFor = choice.refusedFor
		p.h.Stats.ForecastRefusals.Add(1)
		return nil, choice.refusal
	}
	p.h.Stats.SharedPromptTokens.Add(int64(prompt.SharedTokens))
	p.h.Stats.HeldPromptTokens.Add(int64(chosen.Held))
	return members[choice.index], ""
}

// engineChoice is the choice of an engine for an attempt.
type engineChoice struct {
	// index is that of the engine, -1 if there is none, and forecast what is expected there.
	index    int
	forecast place.Forecast
	// refusal is the reason why the request is not sent to the engine, "" if it is.
	refusal string
	// refusedFor is as in enginePlacement.
	refusedFor time.Duration
}

// decideEngine chooses an engine for the next attempt. A request that no engine can begin
// before its deadline is refused before its first attempt, not after it has been sent. It
// changes no state.
func (p *proxyRequest) decideEngine(prompt place.Prompt, engines []place.Engine, now time.Duration, random uint64) engineChoice {
	i, forecast := place.ChooseEngine(prompt, engines, random)
	if i < 0 {
		return engineChoice{index: -1, refusal: "no upstream"}
	}
	choice := engineChoice{index: i, forecast: forecast}
	left := p.deadline - now
	if p.attempts == 0 && forecast.FirstEvent() > left {
		if earliest := place.Earliest(prompt, engines); earliest > left {
			choice.refusedFor = max(earliest-p.route.Target, retryNoUpstream)
			choice.refusal = fmt.Sprintf("no engine can begin in time: first event in %v at the earliest", earliest.Round(time.Millisecond))
		}
	}
	return choice
}

// enginePrompt returns the properties of the request that the choice of an engine depends on.
func (p *proxyRequest) enginePrompt(service *catalog.Service) place.Prompt {
	return place.Prompt{
		Request: p.placement(service), Tokens: p.call.Prompt.InputTokens, OutputTokens: p.call.Prompt.MaxOutputTokens,
		PopularTokens: p.popularTokens(service),
	}
}

// popularTokens returns the number of tokens of the prompt that any engine probably holds.
func (p *proxyRequest) popularTokens(service *catalog.Service) int {
	p.findPrefixes()
	return p.h.Observed.Prompts.Popular(p.placed.prefixes, p.call.Prompt.Parts, service.Engine.MemoryTokens)
}

// findPrefixes finds the prefixes of the prompt, once, on routes whose prompts share parts.
func (p *proxyRequest) findPrefixes() {
	if p.placed.prefixes == nil && p.route.Affinity {
		p.placed.prefixes = promptcache.Prefixes(p.call.Prompt)
	}
}

// engines returns the state of the members for a choice.
func (p *proxyRequest) engines(snapshot *control.Snapshot, service *catalog.Service, members []*catalog.Member, now time.Duration) []place.Engine {
	p.findPrefixes()
	holdings := p.h.Observed.Prompts.Holdings(nil, p.placed.prefixes, p.call.Prompt.Parts, service.Engine.MemoryTokens)
	popular := p.popularTokens(service)
	engines := make([]place.Engine, len(members))
	var reported []float64
	for k, m := range members {
		hash := inflight.Hash(m.ID)
		engines[k].Held, engines[k].ForLong = popular, place.ForLongPrompts(hash)
		engines[k].Candidate = p.candidate(m, snapshot.RemoteLoads[hash], now)
		slowdown := p.h.Observed.Speeds.Of(hash, now)
		engines[k].Slowdown, engines[k].Momentary = slowdown.Lasting, slowdown.Momentary
		if slowdown.Lasting > 0 {
			reported = append(reported, slowdown.Lasting)
		}
		for _, held := range holdings {
			if held.Engine == hash {
				engines[k].Held = max(popular, held.Tokens)
			}
		}
	}
	if len(reported) > 0 {
		slices.Sort(reported)
		scaleSlowdowns(engines, reported[len(reported)/fastestShare])
	}
	return engines
}

// One engine of fastestShare may have reported less than the one that counts as the fastest:
// a wrong report of a single one must not make all others look slow.
const fastestShare = 10

// maxRelativeSlowdown bounds a slowdown as a multiple of the fastest one: a wrong report must
// not make a sound engine look unable to begin in time.
const maxRelativeSlowdown = 8

// scaleSlowdowns turns slowdowns into multiples of the time that the fastest engine takes,
// since the rate at which engines read prompts is learned from the fastest responses. An
// engine without a report counts as usual.
func scaleSlowdowns(engines []place.Engine, fastest float64) {
	for i := range engines {
		e := &engines[i]
		if e.Slowdown == 0 {
			e.Slowdown = 1
		}
		e.Slowdown = min(max(e.Slowdown/fastest, 1), maxRelativeSlowdown)
		e.Momentary = min(e.Momentary/fastest, maxRelativeSlowdown)
	}
}

// unreadTokens returns the prompt tokens that the chosen engine has to read.
func (p *proxyRequest) unreadTokens() int {
	if !p.placed.byExpectedWait {
		return uncachedTokens(p.call)
	}
	return max(p.call.Prompt.InputTokens-p.placed.held, 0)
}

// recordSent records that the engine was sent the prompt, for this host and its peers.
func (a *attempt) recordSent() {
	if !a.placed.byExpectedWait {
		return
	}
	tokens := a.call.Prompt.InputTokens + a.call.Prompt.MaxOutputTokens
	a.h.Observed.Sent(inflight.Hash(a.member.ID), a.placed.prefixes, tokens, a.sentAt)
}

// placementFields returns the log fields that say what was expected of a request at the
// engine that was chosen for it.
func (p *proxyRequest) placementFields() []zap.Field {
	if !p.placed.byExpectedWait {
		return nil
	}
	return []zap.Field{
		zap.Duration("expectedWait", p.placed.forecast.Wait), zap.Duration("expectedRead", p.placed.forecast.Read),
		zap.Int("heldTokens", p.placed.held), zap.Float64("slowdown", p.placed.slowdown),
	}
}

// recordForecastError records how far the time to the first event was from the forecast.
func (a *attempt) recordForecastError(observed time.Duration) {
	if a.placed.byExpectedWait {
		a.h.Stats.RecordForecastError(a.placed.forecast.FirstEvent(), observed)
	}
}

// recordLoad records how long work takes at the engine, if it said so.
func (a *attempt) recordLoad(load *exchange.Load) {
	if !a.placed.byExpectedWait || load == nil || load.Slowdown <= 0 {
		return
	}
	a.h.Observed.Reported(inflight.Hash(a.member.ID), load.Slowdown, boottime.Now())
}
