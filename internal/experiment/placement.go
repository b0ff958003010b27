package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
	"github.com/marigoldmux/marigoldmux/internal/gateway/promptcache"
)

// Fleet describes gateway hosts that choose engines for prompts, and their load. Engines read
// prompts in chunks between two steps of their streams, and keep shared parts in a cache of
// limited size. Hosts learn with a delay what the others have sent.
type Fleet struct {
	Hosts, Engines int
	// Slowdowns are the lasting slowdowns of the engines in turn.
	Slowdowns []float64
	// EventTokens is the number of tokens in an event, ChunkTokens the number of prompt
	// tokens that an engine reads between two steps, and MemoryTokens the size of its cache.
	EventTokens, ChunkTokens, MemoryTokens int
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// PrefillRate is the number of prompt tokens read per millisecond.
	PrefillRate float64
	// Exchange is the time after which hosts know what others have sent.
	Exchange time.Duration
	// IndexExchange is that time for the index of cached prompts, 0 if it is the same.
	IndexExchange time.Duration
	Classes       []PromptClass
	Length        time.Duration
	Seed          uint64
	// ByWait is set if hosts choose engines by place.ChooseEngine, else by place.Choose.
	ByWait bool
	// BusyShare is the share of the time in which an engine takes BusyFactor times as
	// long, in periods of busyPeriod.
	BusyShare, BusyFactor float64
	// ReportSlowdown is set when engines report their slowdown.
	ReportSlowdown bool
	// Restarted is the number of engines that restart with an empty cache halfway. Hosts
	// learn of it at once, and requests in flight go on.
	Restarted int
	// Slowed is the number of engines that are slower by SlowedFactor from halfway on.
	Slowed       int
	SlowedFactor float64
}

// PromptClass is a kind of request to the engines.
type PromptClass struct {
	Name      string
	PerSecond float64
	// CommonTokens are shared by all prompts, SessionTokens by those of one session.
	CommonTokens, SessionTokens, Sessions int
	// PopularShare is the share of the requests that belong to the first session.
	PopularShare float64
	// OwnTokens is the median length of the rest, OwnSpread its logarithmic deviation and
	// OwnMost its bound.
	OwnTokens, OwnSpread, OwnMost float64
	OutputTokens                  int
	// Objective bounds the time to the first event, Pause that between two events, and
	// Deadline the whole response.
	Objective, Pause, Deadline time.Duration
}

// ClassResult is how the requests of a class were served. Failed ones missed their deadline.
type ClassResult struct {
	Name                     string
	Requests, OnTime, Failed int
	FirstEvents              []time.Duration
}

// FleetResult is how a fleet served its load.
type FleetResult struct {
	Classes []ClassResult
	// Read is the number of prompt tokens read, and Reread that of shared parts that some
	// engine had read before.
	Read, Reread int
}

// Share returns the share of the requests that were served on time.
func (r ClassResult) Share() float64 { return float64(r.OnTime) / float64(max(r.Requests, 1)) }

// Quantile returns a quantile of the times to the first event.
func (r ClassResult) Quantile(q float64) time.Duration {
	if len(r.FirstEvents) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.FirstEvents))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// String implements fmt.Stringer.
func (r ClassResult) String() string {
	return fmt.Sprintf("%s: %.3f on time, %d of %d failed, first event p50 %v p99 %v",
		r.Name, r.Share(), r.Failed, r.Requests, r.Quantile(0.5).Round(time.Millisecond), r.Quantile(0.99).Round(time.Millisecond))
}

// promptRequest is a request in the simulated fleet.
type promptRequest struct {
	class, host, engine int
	prompt              *exchange.Prompt
	prefixes            []promptcache.Prefix
	// firstAt and lastAt are the times of the first and the newest event.
	arrived, firstAt, lastAt time.Duration
	longestPause             time.Duration
	// unread is the number of prompt tokens that the engine has yet to read, and counted
	// the number that the host counts in the engine's load until the first event.
	unread, counted int
	// remaining is the number of output tokens to come, and tokensOfEvent that of those
	// generated since the newest event.
	remaining, tokensOfEvent int
}

// engineStep is the next step of an engine.
type engineStep struct {
	at     time.Duration
	engine int
}

// stepQueue is a heap of steps by time.
type stepQueue []engineStep

func (q stepQueue) Len() int           { return len(q) }
func (q stepQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q stepQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *stepQueue) Push(x any) { *q = append(*q, x.(engineStep)) }

// Pop implements heap.Interface.
func (q *stepQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// promptEngine is a simulated engine. It reads the prompts of waiting requests one after the
// other, and generates the streams of running ones together.
type promptEngine struct {
	slowdown float64
	// reported is the lasting slowdown by the engine's reports: the lowest one, which a run
	// is too short to forget.
	reported         float64
	waiting, running []*promptRequest
	// stepping is set while a step of the engine is queued.
	stepping bool
	// cache holds the prefixes with the value of intake at their last use, and intake is
	// the number of tokens of all requests.
	cache  map[promptcache.Prefix]int
	intake int
}

// loadChange is a change of an engine's load by a request of a host.
type loadChange struct {
	at               time.Duration
	engine, host     int
	requests, tokens int
}

// sentPrompt is a prompt that other hosts have yet to learn of.
type sentPrompt struct {
	at       time.Duration
	engine   int
	prefixes []promptcache.Prefix
	tokens   int
}

// fleetRun is the state of a run.
type fleetRun struct {
	Fleet
	rand    *rand.Rand
	engines []*promptEngine
	// known is the load by engine that all hosts know. unknown holds the changes that only
	// the host which made them knows, oldest first, and own the same by host.
	known   []place.Candidate
	unknown []loadChange
	own     map[int][]loadChange
	// index is that of all hosts: they learn of prompts at the same time, and a session
	// seldom returns sooner to the host that sent it.
	index     *promptcache.Index
	processes map[uint32]int64
	sent      []sentPrompt
	steps     stepQueue
	result    FleetResult
	// read holds the prefixes that any engine has read.
	read map[promptcache.Prefix]bool
	// candidates, choices and holdings are buffers for a choice.
	candidates []place.Candidate
	choices    []place.Engine
	holdings   []promptcache.Holding
}

// Run plays the load and returns how it was served.
func (f Fleet) Run() FleetResult {
	r := &fleetRun{
		Fleet: f, rand: rand.New(rand.NewPCG(f.Seed, 1)), own: map[int][]loadChange{},
		index: promptcache.NewIndex(), processes: map[uint32]int64{}, read: map[promptcache.Prefix]bool{},
	}
	for i := range f.Engines {
		slowdown := f.Slowdowns[i%len(f.Slowdowns)]
		r.engines = append(r.engines, &promptEngine{slowdown: slowdown, reported: slowdown, cache: map[promptcache.Prefix]int{}})
		r.known = append(r.known, place.Candidate{ID: fmt.Sprint("engine-", i), Zone: fleetZone, Slots: f.Slots})
		r.processes[uint32(i)] = 1
	}
	r.index.SetEngines(r.processes)
	for _, c := range f.Classes {
		r.result.Classes = append(r.result.Classes, ClassResult{Name: c.Name})
	}
	r.play(r.arrivals())
	return r.result
}

// fleetZone is the availability zone of all hosts and engines.
const fleetZone = "zone"

// arrivals returns the requests in the order of their arrival.
func (r *fleetRun) arrivals() []*promptRequest {
	var all []*promptRequest
	for k, c := range r.Classes {
		for at := time.Duration(0); at < r.Length; {
			at += time.Duration(r.rand.ExpFloat64() / c.PerSecond * float64(time.Second))
			all = append(all, r.arrival(k, c, at))
		}
	}
	slices.SortStableFunc(all, func(a, b *promptRequest) int { return int(a.arrived - b.arrived) })
	return all
}

// shortestOutput and longestOutput bound outputs, as shares of a class's OutputTokens.
const shortestOutput, longestOutput = 0.3, 1.7

// arrival returns a request of a class, which is the k-th one.
func (r *fleetRun) arrival(k int, c PromptClass, at time.Duration) *promptRequest {
	own := min(c.OwnTokens*math.Exp(c.OwnSpread*r.rand.NormFloat64()), c.OwnMost)
	session := r.rand.IntN(max(c.Sessions, 1))
	if c.PopularShare > 0 && r.rand.Float64() < c.PopularShare {
		session = 0
	}
	p := &exchange.Prompt{Model: "m", MaxOutputTokens: c.OutputTokens, Parts: []exchange.PrefixPart{
		{ID: c.Name, Tokens: c.CommonTokens}, {ID: fmt.Sprint(c.Name, session), Tokens: c.SessionTokens}, {ID: "own", Tokens: int(own)},
	}}
	p.InputTokens = c.CommonTokens + c.SessionTokens + int(own)
	return &promptRequest{
		class: k, host: r.rand.IntN(r.Hosts), arrived: at, prompt: p, prefixes: promptcache.Prefixes(p),
		remaining: 1 + int(float64(c.OutputTokens)*(shortestOutput+(longestOutput-shortestOutput)*r.rand.Float64())),
	}
}

// play runs the arrivals and the steps of the engines in the order of time.
func (r *fleetRun) play(arrivals []*promptRequest) {
	faulty := false
	for len(arrivals) > 0 || len(r.steps) > 0 {
		if len(arrivals) > 0 && (len(r.steps) == 0 || arrivals[0].arrived <= r.steps[0].at) {
			q := arrivals[0]
			arrivals = arrivals[1:]
			if !faulty && q.arrived > r.Length/2 {
				faulty = true
				r.startFaults()
			}
			r.send(q)
			continue
		}
		s := heap.Pop(&r.steps).(engineStep)
		r.step(s.engine, s.at)
	}
}

// startFaults restarts engines and slows others down.
func (r *fleetRun) startFaults() {
	for i := range r.Restarted {
		r.engines[i].cache = map[promptcache.Prefix]int{}
		r.processes[uint32(i)]++
	}
	r.index.SetEngines(r.processes)
	for i := range r.Slowed {
		r.engines[i].slowdown *= r.SlowedFactor
	}
}

// learn applies the load changes and prompts that all hosts know at a moment.
func (r *fleetRun) learn(now time.Duration) {
	for len(r.unknown) > 0 && r.unknown[0].at+r.Exchange <= now {
		c := r.unknown[0]
		r.unknown = r.unknown[1:]
		r.known[c.engine].Requests += c.requests
		r.known[c.engine].Tokens += c.tokens
		r.own[c.host] = r.own[c.host][1:]
	}
	for len(r.sent) > 0 && r.sent[0].at+cmp.Or(r.IndexExchange, r.Exchange) <= now {
		s := r.sent[0]
		r.sent = r.sent[1:]
		r.index.Record(uint32(s.engine), s.prefixes, s.tokens)
	}
}

// change records a change of the load that only the host of the request knows at first.
func (r *fleetRun) change(c loadChange) {
	r.unknown = append(r.unknown, c)
	r.own[c.host] = append(r.own[c.host], c)
}

// send chooses the engine of a request as its host would.
func (r *fleetRun) send(q *promptRequest) {
	now := q.arrived
	r.learn(now)
	r.result.Classes[q.class].Requests++
	request := place.Request{
		Prefix: q.prompt.Parts[1].ID, SharedTokens: q.prompt.SharedTokens(), Engine: true, Zone: fleetZone, PrefillRate: r.PrefillRate,
	}
	r.candidates = append(r.candidates[:0], r.known...)
	for _, own := range r.own[q.host] {
		r.candidates[own.engine].Requests += own.requests
		r.candidates[own.engine].Tokens += own.tokens
	}
	held := 0
	if r.ByWait {
		q.engine, held = r.byWait(request, q)
	} else {
		q.engine = place.Choose(request, r.candidates, r.rand.Uint64())
		held = request.SharedTokens
	}
	e := r.engines[q.engine]
	r.admit(e, q)
	q.counted = max(q.prompt.InputTokens-held, 0)
	r.change(loadChange{at: now, engine: q.engine, host: q.host, requests: 1, tokens: q.counted})
	r.sent = append(r.sent, sentPrompt{now, q.engine, q.prefixes, q.prompt.InputTokens + q.prompt.MaxOutputTokens})
	e.waiting = append(e.waiting, q)
	if !e.stepping {
		e.stepping = true
		heap.Push(&r.steps, engineStep{now, q.engine})
	}
}

// byWait returns the engine with the lowest expected cost, and the number of tokens of the
// prompt that it probably holds.
func (r *fleetRun) byWait(request place.Request, q *promptRequest) (chosen, held int) {
	r.holdings = r.index.Holdings(r.holdings[:0], q.prefixes, q.prompt.Parts, r.MemoryTokens)
	popular := r.index.Popular(q.prefixes, q.prompt.Parts, r.MemoryTokens)
	r.choices = r.choices[:0]
	for i := range r.candidates {
		e := place.Engine{Candidate: r.candidates[i], Held: popular}
		e.ForLong = place.ForLongPrompts(uint32(xxhash.Sum64String(e.ID)))
		if r.ReportSlowdown {
			e.Slowdown = r.engines[i].reported
			e.Momentary = r.slowdownAt(i, max(q.arrived-r.Exchange-momentAge, 0))
		}
		for _, h := range r.holdings {
			if int(h.Engine) == i {
				e.Held = max(e.Held, h.Tokens)
			}
		}
		r.choices = append(r.choices, e)
	}
	p := place.Prompt{Request: request, Tokens: q.prompt.InputTokens, OutputTokens: q.prompt.MaxOutputTokens, PopularTokens: popular}
	chosen, _ = place.ChooseEngine(p, r.choices, r.rand.Uint64())
	return chosen, r.choices[chosen].Held
}

// momentAge is the mean age of the newest report of an engine, beyond the exchange.
const momentAge = 150 * time.Millisecond
