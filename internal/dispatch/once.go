package dispatch

import (
	"context"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

// runOnce runs a call that must not run twice.
func (d *Dispatcher) runOnce(ctx context.Context, call *Call) request.Result {
	for {
		decision, err := d.opts.Claims.Acquire(ctx, call.Request.Key, call.Request.Fingerprint)
		switch {
		case err != nil:
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonDeadline}
		case decision.Verdict == claim.Dispatch:
			return d.dispatchOnce(ctx, call)
		case decision.Verdict != claim.Elsewhere:
			return decision.Result
		case !d.opts.Claims.Await(ctx, call.Request.Key):
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonClaimedBefore}
		}
	}
}

// dispatchOnce sends a call whose right this host holds. It tries again only
// while it is certain that no upstream ran the call.
func (d *Dispatcher) dispatchOnce(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	for {
		lease, end := d.acquire(ctx, call, failed)
		if end != nil {
			d.opts.Claims.Release(call.Request.Key)
			end.Outcome = request.NotRun
			return *end
		}
		answer, err := d.callPlain(ctx, call, lease)
		if err == nil {
			return d.complete(call, plainResult(answer))
		}
		switch kind := upstream.KindOf(err); kind {
		case upstream.NotSent, upstream.Refused:
			failed[lease.Upstream.ID] = true
			d.counters.Retried.Add(1)
		default:
			return d.complete(call, request.Result{Outcome: request.Unknown, Reason: request.ReasonUpstreamLost})
		}
	}
}

func (d *Dispatcher) complete(call *Call, result request.Result) request.Result {
	d.opts.Claims.Complete(call.Request.Key, result)
	return result
}
