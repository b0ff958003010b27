// Package claim decides which process may dispatch a call that must run at most
// once. Claims and results are records in sharded streams of the log service.
// The first valid claim of a key in log order gives its process the only right
// to dispatch the call, until that process releases it.
package claim

import (
	"context"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// Verdict is the kind of a Decision.
type Verdict int

// Values of Verdict.
const (
	// Dispatch means that the caller of Acquire may dispatch the call, once.
	Dispatch Verdict = iota + 1
	// Stored means that the call has ended; Result holds its result.
	Stored
	// Elsewhere means that another process holds the right; see Holder.
	Elsewhere
	// Refused means that this call may not be dispatched; Result has the reason.
	Refused
)

// Decision is the result of Acquire.
type Decision struct {
	Verdict Verdict
	// Result is set for Stored and Refused.
	Result request.Result
	// Holder is the claim that holds the right; set for Elsewhere.
	Holder Holder
}

// Claims grants rights to dispatch calls.
type Claims interface {
	// Acquire claims the right to dispatch the call of a key. For a key that
	// this process already holds it waits for the result. It returns an error
	// only when ctx is done.
	Acquire(ctx context.Context, key string, fingerprint uint64) (Decision, error)
	// Await looks up the result of a key that another process holds: at that
	// process, at the hosts that keep copies and in the log service. It returns
	// nil if none has a result, after a short pause.
	Await(ctx context.Context, key string, holder Holder) *request.Result
	// Unused reports whether it is certain that no call of a key was dispatched.
	Unused(key string) bool
	// HomeHost returns the ID of the home host of a key's shard, which may be
	// this host.
	HomeHost(key string) string
	// Complete records the result of a dispatched call. It waits a short time
	// for peers to store copies, which outlive this process.
	Complete(key string, result request.Result)
	// Release gives up the right to a call that was certainly not dispatched.
	Release(key string)
}
