// Package poison recognises requests that crash the upstreams that run them, and
// holds them back at all hosts. It does no I/O.
//
// A request that is lost with its connection may have crashed its upstream. The
// host checks whether the upstream still takes connections. If it does not,
// the loss counts as a crash, and the host tells its peers. An answer to the
// request clears it everywhere.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

const (
	// CheckAfter is the time between a loss and the check of its upstream, in
	// which the upstream's listener closes.
	CheckAfter = 250 * time.Millisecond
	// holdCrashes is the number of crashed upstreams from which a request is
	// held back. Fewer may have crashed beside it for other reasons.
	holdCrashes = 3
	// memory is how long a crash counts.
	memory = 5 * time.Minute
	// toldFor is how long a host tells its peers of a crash that it found; they
	// remember it.
	toldFor = 10 * time.Second
	// clearedFor is how long peers are told that a request was answered. They
	// tell of crashes before the answer for no longer.
	clearedFor = 10 * time.Second
	// maxTold bounds the crashes in a digest, and the requests that are cleared.
	maxTold = 32
	// maxKnown bounds the requests that are remembered.
	maxKnown = 1024
)

// Fingerprint identifies the content of a request of a customer.
func Fingerprint(method, target, customer string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join([]string{method, target, customer, ""}, "\x00"))
	_, _ = h.Write(body)
	return h.Sum64()
}

// crash is one crash under a request.
type crash struct {
	// at is the boot time of the crash.
	at time.Duration
	// own tells that this host found it.
	own bool
}

// crashes are those under a request, by the hash of the upstream's ID.
type crashes map[uint32]crash

// Table holds what a host knows of crashes. It is safe for concurrent use.
type Table struct {
	// any tells that a crash or loss is known, so that requests on ordinary days
	// cost no lock.
	any atomic.Bool

	mu sync.Mutex
	// lost holds the requests lost at upstreams that are being checked.
	lost  map[string][]uint64
	known map[uint64]crashes
	// cleared holds the boot times of the latest answers to known requests at
	// any host, and answered those at this one. Only the latter are told, since
	// times grow a little on each way.
	cleared, answered map[uint64]time.Duration
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{
		lost: map[string][]uint64{}, known: map[uint64]crashes{},
		cleared: map[uint64]time.Duration{}, answered: map[uint64]time.Duration{},
	}
}

// Any reports whether any crash is known or suspected.
func (t *Table) Any() bool { return t.any.Load() }

// RecordLoss notes that a request was lost with its connection to an upstream. It
// reports whether the upstream has to be checked; if not, a check is due.
func (t *Table) RecordLoss(request uint64, upstream string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.any.Store(true)
	requests := t.lost[upstream]
	if !slices.Contains(requests, request) {
		t.lost[upstream] = append(requests, request)
	}
	return len(requests) == 0
}

// FinishCheck ends the check of an upstream. It returns the number of requests that
// were lost there and, if it crashed, those of them that are held back now.
func (t *Table) FinishCheck(upstream string, crashed bool, now time.Duration) (lost int, held []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	requests := t.lost[upstream]
	delete(t.lost, upstream)
	if !crashed {
		t.forget(now)
		return len(requests), nil
	}
	for _, request := range requests {
		t.add(request, inflight.Hash(upstream), crash{at: now, own: true})
		if len(t.known[request]) >= holdCrashes {
			held = append(held, request)
		}
	}
	return len(requests), held
}

// add counts a crash after the latest answer, as of the earliest time that is
// told of it.
func (t *Table) add(request uint64, upstream uint32, told crash) {
	if answered, known := t.cleared[request]; known && told.at <= answered {
		return
	}
	c := t.known[request]
	if c == nil {
		if len(t.known) >= maxKnown {
			return
		}
		c = crashes{}
		t.known[request] = c
	}
	if before, known := c[upstream]; !known || told.at < before.at {
		c[upstream] = crash{at: told.at, own: told.own || before.own}
	}
	t.any.Store(true)
}

// RecordAnswer clears a request.
func (t *Table) RecordAnswer(request uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known[request] != nil {
		t.answered[request] = now
		t.clear(request, now)
	}
}

// clear drops the crashes of a request up to an answer.
func (t *Table) clear(request uint64, answered time.Duration) {
	t.cleared[request] = max(t.cleared[request], answered)
	for upstream, c := range t.known[request] {
		if c.at <= answered {
			delete(t.known[request], upstream)
		}
	}
	if len(t.known[request]) == 0 {
		delete(t.known, request)
	}
}

// HeldUntil returns until when a request is held back, or 0.
func (t *Table) HeldUntil(request uint64, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var times []time.Duration
	for _, c := range t.known[request] {
		if now-c.at < memory {
			times = append(times, c.at)
		}
	}
	if len(times) < holdCrashes {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-holdCrashes] + memory
}

// DigestEntries returns what a digest tells: new crashes that this host found, those of
// requests that are held back, and the requests that were answered.
//
// Load pattern: a zone of engines crashes with hundreds of requests, most of which
// never come again, in a fleet of ninety hosts.
func (t *Table) DigestEntries(now time.Duration) ([]members.Crash, []members.Cleared) {
	if !t.Any() {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(now)
	var told []members.Crash
	for request, c := range t.known {
		for upstream, one := range c {
			if one.own && now-one.at <= toldFor || len(c) >= holdCrashes {
				told = append(told, members.Crash{Request: request, Upstream: upstream, Age: now - one.at})
			}
		}
	}
	slices.SortFunc(told, func(a, b members.Crash) int {
		return cmp.Or(
			cmp.Compare(len(t.known[b.Request]), len(t.known[a.Request])),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Upstream, b.Upstream),
		)
	})
	answered := make([]members.Cleared, 0, len(t.answered))
	for request, at := range t.answered {
		answered = append(answered, members.Cleared{Request: request, Age: now - at})
	}
	slices.SortFunc(answered, func(a, b members.Cleared) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Request, b.Request))
	})
	return told[:min(len(told), maxTold)], answered[:min(len(answered), maxTold)]
}

// MergePeer takes in what a peer tells.
func (t *Table) MergePeer(told []members.Crash, answered []members.Cleared, now time.Duration) {
	if len(told)+len(answered) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, answer := range answered {
		if age := max(answer.Age, 0); age <= clearedFor {
			t.clear(answer.Request, now-age)
		}
	}
	for _, one := range told {
		if age := max(one.Age, 0); age < memory {
			t.add(one.Request, one.Upstream, crash{at: now - age})
		}
	}
}

// forget drops what is too old.
func (t *Table) forget(now time.Duration) {
	old := func(_ uint64, at time.Duration) bool { return now-at > clearedFor }
	maps.DeleteFunc(t.cleared, old)
	maps.DeleteFunc(t.answered, old)
	for request, c := range t.known {
		for upstream, one := range c {
			if now-one.at >= memory {
				delete(c, upstream)
			}
		}
		if len(c) == 0 {
			delete(t.known, request)
		}
	}
	t.any.Store(len(t.lost)+len(t.known)+len(t.cleared) > 0)
}
