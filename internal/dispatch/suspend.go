package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/stream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// Transfer is a request with the state that another host needs to continue it.
type Transfer struct {
	Request *request.Request
	Tokens  []string
	// KV is a KV cache that covers the prompt and Tokens; nil if there is none.
	KV *engine.KV
	// Result is set for a request that has ended.
	Result *request.Result
}

// suspended reports whether a call's run ended because the call was suspended, to
// continue elsewhere or because the process stops.
func suspended(ctx context.Context, result request.Result) bool {
	return result.Outcome != request.Answer && errors.Is(context.Cause(ctx), errSuspended)
}

// Abort stops the movable calls without an outcome, as a crash of the process
// would, and refuses new ones. Calls that must run at most once may be at their
// upstreams and continue.
func (d *Dispatcher) Abort() {
	d.Close()
	calls := d.Movable()
	for _, call := range calls {
		call.cancel(errSuspended)
	}
	for _, call := range calls {
		<-call.stopped
	}
}

// Movable returns the calls that may continue at another host: those that may
// run more than once and have not moved, including ended ones whose output is
// still kept.
func (d *Dispatcher) Movable() []*Call {
	return d.filter(func(c *Call) bool {
		again := c.service.Kind == document.KindEngine || c.route.Idempotent
		return again && c.Output.View(0).Moved == ""
	})
}

func (d *Dispatcher) filter(keep func(*Call) bool) []*Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	var calls []*Call
	for _, call := range d.calls {
		if keep(call) {
			calls = append(calls, call)
		}
	}
	return calls
}

// open reports whether the call has neither ended nor moved.
func (c *Call) open() bool {
	view := c.Output.View(0)
	return view.Result == nil && view.Moved == ""
}

// Suspend stops a call's run on this host and returns its state. The caller must
// then call either MovedTo or Continue.
func (d *Dispatcher) Suspend(ctx context.Context, call *Call) Transfer {
	var kv *engine.KV
	if a := call.current.Load(); a != nil && d.worthMovingKV(a) {
		kv = d.exportKV(ctx, a)
	}
	call.cancel(errSuspended)
	<-call.stopped
	view := call.Output.View(0)
	return Transfer{Request: call.Request, Tokens: view.Tokens, KV: kv, Result: view.Result}
}

// worthMovingKV reports whether moving the KV cache costs no more than
// recomputing it.
func (d *Dispatcher) worthMovingKV(a *attempt) bool {
	costs := d.estimates.Costs(a.call.Request.Service)
	computed := a.stream().Computed
	return costs.KVTime(computed) <= time.Duration(computed)*(costs.Prefill+costs.DelayPerToken)
}

// MovedTo marks a suspended call as moved to another host and notifies its readers.
func (d *Dispatcher) MovedTo(call *Call, host string) {
	ended := !call.Output.Move(host)
	d.counters.HandedOver.Add(1)
	if ended {
		return
	}
	d.mu.Lock()
	d.perCustomer[call.Request.Customer]--
	d.mu.Unlock()
	time.AfterFunc(endedRetention, func() { d.forget(call) })
}

// Continue resumes a suspended call on this host, unless it has ended or moved.
func (d *Dispatcher) Continue(call *Call) {
	if !call.open() {
		return
	}
	d.mu.Lock()
	call.prepare()
	d.mu.Unlock()
	d.start(call)
}

// Adopt takes over a request from another host and reports whether this host is
// now responsible for it. It replaces a copy on this host that has fewer tokens.
func (d *Dispatcher) Adopt(t Transfer) bool {
	snapshot := d.opts.Snapshot()
	if snapshot.Document == nil || snapshot.Leaving {
		return false
	}
	service := snapshot.Document.Service(t.Request.Service)
	if service == nil {
		return false
	}
	r := service.Route(t.Request.Route)
	if r == nil {
		return false
	}
	call := &Call{
		Request: t.Request, Output: stream.New(t.Tokens), service: service, route: r,
		kv: t.KV, mayHaveRun: t.Request.Attempts > 0, prevTokens: len(t.Tokens),
	}
	call.prepare()
	older, kept := d.replace(call)
	if kept {
		return true
	}
	if older != nil {
		older.cancel(errSuspended)
	}
	if t.Result != nil {
		close(call.stopped)
		call.Output.Finish(*t.Result)
		time.AfterFunc(endedRetention, func() { d.forget(call) })
		return true
	}
	d.counters.Adopted.Add(1)
	d.start(call)
	return true
}

// replace stores a call in place of an older one with the same ID, unless the
// older one has not moved and has at least as many tokens: then it is kept.
func (d *Dispatcher) replace(call *Call) (older *Call, kept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	older = d.calls[call.Request.ID]
	if older != nil && older.Output.View(0).Moved == "" && older.Output.Len() >= call.Output.Len() {
		return older, true
	}
	d.calls[call.Request.ID] = call
	if call.Output.Result() == nil {
		d.perCustomer[call.Request.Customer]++
	}
	return older, false
}

// Close makes the dispatcher refuse new requests. Those that were accepted before are
// among the calls when it returns.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed.Store(true)
}
