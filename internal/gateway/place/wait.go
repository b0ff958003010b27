package place

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Weights of the cost of a request at an engine.
const (
	// sampledEngines is the number of engines that are compared for a request besides
	// those likely to hold a part of its prompt. All hosts see nearly the same load, so if
	// each compared all engines, they would choose the same ones until they hear of each
	// other. An odd number of engines gives one more.
	sampledEngines = 2
	// rereadWeight is the factor by which the time to read shared parts counts that an
	// engine does not hold: that delays the prompts behind and evicts other parts.
	rereadWeight = 6.0
	// outputTokenTime is the usual time to generate a token, and outputShare the share of
	// the time for the longest output that counts: on slow engines long outputs miss their
	// deadline, and their events come late beside long prompts.
	outputTokenTime = 4 * time.Millisecond
	outputShare     = 0.05
	// slotWait is the cost of each request beyond the slots of an engine: it waits until
	// a stream ends.
	slotWait = 100 * time.Millisecond
	// momentaryShare is the share of a momentary slowdown that counts for the work that an
	// engine has yet to do, since it may end sooner.
	momentaryShare = 0.5
	// shortRead is the time to read a whole prompt below which the prompt is short: what it
	// can gain by the choice of a fast engine is less than what others send there meanwhile.
	shortRead = 45 * time.Millisecond
	// longRead is the time to read a whole prompt from which on the prompt is long: events of
	// all streams of its engine are late, since pieces of it are read between tokens.
	longRead = 400 * time.Millisecond
	// One engine of longPromptShare is for long prompts. misplacedCost is the cost of a long
	// prompt at another engine, and of other prompts at these engines; it is small enough
	// that a prompt goes elsewhere when its engines are busy.
	longPromptShare = 6
	misplacedCost   = 100 * time.Millisecond
)

// ForLongPrompts reports whether an engine is for long prompts, by the hash of its ID: all
// hosts agree on it, and it does not change when other engines come or leave.
func ForLongPrompts(hash uint32) bool { return hash%longPromptShare == 0 }

// Prompt holds the properties of a request to a model engine that the choice depends
// on.
type Prompt struct {
	Request
	// Tokens is the length of the prompt, and OutputTokens the longest output.
	Tokens, OutputTokens int
	// PopularTokens is the number of tokens of the prompt that any engine probably holds.
	PopularTokens int
}

// Engine is an engine that may run a request.
type Engine struct {
	Candidate
	// Slowdown is how long work takes at the engine, and Momentary how long it takes at
	// this moment, as multiples of the time at the prefill rate; 0 means that it is not
	// known.
	Slowdown, Momentary float64
	// Held is the number of tokens of the prompt that the engine probably has cached.
	Held int
	// ForLong is set for engines for long prompts.
	ForLong bool
}

// Forecast is what is expected of a request at an engine.
type Forecast struct {
	// Wait is the time until the engine begins to read the prompt, and Read the time that
	// it takes to read what it does not hold.
	Wait, Read time.Duration
	// Cost is the time that the request and those beside it are expected to lose.
	Cost time.Duration
}

// FirstEvent returns the expected time to the first event.
func (f Forecast) FirstEvent() time.Duration { return f.Wait + f.Read }

// ChooseEngine returns the index of the engine that gets a request, or -1 if there is none,
// and what is expected of the request there.
func ChooseEngine(p Prompt, engines []Engine, random uint64) (int, Forecast) {
	if len(engines) == 0 {
		return -1, Forecast{}
	}
	offset := int(random % uint64(len(engines)))
	var best int
	if p.isShort() {
		best = p.chooseByLoad(engines, offset)
	} else {
		best = p.chooseByWait(engines, offset)
	}
	return best, Expect(p, &engines[best])
}

// chooseByWait returns the engine with the lowest expected cost among those likely to hold
// a part of the prompt, those for long prompts if it is one, and a random sample of the
// others. If all of them are suspect, it compares all engines.
//
// Load pattern: prompts of up to fifty thousand tokens, which seventy hosts send to sixty
// engines, a third of them slower than the others.
func (p Prompt) chooseByWait(engines []Engine, offset int) int {
	n := len(engines)
	first, second, _ := p.homes(engines)
	step := max(n/sampledEngines, 1)
	best, lowest := -1, time.Duration(0)
	isLong := p.isLong()
	consider := func(i int) {
		cost := Expect(p, &engines[i]).Cost
		if best < 0 || better(&engines[i].Candidate, cost, &engines[best].Candidate, lowest) {
			best, lowest = i, cost
		}
	}
	for k := range n {
		i := (k + offset) % n
		if k%step == 0 || i == first || i == second || isLong && engines[i].ForLong || p.holds(&engines[i]) {
			consider(i)
		}
	}
	if engines[best].Suspect {
		for i := range engines {
			consider(i)
		}
	}
	return best
}

// chooseByLoad returns the engine with the lowest cost by the load of all engines and the
// ranks of the prefix, as Choose does, and by whether the engine is for long prompts.
//
// Load pattern: many short prompts beside long ones. Seventy hosts that all prefer the fast
// engine with the shortest wait choose the same one, and long prompts that others have just
// sent there are not known yet.
func (p Prompt) chooseByLoad(engines []Engine, offset int) int {
	n := len(engines)
	first, second, third := p.homes(engines)
	miss := float64(missCost(p.Request))
	best, lowest := -1, time.Duration(0)
	for k := range n {
		i := (k + offset) % n
		cost := Cost(p.Request, &engines[i].Candidate) + p.misplaced(&engines[i])
		switch {
		case i == first || p.Prefix == "":
		case i == second:
			cost += time.Duration(secondShare * miss)
		case i == third:
			cost += time.Duration(thirdShare * miss)
		default:
			cost += time.Duration(miss)
		}
		if best < 0 || better(&engines[i].Candidate, cost, &engines[best].Candidate, lowest) {
			best, lowest = i, cost
		}
	}
	return best
}

// holds reports whether an engine holds most of the shared parts of the prompt.
func (p Prompt) holds(e *Engine) bool { return e.Held > p.PopularTokens && 2*e.Held > p.SharedTokens }

// homes returns the indexes of the engines that rank highest for the prefix, leaving out
// suspect ones; -1 stands for none. They are the same at all hosts, so that requests that
// share a part meet at few engines.
func (p Prompt) homes(engines []Engine) (first, second, third int) {
	first, second, third = -1, -1, -1
	if p.Prefix == "" {
		return first, second, third
	}
	var weights [3]uint64
	for i := range engines {
		if engines[i].Suspect {
			continue
		}
		switch weight := rendezvous.Weight(p.Prefix, engines[i].ID); {
		case first < 0 || weight > weights[0]:
			first, second, third = i, first, second
			weights = [3]uint64{weight, weights[0], weights[1]}
		case second < 0 || weight > weights[1]:
			second, third = i, second
			weights = [3]uint64{weights[0], weight, weights[1]}
		case third < 0 || weight > weights[2]:
			third, weights[2] = i, weight
		}
	}
	return first, second, third
}

// Expect returns what is expected of a request at an engine.
func Expect(p Prompt, e *Engine) Forecast {
	slowdown := e.slowdown()
	rate := p.PrefillRate
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	f := Forecast{
		Wait: PrefillTime(e.Tokens, rate/slowdown),
		Read: PrefillTime(max(p.Tokens-e.Held, 0), rate/slowdown),
	}
	f.Cost = f.Wait + f.Read + e.penalties(p.Zone)
	f.Cost += p.reread(e) + p.misplaced(e)
	f.Cost += time.Duration(e.lasting() * outputShare * float64(time.Duration(p.OutputTokens)*outputTokenTime))
	return f
}

// isShort reports whether the prompt is a short one.
func (p Prompt) isShort() bool { return PrefillTime(p.Tokens, p.PrefillRate) < shortRead }

// isLong reports whether the prompt is a long one.
func (p Prompt) isLong() bool { return PrefillTime(p.Tokens, p.PrefillRate) >= longRead }

// misplaced returns the cost of a long prompt at an engine for others, or of another prompt
// at an engine for long ones.
//
// Load pattern: one prompt in fifteen has more than twenty thousand tokens. If they went to
// all engines, most streams would have one read beside them.
func (p Prompt) misplaced(e *Engine) time.Duration {
	if e.ForLong == p.isLong() {
		return 0
	}
	return misplacedCost
}

// reread returns the weighted cost of the shared parts that an engine does not hold.
func (p Prompt) reread(e *Engine) time.Duration {
	return time.Duration(float64(PrefillTime(max(p.SharedTokens-e.Held, 0), p.PrefillRate)) * rereadWeight)
}

// penalties returns the costs that do not depend on the prompt.
func (e *Engine) penalties(zone string) time.Duration {
	cost := e.ExtraLatency + time.Duration(e.Failures*float64(failurePenalty)) + time.Duration(e.Requests)*streamCost
	if e.Zone != zone {
		cost += otherZonePenalty
	}
	if excess := e.Requests + 1 - e.Slots; e.Slots > 0 && excess > 0 {
		cost += time.Duration(excess) * slotWait
	}
	return cost
}

// lasting returns the lasting slowdown, 1 if it is not known.
func (e *Engine) lasting() float64 {
	if e.Slowdown <= 0 {
		return 1
	}
	return e.Slowdown
}

// slowdown returns the slowdown that is expected for the work that an engine has yet to
// do.
func (e *Engine) slowdown() float64 {
	lasting := e.lasting()
	if e.Momentary <= lasting {
		return lasting
	}
	return lasting + momentaryShare*(e.Momentary-lasting)
}

// Earliest returns the shortest expected time to the first event of a request at any of
// the engines that respond, 0 if there is none.
func Earliest(p Prompt, engines []Engine) time.Duration {
	earliest, found := time.Duration(0), false
	for i := range engines {
		if engines[i].Suspect {
			continue
		}
		if first := Expect(p, &engines[i]).FirstEvent(); !found || first < earliest {
			earliest, found = first, true
		}
	}
	return earliest
}
