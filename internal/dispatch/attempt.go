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
	// maxFailures is the number of consecutive failures of attempts that may have
	// run and produced no token after which a call ends.
	maxFailures = 12
	// maxPinnedFailures is the number of consecutive failures after which a stream
	// may continue at another version.
	maxPinnedFailures = 3
	// suspectFailures is the number of consecutive failures after which a call
	// whose connection broke waits for suspectDelay, so that a request that
	// crashes upstreams is held before it reaches another one.
	suspectFailures = 2
	suspectDelay    = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the wait before a call retries upstreams at
	// which it failed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// excludedWait is the longest wait for an upstream with failed ones excluded.
	excludedWait = 500 * time.Millisecond
)

// query returns the routing query of a call. A non-empty version pins the call
// to that version while it has an available upstream.
func (d *Dispatcher) query(call *Call, version string, exclude map[string]bool) route.Query {
	q := route.Query{
		Service: call.Request.Service, Route: call.Request.Route, Customer: call.Request.Customer,
		Class: call.route.Class, Deadline: call.Request.Deadline,
		Cost: call.Request.MaxTokens - call.Output.Len(), Exclude: exclude,
	}
	q.Prefix = prefix.Hash(call.Request.Prompt)
	if version != "" && d.versionAvailable(q.Service, version) {
		q.Version = version
	}
	return q
}

// pinnedVersion returns the version at which a started stream must continue, or
// "" if any version will do.
func (c *Call) pinnedVersion() string {
	if c.Output.Len() == 0 || c.failures >= maxPinnedFailures {
		return ""
	}
	return c.version
}

// versionAvailable reports whether a version has an available upstream.
func (d *Dispatcher) versionAvailable(service, version string) bool {
	for _, u := range d.opts.Snapshot().Upstreams[service] {
		if u.Available && u.Version == version {
			return true
		}
	}
	return false
}

// place acquires an engine for the next attempt and imports the KV cache
// transferred with the call there, if there is one.
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

// acquire returns an upstream for a call, or the result that ends the call. For a
// call that an upstream may have run it retries until the deadline.
func (d *Dispatcher) acquire(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, *request.Result) {
	for {
		snapshot := d.opts.Snapshot()
		if isHeld(snapshot, call.Request.Fingerprint, call.Request.Prompt) {
			return nil, d.giveUp(call, request.ReasonHeldBack)
		}
		d.resetFailed(ctx, call, snapshot, failed)
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
		sleep(ctx, maxBackoff/4)
	}
}

// queue waits for an upstream. If some are excluded it waits at most
// excludedWait, since they may be the only ones that this host may use.
func (d *Dispatcher) queue(ctx context.Context, call *Call, failed map[string]bool) (*route.Lease, error) {
	if len(failed) > 0 {
		bounded, cancel := context.WithTimeout(ctx, excludedWait)
		defer cancel()
		ctx = bounded
	}
	return d.opts.Router.Acquire(ctx, d.query(call, call.pinnedVersion(), failed))
}

// isHeld reports whether a request is held, for its content or the beginning of its prompt.
func isHeld(snapshot *control.Snapshot, fingerprint uint64, prompt string) bool {
	now := time.Now()
	return snapshot.Held(fingerprint, now) || snapshot.Held(prefix.Beginning(prompt), now)
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

// resetFailed clears the set of failed upstreams once it contains all available
// upstreams of a version, after a backoff that doubles each time.
func (d *Dispatcher) resetFailed(ctx context.Context, call *Call, snapshot *control.Snapshot, failed map[string]bool) {
	if len(failed) == 0 || !exhausted(time.Now(), snapshot.Upstreams[call.Request.Service], failed) {
		return
	}
	sleep(ctx, min(maxBackoff, minBackoff<<min(call.rounds, 10)))
	call.rounds++
	clear(failed)
}

// exhausted reports whether all available upstreams of some version failed.
func exhausted(now time.Time, upstreams []*control.Upstream, failed map[string]bool) bool {
	available, untried := map[string]bool{}, map[string]bool{}
	for _, u := range upstreams {
		if u.Available && u.LimitAt(now) > 0 {
			available[u.Version] = true
			untried[u.Version] = untried[u.Version] || !failed[u.ID]
		}
	}
	for version := range available {
		if !untried[version] {
			return true
		}
	}
	return false
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// giveUp returns the result of a call that gets no further attempt. Its outcome
// is NotRun only if no upstream can have run the call, else Unknown.
func (d *Dispatcher) giveUp(call *Call, reason request.Reason) *request.Result {
	outcome := request.NotRun
	if call.mayHaveRun {
		outcome = request.Unknown
	}
	return &request.Result{Outcome: outcome, Reason: reason, Tokens: call.Output.Len()}
}

// afterFailure decides whether to retry after a failed attempt: it returns nil
// for a retry, after any wait, or the result that ends the call.
func (d *Dispatcher) afterFailure(ctx context.Context, call *Call, lease *route.Lease, err error, failed map[string]bool) *request.Result {
	failed[lease.Upstream.ID] = true
	kind := upstream.KindOf(err)
	progressed := call.Output.Len() > call.prevTokens
	call.prevTokens = call.Output.Len()
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
		sleep(ctx, suspectDelay)
	}
	d.counters.Retried.Add(1)
	return nil
}

// awaitBudget takes a retry from the service's retry budget and waits until there
// is one. Callers skip it if the failed attempt produced tokens or did not run,
// since the retry then repeats no work.
func (d *Dispatcher) awaitBudget(ctx context.Context, call *Call) {
	for ctx.Err() == nil {
		wait := d.budgets.take(call.Request.Service, time.Now())
		if wait == 0 {
			return
		}
		sleep(ctx, wait)
	}
}

// attempt is one attempt at an upstream, with its measurements.
type attempt struct {
	call         *Call
	lease        *route.Lease
	upstream     *control.Upstream
	kv           *engine.KV
	started      time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokens       int
	recomputed   int
	// lastProgress is the time of the newest token, or of the start before the
	// first, in Unix nanoseconds.
	lastProgress atomic.Int64
	// next is where a moved stream continues; nil if it was not moved.
	next *placement
}

func (a *attempt) recordToken(now time.Time) {
	if a.tokens == 0 {
		a.firstTokenAt = now
	}
	if a.call.firstToken == 0 {
		a.call.firstToken = now.Sub(a.call.Request.Accepted)
	}
	a.call.version = a.upstream.Version
	a.lastTokenAt = now
	a.tokens++
}

func (d *Dispatcher) reportAttempt(a *attempt, err error) {
	now := time.Now()
	ended := control.AttemptEnded{
		Upstream: a.upstream.ID, Zone: a.upstream.Zone, Service: a.call.Request.Service, Route: a.call.Request.Route,
		Version: a.upstream.Version, Customer: a.call.Request.Customer,
		RequestID: a.call.Request.ID, Fingerprint: a.call.Request.Fingerprint, Beginning: prefix.Beginning(a.call.Request.Prompt),
		Started: a.started, Took: now.Sub(a.started), Tokens: a.tokens, Recomputed: a.recomputed,
		Cold: a.upstream.Cold,
	}
	if a.tokens > 0 {
		ended.FirstToken = a.firstTokenAt.Sub(a.started)
	}
	if a.tokens > 1 {
		ended.Between = a.lastTokenAt.Sub(a.firstTokenAt) / time.Duration(a.tokens-1)
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
	a.call.lastAttempt = &ended
	if a.call.firstBad == nil && (ended.Failure != nil || ended.Late) {
		a.call.firstBad = &ended
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
