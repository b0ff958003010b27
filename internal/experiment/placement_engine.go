package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

// admit sets what an engine has to read of a prompt, by what it has cached.
func (r *fleetRun) admit(e *promptEngine, q *promptRequest) {
	q.unread = q.prompt.InputTokens
	e.intake += q.prompt.InputTokens + q.prompt.MaxOutputTokens
	held := true
	for i, prefix := range q.prefixes {
		at, cached := e.cache[prefix]
		held = held && cached && e.intake-at < r.MemoryTokens
		if held {
			q.unread -= q.prompt.Parts[i].Tokens
		} else if r.read[prefix] {
			r.result.Reread += q.prompt.Parts[i].Tokens
		}
		e.cache[prefix], r.read[prefix] = e.intake, true
	}
	r.result.Read += q.unread
}

// stepTime is the time of a step of the usual engine, and stepTimePerStream what each
// stream adds.
const (
	stepTime          = 3850 * time.Microsecond
	stepTimePerStream = 25 * time.Microsecond
)

// attentionPerPair is the time, in nanoseconds, to relate a token of a prompt to one before
// it: 0.276 ms for a million pairs.
const attentionPerPair = 0.276 * float64(time.Millisecond) / 1e6

// attentionTime returns what the length of a prompt adds to the time to read a piece of it.
func attentionTime(piece, position int) time.Duration {
	return time.Duration(attentionPerPair * float64(piece) * (float64(position) + float64(piece)/2))
}

// step lets an engine read a piece of a prompt and generate a token of each stream.
func (r *fleetRun) step(i int, now time.Duration) {
	e := r.engines[i]
	took := stepTime + time.Duration(len(e.running))*stepTimePerStream
	reads := len(e.waiting) > 0 && (r.Slots == 0 || len(e.running) < r.Slots)
	if reads {
		q := e.waiting[0]
		piece := min(q.unread, r.ChunkTokens)
		position := q.prompt.InputTokens - q.unread
		q.unread -= piece
		took += place.PrefillTime(piece, r.PrefillRate) + attentionTime(piece, position)
	}
	end := now + time.Duration(float64(took)*r.slowdownAt(i, now))
	e.running = slices.DeleteFunc(e.running, func(q *promptRequest) bool { return r.generate(q, end) })
	if reads && e.waiting[0].unread == 0 {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		q.firstAt, q.lastAt = end, end
		e.running = append(e.running, q)
		r.change(loadChange{at: end, engine: i, host: q.host, tokens: -q.counted})
	}
	if len(e.waiting)+len(e.running) == 0 {
		e.stepping = false
		return
	}
	heap.Push(&r.steps, engineStep{end, i})
}

// busyPeriod is the length of the periods in each of which an engine is busy or not.
const busyPeriod = 600 * time.Millisecond

// slowdownAt returns how long work takes at an engine at a moment.
func (r *fleetRun) slowdownAt(i int, now time.Duration) float64 {
	slowdown := r.engines[i].slowdown
	period := uint64(now/busyPeriod) + uint64(i)
	if r.BusyShare > 0 && rand.New(rand.NewPCG(r.Seed+uint64(i), period)).Float64() < r.BusyShare {
		return slowdown * r.BusyFactor
	}
	return slowdown
}

// generate adds a token to a stream and reports whether the stream has ended.
func (r *fleetRun) generate(q *promptRequest, now time.Duration) bool {
	q.remaining--
	if q.tokensOfEvent++; q.tokensOfEvent == r.EventTokens || q.remaining <= 0 {
		q.longestPause = max(q.longestPause, now-q.lastAt)
		q.lastAt, q.tokensOfEvent = now, 0
	}
	c := r.Classes[q.class]
	late := now-q.arrived > c.Deadline
	if q.remaining > 0 && !late {
		return false
	}
	r.change(loadChange{at: now, engine: q.engine, host: q.host, requests: -1})
	result := &r.result.Classes[q.class]
	first := q.firstAt - q.arrived
	result.FirstEvents = append(result.FirstEvents, first)
	switch {
	case late:
		result.Failed++
	case first <= c.Objective && q.longestPause <= c.Pause:
		result.OnTime++
	}
	return true
}
