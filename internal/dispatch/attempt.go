package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// maxFailures bounds the attempts in a row that ran and brought no token.
	maxFailures = 12
	// pinnedFailures is the number of failures after which a stream may go on
	// at another version.
	pinnedFailures = 3
	// suspectFailures is the number of failures in a row after which a call
	// whose connection broke waits for suspectPause, so that a request that
	// crashes upstreams is held back before it reaches another one.
	suspectFailures = 2
	suspectPause    = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the wait before upstreams that failed a
	// call are tried again.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// excludedWait is the longest wait in the queue with one set of excluded
	// upstreams.
	excludedWait = 500 * time.Millisecond
)

// query describes what a call needs. A version other than "" keeps it there
// while that version takes new work.
func (d *Dispatcher) query(call *Call, version string, exclude map[string]bool) route.Query {
	q := route.Query{
		Service: call.Request.Service, Route: call.Request.Route, Customer: call.Request.Customer,
		Class: call.route.Class, Deadline: call.Request.Deadline,
		Cost: call.Request.MaxTokens - call.Output.Len(), Exclude: exclude,
	}
	q.Prefix = prefix.Hash(call.Request.Prompt)
	if version != "" && d.versionOpen(q.Service, version) {
		q.Version = version
	}
	return q
}

// pinned returns the version at which a stream that has begun goes on, or ""
// where it may go on at any.
func (c *Call) pinned() string {
	if c.Output.Len() == 0 || c.failures >= pinnedFailures {
		return ""
	}
	return c.version
}

// versionOpen reports whether a version has an upstream that takes new work.
func (d *Dispatcher) versionOpen(service, version string) bool {
	for _, u := range d.opts.Snapshot().Upstreams[service] {
		if u.Available && u.Version == version {
			return true
		}
	}
	return false
}

// place finds an upstream for the next attempt at an engine, with the KV cache
// that came with the call if there is one.
func (d *Dispatcher) place(ctx context.Context, call *Call, failed map[string]bool) (*placement, *request.Result) {
	lease, end := d.acquire(ctx, call, failed)
	if end != nil {
		return nil, end
	}
	next := &placement{lease: lease}
	if call.kv != nil && d.importKV(ctx, lease.Upstream, call.kv) {
		next.kv = call.kv
	}
	call.kv = nil
	return next, nil
}

// acquire gets an upstream for a call, or the result that ends the call. A
// call that an upstream may have run is tried for until its deadline.
func (d *Dispatcher) acquire(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, *request.Result) {
	for {
		snapshot := d.opts.Snapshot()
		if snapshot.Held(call.Request.Fingerprint, time.Now()) {
			return nil, d.giveUp(call, request.ReasonHeldBack)
		}
		d.readmit(ctx, call, snapshot, failed)
		lease, err := d.queue(ctx, call, failed)
		switch {
		case err == nil:
			return lease, nil
		case ctx.Err() != nil:
			return nil, d.giveUp(call, endReason(ctx))
		case errors.Is(err, context.DeadlineExceeded):
			clear(failed)
			continue
		case !call.mayHaveRun:
			return nil, d.giveUp(call, refusalReason(err))
		}
		pause(ctx, maxBackoff/4)
	}
}

// queue waits for an upstream; where some are excluded only for a while, since
// they may be the only ones that this host may use.
func (d *Dispatcher) queue(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, error) {
	if len(failed) > 0 {
		bounded, cancel := context.WithTimeout(ctx, excludedWait)
		defer cancel()
		ctx = bounded
	}
	return d.opts.Router.Acquire(ctx, d.query(call, call.pinned(), failed))
}

func refusalReason(err error) request.Reason {
	var overload *route.OverloadError
	if errors.As(err, &overload) {
		return request.ReasonOverload
	}
	return request.ReasonDeadline
}

func endReason(ctx context.Context) request.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return request.ReasonDeadline
	}
	return request.ReasonCancelled
}

// readmit lets a call try upstreams again that failed it, after a wait that
// doubles each time, once it has failed at all that are open of a version.
func (d *Dispatcher) readmit(ctx context.Context, call *Call, snapshot *control.Snapshot, failed map[string]bool) {
	if len(failed) == 0 || !exhausted(time.Now(), snapshot.Upstreams[call.Request.Service], failed) {
		return
	}
	pause(ctx, min(maxBackoff, minBackoff<<min(call.rounds, 10)))
	call.rounds++
	clear(failed)
}

// exhausted reports whether there is a version all of whose open upstreams failed.
func exhausted(now time.Time, upstreams []*control.Upstream, failed map[string]bool) bool {
	open, left := map[string]bool{}, map[string]bool{}
	for _, u := range upstreams {
		if u.Available && u.LimitAt(now) > 0 {
			open[u.Version] = true
			left[u.Version] = left[u.Version] || !failed[u.ID]
		}
	}
	for version := range open {
		if !left[version] {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// giveUp returns the result of a call that gets no further attempt. It is "not
// run" only where no upstream can have run the call.
func (d *Dispatcher) giveUp(call *Call, reason request.Reason) *request.Result {
	outcome := request.NotRun
	if call.mayHaveRun {
		outcome = request.Unknown
	}
	return &request.Result{Outcome: outcome, Reason: reason, Tokens: call.Output.Len()}
}

// afterFailure decides whether a call goes on after a failed attempt; it
// returns the end of the call, or nil to try again.
func (d *Dispatcher) afterFailure(ctx context.Context, call *Call, lease *route.Lease, err error, failed map[string]bool) *request.Result {
	failed[lease.Upstream.ID] = true
	kind := upstream.KindOf(err)
	progressed := call.Output.Len() > call.progress
	call.progress = call.Output.Len()
	ran := !upstream.CertainlyNotRun(kind)
	call.mayHaveRun = call.mayHaveRun || ran
	switch {
	case progressed:
		call.failures = 1
	case ran:
		call.failures++
	}
	switch {
	case ctx.Err() != nil:
		return d.giveUp(call, endReason(ctx))
	case kind == upstream.Invalid:
		return d.giveUp(call, request.ReasonInvalid)
	case call.failures >= maxFailures:
		return d.giveUp(call, request.ReasonUpstreamFailed)
	}
	if ran && !progressed {
		d.awaitBudget(ctx, call)
	}
	if kind == upstream.Lost && call.failures >= suspectFailures {
		pause(ctx, suspectPause)
	}
	d.counters.Retried.Add(1)
	return nil
}

// awaitBudget waits until the service's budget pays for another attempt. One
// that brought tokens or did not run costs nothing: no work is repeated.
func (d *Dispatcher) awaitBudget(ctx context.Context, call *Call) {
	for ctx.Err() == nil {
		wait := d.budgets.take(call.Request.Service, time.Now())
		if wait == 0 {
			return
		}
		pause(ctx, wait)
	}
}

// attempt measures one attempt at an upstream.
type attempt struct {
	call       *Call
	lease      *route.Lease
	upstream   *control.Upstream
	kv         *engine.KV
	started    time.Time
	first      time.Time
	last       time.Time
	tokens     int
	recomputed int
	// progress is the time of the last sign of life, in Unix nanoseconds.
	progress atomic.Int64
	// next is where the stream goes on, if it was moved.
	next *placement
}

func (a *attempt) token(now time.Time) {
	if a.tokens == 0 {
		a.first = now
	}
	if a.call.firstToken == 0 {
		a.call.firstToken = now.Sub(a.call.Request.Accepted)
	}
	a.call.version = a.upstream.Version
	a.last = now
	a.tokens++
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
