package dispatch

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const (
	// homeTimeout bounds a request to the home host of a key.
	homeTimeout = time.Second
	// holderTimeout bounds a request to the holder of a ticket.
	holderTimeout = 2 * time.Second
	// holderGoneAfter is how long after its start a call gives up on a holder that is
	// not live.
	holderGoneAfter = 2 * time.Second
	// reacquireTimeout bounds the wait for an upstream at which a call did not fail.
	reacquireTimeout = 500 * time.Millisecond
)

// Relay forwards calls that must run at most once to other hosts.
type Relay interface {
	// Submit runs a request at a host and returns its result. After an error it
	// is unknown whether the request ran.
	Submit(ctx context.Context, host string, r *request.Request) (request.Result, error)
}

// claimKey returns the key under which the call is claimed.
func (c *Call) claimKey() string { return claim.Scoped(c.Request.Key, c.Request.Customer) }

// mayHaveRun reports whether an earlier call with a submission's key may have
// run. A refusal must then not have the outcome NotRun.
func (d *Dispatcher) mayHaveRun(sub *Submission) bool {
	if sub.Key == "" || d.opts.Claims.Unused(claim.Scoped(sub.Key, sub.Customer)) {
		return false
	}
	doc := d.opts.Snapshot().Document
	if doc == nil {
		return true
	}
	service := doc.Service(sub.Service)
	if service == nil || service.Route(sub.Route) == nil {
		return true
	}
	return service.Kind == document.KindPlain && !service.Route(sub.Route).Idempotent
}

// runOnce runs a call that must run at most once.
func (d *Dispatcher) runOnce(ctx context.Context, call *Call) request.Result {
	if result, known := d.relayToHome(ctx, call); known {
		return result
	}
	started := time.Now()
	for ctx.Err() == nil {
		decision, err := d.opts.Claims.Acquire(ctx, call.claimKey(), call.Request.Fingerprint)
		switch {
		case err != nil:
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonDeadline}
		case decision.Verdict == claim.Dispatch:
			return d.dispatchOnce(ctx, call)
		case decision.Verdict != claim.Elsewhere:
			return decision.Result
		}
		if result := d.queryHolder(ctx, call, decision.Holder); result != nil {
			return *result
		}
		if !d.live(decision.Holder) && time.Since(started) > holderGoneAfter {
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonHolderGone}
		}
	}
	return request.Result{Outcome: request.Unknown, Reason: request.ReasonDeadline}
}

// relayToHome forwards a call with a caller's key to the key's home host and
// reports whether the result is known. This saves a read and an append of the
// log. If the result is not known, the call is claimed here.
func (d *Dispatcher) relayToHome(ctx context.Context, call *Call) (request.Result, bool) {
	home := d.opts.Claims.HomeHost(call.claimKey())
	if call.relayed || ticket.Is(call.Request.Key) || home == d.opts.Self.ID || home == "" {
		return request.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	result, err := d.opts.Relay.Submit(ctx, home, call.Request)
	return result, err == nil && result.Outcome != request.Unknown
}

// queryHolder returns the result of a call that another process holds, or nil if
// neither the holder nor Claims.Await returns one.
func (d *Dispatcher) queryHolder(ctx context.Context, call *Call, holder claim.Holder) *request.Result {
	if ticket.Is(call.Request.Key) && !call.relayed {
		relayCtx, cancel := context.WithTimeout(ctx, holderTimeout)
		result, err := d.opts.Relay.Submit(relayCtx, holder.Host, call.Request)
		cancel()
		if err == nil && result.Outcome != request.Unknown {
			return &result
		}
	}
	return d.opts.Claims.Await(ctx, call.claimKey(), holder)
}

func (d *Dispatcher) live(holder claim.Holder) bool {
	host, live := d.opts.Snapshot().Hosts[holder.Host]
	return live && (host.Incarnation == "" || host.Incarnation == holder.Incarnation)
}

// SubmitRelayed accepts a request that another host accepted and forwarded. It is
// not forwarded again. Its error is a *RefusalError.
func (d *Dispatcher) SubmitRelayed(r *request.Request) (*Call, error) {
	if !time.Now().Before(r.Deadline) {
		return nil, refuse(request.ReasonDeadline, 0, "the deadline has passed")
	}
	call, err := d.accept(Submission{
		Customer: r.Customer, Service: r.Service, Route: r.Route, Key: r.Key,
		Prompt: r.Prompt, MaxTokens: r.MaxTokens, Body: r.Body, Timeout: time.Until(r.Deadline), relayed: true,
	})
	if err != nil {
		return nil, err
	}
	d.launch(call)
	return call, nil
}

// dispatchOnce sends a call whose claim this process holds. It retries only
// while it is certain that no upstream ran the call.
func (d *Dispatcher) dispatchOnce(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	for {
		lease, end := d.reacquire(ctx, call, failed)
		if end != nil {
			d.opts.Claims.Release(call.claimKey())
			end.Outcome = request.NotRun
			return *end
		}
		resp, err := d.callPlain(ctx, call, lease)
		if err == nil {
			return d.complete(call, plainResult(resp))
		}
		switch upstream.KindOf(err) {
		case upstream.NotSent, upstream.Refused:
			failed[lease.Upstream.ID] = true
			d.counters.Retried.Add(1)
		case upstream.Faulted, upstream.Invalid:
			return d.complete(call, request.Result{Outcome: request.Unknown, Reason: request.ReasonUpstreamFailed})
		default:
			return d.complete(call, request.Result{Outcome: request.Unknown, Reason: request.ReasonUpstreamLost})
		}
	}
}

// reacquire returns an upstream for a call that did not run at the failed ones.
// If no other is free within reacquireTimeout, it allows the failed ones again.
func (d *Dispatcher) reacquire(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, *request.Result) {
	if len(failed) == 0 {
		return d.acquire(ctx, call, failed)
	}
	roundCtx, cancel := context.WithTimeout(ctx, reacquireTimeout)
	defer cancel()
	lease, end := d.acquire(roundCtx, call, failed)
	if lease != nil || ctx.Err() != nil || end.Reason != request.ReasonDeadline {
		return lease, end
	}
	clear(failed)
	return d.acquire(ctx, call, failed)
}

func (d *Dispatcher) complete(call *Call, result request.Result) request.Result {
	d.opts.Claims.Complete(call.claimKey(), result)
	return result
}
