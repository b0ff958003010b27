// Package claim settles which process may dispatch a call that must run at
// most once. Claims and results are records of sharded streams of the log
// service; the first claim of a key in log order names the one process that
// may ever dispatch it.
package claim

import (
	"context"

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
	// Elsewhere means that another process holds the right.
	Elsewhere
	// Refused means that this call gets no right; Result says why.
	Refused
)

// Decision is the answer to Acquire.
type Decision struct {
	Verdict Verdict
	// Result is set with Stored and Refused.
	Result request.Result
	// Holder is the claim that holds the right, with Elsewhere.
	Holder Holder
}

// Claims settles rights to dispatch.
type Claims interface {
	// Acquire asks for the right to dispatch the call of a key. Asking again
	// for a key that this process holds waits for its result. Its error is the
	// context's.
	Acquire(ctx context.Context, key string, fingerprint uint64) (Decision, error)
	// Await looks for the result of a key that another process holds, at that
	// process, at the hosts that keep copies and in the log service. It returns
	// nil after a short wait without one.
	Await(ctx context.Context, key string, holder Holder) *request.Result
	// Unused reports whether it is certain that no call of a key was dispatched.
	Unused(key string) bool
	// HomeHost names the host at which the claims of a key meet; it may be this one.
	HomeHost(key string) string
	// Complete records the result of a dispatched call. It may take a moment,
	// for copies that outlive this process.
	Complete(key string, result request.Result)
	// Release gives the right up; the call was certainly not dispatched.
	Release(key string)
}
