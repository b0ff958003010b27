package place

import "time"

// Parts is the cost of a request at an upstream by its causes, each as time that the
// request and those beside it are expected to lose. Choices compare Cost, the cost of
// Expect and that of chooseByLoad, which are computed without it. Parts are only for
// explanations; a test compares both.
type Parts struct {
	// Wait is the time to process the prompts of other requests, and Read that of the
	// request's own tokens. Reread is the weighted time to read shared parts that the
	// engine does not hold, and Output the share of the time for the output that counts.
	Wait, Read, Reread, Output time.Duration
	// Miss is the cost of a prefix that is not expected to be cached, where upstreams are
	// chosen by load.
	Miss time.Duration
	// Misplaced is the cost of a long prompt at an engine for others, and of others at an
	// engine for long prompts.
	Misplaced time.Duration
	// Requests is the cost of the running requests, and Queue that of the requests beyond
	// the slots.
	Requests, Queue time.Duration
	// Latency is how much later than expected the upstream responded lately, Failures the
	// cost of its recent failures, and Zone that of leaving the availability zone.
	Latency, Failures, Zone time.Duration
}

// Total returns the whole cost.
func (parts *Parts) Total() time.Duration {
	return parts.Wait + parts.Read + parts.Reread + parts.Output + parts.Miss + parts.Misplaced + parts.Requests + parts.Queue +
		parts.Latency + parts.Failures + parts.Zone
}

// setCommon sets the parts that do not depend on the prompt, given the cost of each running
// request and that of each request beyond the slots.
func (parts *Parts) setCommon(c *Candidate, zone string, requestCost, excessCost time.Duration) {
	parts.Latency, parts.Failures = c.ExtraLatency, time.Duration(c.Failures*float64(failurePenalty))
	parts.Requests = time.Duration(c.Requests) * requestCost
	if c.Zone != zone {
		parts.Zone = otherZonePenalty
	}
	if excess := c.Requests + 1 - c.Slots; c.Slots > 0 && excess > 0 {
		parts.Queue = time.Duration(excess) * excessCost
	}
}

// set sets the parts of Cost.
func (parts *Parts) set(request *Request, c *Candidate) {
	if !request.Engine {
		parts.setCommon(c, request.Zone, slotCost, queueCost)
		return
	}
	parts.setCommon(c, request.Zone, streamCost, queueCost)
	parts.Wait = PrefillTime(c.Tokens, request.PrefillRate)
}

// setExpected sets the parts of the cost of Expect.
func (parts *Parts) setExpected(p *Prompt, e *Engine) {
	f := Expect(*p, e)
	parts.setCommon(&e.Candidate, p.Zone, streamCost, slotWait)
	parts.Wait, parts.Read = f.Wait, f.Read
	parts.Reread, parts.Misplaced = p.reread(e), p.misplaced(e)
	parts.Output = time.Duration(e.lasting() * outputShare * float64(time.Duration(p.OutputTokens)*outputTokenTime))
}

// AllParts returns the cost of a request at each candidate by its causes, as Choose
// compares them.
func AllParts(request Request, candidates []Candidate) []Parts {
	shares := missShares(request, candidates)
	miss := missCost(request)
	all := make([]Parts, len(candidates))
	for i := range candidates {
		all[i].set(&request, &candidates[i])
		if shares != nil {
			all[i].Miss = time.Duration(shares[i] * float64(miss))
		}
	}
	return all
}

// AllEngineParts returns the cost of a request at each engine by its causes, as ChooseEngine
// compares them: for a short prompt that by load.
func AllEngineParts(p Prompt, engines []Engine) []Parts {
	if p.Kind() != ShortPrompt {
		all := make([]Parts, len(engines))
		for i := range engines {
			all[i].setExpected(&p, &engines[i])
		}
		return all
	}
	candidates := make([]Candidate, len(engines))
	for i := range engines {
		candidates[i] = engines[i].Candidate
	}
	all := AllParts(p.Request, candidates)
	for i := range engines {
		all[i].Misplaced = p.misplaced(&engines[i])
	}
	return all
}

// Kind is a kind of prompts whose engines are chosen in the same way.
type Kind string

// The kinds of prompts.
const (
	// ShortPrompt goes to the engine with the least load of all.
	ShortPrompt Kind = "short"
	// MediumPrompt goes by the expected wait, and not to engines for long prompts.
	MediumPrompt Kind = "medium"
	// LongPrompt goes by the expected wait to one of the engines for long prompts.
	LongPrompt Kind = "long"
)

// Kind returns the kind of the prompt.
func (p Prompt) Kind() Kind {
	switch {
	case p.isShort():
		return ShortPrompt
	case p.isLong():
		return LongPrompt
	}
	return MediumPrompt
}
