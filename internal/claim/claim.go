// Package claim settles which process may dispatch a call that must run at
// most once.
package claim

import (
	"context"
	"sync"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// Verdict says what to do with a call.
type Verdict int

// The verdicts.
const (
	// Dispatch gives the caller of Acquire the right to dispatch the call, once.
	Dispatch Verdict = iota + 1
	// Stored means that the call has ended; its result is at hand.
	Stored
	// Elsewhere means that another host holds the right.
	Elsewhere
	// Refused means that nobody may dispatch; the call is certain not to run.
	Refused
)

// Decision is the answer to Acquire.
type Decision struct {
	Verdict Verdict
	// Result is set with Stored and Refused.
	Result request.Result
	// Host and Incarnation name the holder, with Elsewhere.
	Host, Incarnation string
}

// Claims settles rights to dispatch.
type Claims interface {
	// Acquire asks for the right to dispatch the call of a key. Asking again
	// for a key that this process holds waits for its result.
	Acquire(ctx context.Context, key string, fingerprint uint64) (Decision, error)
	// Complete records the result of a dispatched call.
	Complete(ctx context.Context, key string, result request.Result)
	// Release gives the right up; the call was certainly not dispatched.
	Release(ctx context.Context, key string)
}

// Local keeps claims in this process only.
type Local struct {
	mu      sync.Mutex
	entries map[string]*localEntry
}

type localEntry struct {
	done   chan struct{}
	result request.Result
}

var _ Claims = (*Local)(nil)

// NewLocal returns claims without entries.
func NewLocal() *Local { return &Local{entries: map[string]*localEntry{}} }

// Acquire implements Claims.
func (l *Local) Acquire(ctx context.Context, key string, _ uint64) (Decision, error) {
	for {
		l.mu.Lock()
		entry := l.entries[key]
		if entry == nil {
			l.entries[key] = &localEntry{done: make(chan struct{})}
			l.mu.Unlock()
			return Decision{Verdict: Dispatch}, nil
		}
		l.mu.Unlock()
		select {
		case <-entry.done:
		case <-ctx.Done():
			return Decision{}, ctx.Err()
		}
		if entry.result.Outcome != 0 {
			return Decision{Verdict: Stored, Result: entry.result}, nil
		}
	}
}

// Complete implements Claims.
func (l *Local) Complete(_ context.Context, key string, result request.Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.entries[key]
	entry.result = result
	close(entry.done)
}

// Release implements Claims.
func (l *Local) Release(_ context.Context, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.entries[key].done)
	delete(l.entries, key)
}
