package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

// maxAttempts bounds the attempts at one request.
const maxAttempts = 6

func (d *Dispatcher) query(call *Call, exclude map[string]bool) route.Query {
	q := route.Query{
		Service: call.Request.Service, Route: call.Request.Route, Customer: call.Request.Customer,
		Class: call.route.Class, Deadline: call.Request.Deadline,
		Cost: call.Request.MaxTokens, Exclude: exclude,
	}
	q.Prefix = prefix.Hash(call.Request.Prompt)
	return q
}

// acquire gets an upstream for a call, or the result that ends the call.
func (d *Dispatcher) acquire(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, *request.Result) {
	snapshot := d.opts.Snapshot()
	if snapshot.Held(call.Request.Fingerprint, time.Now()) {
		return nil, d.giveUp(call, request.ReasonHeldBack)
	}
	lease, err := d.opts.Router.Acquire(ctx, d.query(call, failed))
	var overload *route.OverloadError
	switch {
	case err == nil:
		return lease, nil
	case errors.As(err, &overload):
		return nil, d.giveUp(call, request.ReasonOverload)
	case errors.Is(err, route.ErrDeadline), errors.Is(err, context.DeadlineExceeded):
		return nil, d.giveUp(call, request.ReasonDeadline)
	default:
		return nil, d.giveUp(call, request.ReasonCancelled)
	}
}

// giveUp returns the result of a call that gets no further attempt. Only a
// call that was never attempted is certain not to have run.
func (d *Dispatcher) giveUp(call *Call, reason request.Reason) *request.Result {
	outcome := request.Unknown
	if call.Request.Attempts == 0 {
		outcome = request.NotRun
	}
	return &request.Result{Outcome: outcome, Reason: reason, Tokens: call.Output.Len()}
}

// afterFailure decides whether a call goes on after a failed attempt; it
// returns the end of the call, or nil to try again.
func (d *Dispatcher) afterFailure(ctx context.Context, call *Call, lease *route.Lease, err error, failed map[string]bool) *request.Result {
	failed[lease.Upstream.ID] = true
	kind := upstream.KindOf(err)
	switch {
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return d.giveUp(call, request.ReasonDeadline)
	case ctx.Err() != nil:
		return d.giveUp(call, request.ReasonCancelled)
	case kind == upstream.Invalid:
		return &request.Result{Outcome: request.NotRun, Reason: request.ReasonInvalid}
	case call.Request.Attempts >= maxAttempts:
		return d.giveUp(call, request.ReasonUpstreamFailed)
	}
	d.counters.Retried.Add(1)
	return nil
}

// attempt measures one attempt at an upstream.
type attempt struct {
	call       *Call
	upstream   *control.Upstream
	started    time.Time
	first      time.Time
	last       time.Time
	tokens     int
	recomputed int
}

func (a *attempt) token(now time.Time) {
	if a.tokens == 0 {
		a.first = now
	}
	if a.call.firstToken == 0 {
		a.call.firstToken = now.Sub(a.call.Request.Accepted)
	}
	a.last = now
	a.tokens++
}

func (a *attempt) stallTime() time.Duration {
	target := max(a.call.route.FirstToken.D(), a.call.route.BetweenTokens.D())
	return max(minStall, stallFactor*target)
}

func (d *Dispatcher) reportAttempt(a *attempt, err error) {
	now := time.Now()
	ended := control.AttemptEnded{
		Upstream: a.upstream.ID, Zone: a.upstream.Zone, Service: a.call.Request.Service, Route: a.call.Request.Route,
		Version: a.upstream.Version, Customer: a.call.Request.Customer,
		RequestID: a.call.Request.ID, Fingerprint: a.call.Request.Fingerprint,
		Started: a.started, Took: now.Sub(a.started), Tokens: a.tokens, Recomputed: a.recomputed,
		Cold: a.upstream.Cold,
	}
	if a.tokens > 0 {
		ended.FirstToken = a.first.Sub(a.started)
	}
	if a.tokens > 1 {
		ended.Between = a.last.Sub(a.first) / time.Duration(a.tokens-1)
	}
	if err != nil {
		ended.Failure = asFailure(err)
	}
	r := a.call.route
	ended.Late = (r.FirstToken > 0 && ended.FirstToken > r.FirstToken.D()) ||
		(r.BetweenTokens > 0 && ended.Between > r.BetweenTokens.D()) ||
		now.After(a.call.Request.Deadline)
	if a.call.Request.Attempts > 1 {
		d.counters.Recomputed.Add(int64(a.recomputed))
	}
	a.call.last = &ended
	if a.call.blamed == nil && (ended.Failure != nil || ended.Late) {
		a.call.blamed = &ended
	}
	d.opts.Report(ended)
}

func asFailure(err error) *upstream.Failure {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &upstream.Failure{Kind: upstream.Lost, Err: err}
}
