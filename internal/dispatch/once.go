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
	// homeWait bounds the wait for the host at which the claims of a key meet.
	homeWait = time.Second
	// holderWait bounds one wait for the holder of a ticket.
	holderWait = 2 * time.Second
	// goneAfter is how long a holder that is not live is looked for.
	goneAfter = 2 * time.Second
	// roundWait is how long a call waits for upstreams that have not failed it.
	roundWait = 500 * time.Millisecond
)

// Relay passes calls that must run at most once to other hosts.
type Relay interface {
	// Submit runs a request at a host and returns how it ended. After an error
	// nothing is known of the request.
	Submit(ctx context.Context, host string, r *request.Request) (request.Result, error)
}

// onceKey returns the key under which the call is claimed.
func (c *Call) onceKey() string { return claim.Scoped(c.Request.Key, c.Request.Customer) }

// mayHaveRun reports whether an earlier call of a submission's key may have
// run, so that a refusal must not say the opposite.
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

// runOnce runs a call that must not run twice.
func (d *Dispatcher) runOnce(ctx context.Context, call *Call) request.Result {
	if result, ended := d.runAtHome(ctx, call); ended {
		return result
	}
	started := time.Now()
	for ctx.Err() == nil {
		decision, err := d.opts.Claims.Acquire(ctx, call.onceKey(), call.Request.Fingerprint)
		switch {
		case err != nil:
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonDeadline}
		case decision.Verdict == claim.Dispatch:
			return d.dispatchOnce(ctx, call)
		case decision.Verdict != claim.Elsewhere:
			return decision.Result
		}
		if result := d.askHolder(ctx, call, decision.Holder); result != nil {
			return *result
		}
		if !d.live(decision.Holder) && time.Since(started) > goneAfter {
			return request.Result{Outcome: request.Unknown, Reason: request.ReasonHolderGone}
		}
	}
	return request.Result{Outcome: request.Unknown, Reason: request.ReasonDeadline}
}

// runAtHome passes a call with a caller's key to the host at which the claims
// of its key meet. That saves reading and appending; where it fails, the call
// is claimed here.
func (d *Dispatcher) runAtHome(ctx context.Context, call *Call) (request.Result, bool) {
	home := d.opts.Claims.HomeHost(call.onceKey())
	if call.relayed || ticket.Is(call.Request.Key) || home == d.opts.Self.ID || home == "" {
		return request.Result{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, homeWait)
	defer cancel()
	result, err := d.opts.Relay.Submit(ctx, home, call.Request)
	return result, err == nil && result.Outcome != request.Unknown
}

// askHolder gets the result of a call that another process may dispatch, or
// nil after a while.
func (d *Dispatcher) askHolder(ctx context.Context, call *Call, holder claim.Holder) *request.Result {
	if ticket.Is(call.Request.Key) && !call.relayed {
		relayCtx, cancel := context.WithTimeout(ctx, holderWait)
		result, err := d.opts.Relay.Submit(relayCtx, holder.Host, call.Request)
		cancel()
		if err == nil && result.Outcome != request.Unknown {
			return &result
		}
	}
	return d.opts.Claims.Await(ctx, call.onceKey(), holder)
}

func (d *Dispatcher) live(holder claim.Holder) bool {
	host, live := d.opts.Snapshot().Hosts[holder.Host]
	return live && (host.Incarnation == "" || host.Incarnation == holder.Incarnation)
}

// SubmitRelayed accepts a request that another host accepted before. It is not
// passed on again. Its error is a *RefusalError.
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
	d.start(call)
	return call, nil
}

// dispatchOnce sends a call whose right this host holds. It tries again only
// while it is certain that no upstream ran the call.
func (d *Dispatcher) dispatchOnce(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	for {
		lease, end := d.acquireAgain(ctx, call, failed)
		if end != nil {
			d.opts.Claims.Release(call.onceKey())
			end.Outcome = request.NotRun
			return *end
		}
		answer, err := d.callPlain(ctx, call, lease)
		if err == nil {
			return d.complete(call, plainResult(answer))
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

// acquireAgain gets an upstream for a call that the given upstreams refused or
// did not get. Where no other takes it within a while, all may be tried again.
func (d *Dispatcher) acquireAgain(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, *request.Result) {
	if len(failed) == 0 {
		return d.acquire(ctx, call, failed)
	}
	roundCtx, cancel := context.WithTimeout(ctx, roundWait)
	defer cancel()
	lease, end := d.acquire(roundCtx, call, failed)
	if lease != nil || ctx.Err() != nil || end.Reason != request.ReasonDeadline {
		return lease, end
	}
	clear(failed)
	return d.acquire(ctx, call, failed)
}

func (d *Dispatcher) complete(call *Call, result request.Result) request.Result {
	d.opts.Claims.Complete(call.onceKey(), result)
	return result
}
