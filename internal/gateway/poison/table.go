package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
)

// crash is the crash of an upstream that ran a request with a trait.
type crash struct {
	// at is the boot time of the crash.
	at time.Duration
	// own is set when this host detected the crash.
	own bool
}

// crashesByUpstream holds the crashes of upstreams that ran requests with a trait, by the
// hash of the upstream.
type crashesByUpstream map[uint32]crash

// newest returns the boot time of the newest crash.
func (c crashesByUpstream) newest() time.Duration {
	var newest time.Duration
	for _, one := range c {
		newest = max(newest, one.at)
	}
	return newest
}

// ttl returns how long the crashes count.
func (c crashesByUpstream) ttl() time.Duration {
	if len(c) >= crashesToConfirm {
		return confirmedTTL
	}
	return crashTTL
}

// Table holds the crashes that a host knows. It is safe for concurrent use.
type Table struct {
	// any is set while a loss or crash is known, and for some time after. Requests
	// need no lock while it is not.
	any atomic.Bool

	mu sync.Mutex
	// lost holds the requests lost at each upstream that is being checked.
	lost    map[string][]Request
	byTrait map[uint64]crashesByUpstream
	// cleared holds the boot times of the latest responses to requests with a trait at
	// any host, and clearedHere those at this one. Only the latter are sent to
	// peers, since each transfer makes a response appear slightly later.
	cleared, clearedHere map[uint64]time.Duration
	// trials holds the last trial of each part at this host.
	trials map[uint64]trialSlot
	// turn is the position of the next crash that takes its turn in a digest.
	turn int
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{
		lost: map[string][]Request{}, byTrait: map[uint64]crashesByUpstream{},
		cleared: map[uint64]time.Duration{}, clearedHere: map[uint64]time.Duration{},
		trials: map[uint64]trialSlot{},
	}
}

// Any reports whether any loss or crash is known, or was until recently.
func (t *Table) Any() bool { return t.any.Load() }

// RecordLoss records that a request was lost with its connection to an instance of an
// upstream. Traits that the instance had been answering are left out of the request. It
// reports whether the caller has to start a check of the upstream; if not, one is
// pending.
func (t *Table) RecordLoss(request Request, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.any.Store(true)
	requests := t.lost[upstream]
	known := slices.ContainsFunc(requests, func(r Request) bool {
		return r.Content == request.Content && len(r.Parts) >= len(request.Parts)
	})
	if !known {
		t.lost[upstream] = append(requests, request)
	}
	return len(requests) == 0
}

// FinishCheck records the result of the check of an upstream. It returns the number
// of requests that were lost there and, if it crashed, the traits for which any of them
// is held from now on.
func (t *Table) FinishCheck(upstream string, crashed bool, now time.Duration) (lost int, held []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := t.lost[upstream]
	delete(t.lost, upstream)
	if !crashed {
		t.expire(now)
		return len(requests), nil
	}
	for _, request := range requests {
		for _, trait := range request.traits() {
			t.addCrash(trait.Key, inflight.Hash(upstream), crash{at: now, own: true})
		}
	}
	for _, request := range requests {
		for _, s := range t.holding(request, now) {
			if !slices.Contains(held, s.Trait) {
				held = append(held, s.Trait)
			}
		}
	}
	return len(requests), held
}

// addCrash adds a crash unless it precedes the latest response to a request with the
// trait. Of several times of a crash the earliest is kept.
func (t *Table) addCrash(trait uint64, upstream uint32, reported crash) {
	if respondedAt, known := t.cleared[trait]; known && reported.at <= respondedAt {
		return
	}
	c := t.byTrait[trait]
	if c == nil {
		t.makeRoom()
		c = crashesByUpstream{}
		t.byTrait[trait] = c
	}
	if before, known := c[upstream]; !known || reported.at < before.at {
		c[upstream] = crash{at: reported.at, own: reported.own || before.own}
	}
	t.any.Store(true)
}

// makeRoom drops the trait with the fewest crashes, and of these the one whose last crash
// is longest ago, if there are maxTraits.
//
// Scenario: engines with hundreds of requests each crash one after the other under one
// part of prompts.
func (t *Table) makeRoom() {
	if len(t.byTrait) < maxTraits {
		return
	}
	var weakest uint64
	count, newest := -1, time.Duration(0)
	for trait, c := range t.byTrait {
		if at := c.newest(); count < 0 || len(c) < count || len(c) == count && at < newest {
			weakest, count, newest = trait, len(c), at
		}
	}
	delete(t.byTrait, weakest)
}

// RecordResponse records a complete response to a request, which clears the crashes of
// its traits. It returns those of them that had enough crashes for a hold.
func (t *Table) RecordResponse(request Request, now time.Duration) []Trait {
	return t.clearHere(request.traits(), now)
}

// RecordAnswering records that an upstream has been answering a request for
// AnsweringFor, which clears the crashes of the parts of its prompt. It returns those of
// them that had enough crashes for a hold.
func (t *Table) RecordAnswering(request Request, now time.Duration) []Trait {
	return t.clearHere(request.Parts, now)
}

// clearHere clears traits after a response at this host.
func (t *Table) clearHere(traits []Trait, now time.Duration) []Trait {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lifted []Trait
	for _, trait := range traits {
		crashes := t.byTrait[trait.Key]
		if len(crashes) >= crashesToHold {
			lifted = append(lifted, trait)
		}
		if crashes != nil {
			t.clearedHere[trait.Key] = now
			t.clear(trait.Key, now)
		}
	}
	return lifted
}

// clear drops the crashes of a trait up to a response.
func (t *Table) clear(trait uint64, respondedAt time.Duration) {
	t.cleared[trait] = max(t.cleared[trait], respondedAt)
	for upstream, c := range t.byTrait[trait] {
		if c.at <= respondedAt {
			delete(t.byTrait[trait], upstream)
		}
	}
	if len(t.byTrait[trait]) == 0 {
		delete(t.byTrait, trait)
	}
}

// expire drops crashes that count no more and responses older than clearedTTL.
func (t *Table) expire(now time.Duration) {
	old := func(_ uint64, at time.Duration) bool { return now-at > clearedTTL }
	maps.DeleteFunc(t.cleared, old)
	maps.DeleteFunc(t.clearedHere, old)
	for trait, c := range t.byTrait {
		ttl := c.ttl()
		maps.DeleteFunc(c, func(_ uint32, one crash) bool { return now-one.at >= ttl })
		if len(c) == 0 {
			delete(t.byTrait, trait)
		}
	}
	maps.DeleteFunc(t.trials, func(trait uint64, _ trialSlot) bool { return t.byTrait[trait] == nil })
	t.any.Store(len(t.lost)+len(t.byTrait)+len(t.cleared) > 0)
}
