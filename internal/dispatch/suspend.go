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

// Transfer is a request with the state from which another host goes on.
type Transfer struct {
	Request *request.Request
	Tokens  []string
	// KV is a KV cache that covers the prompt and Tokens; nil if there is none.
	KV *engine.KV
	// Result is set for a request that has ended.
	Result *request.Result
}

// suspended reports whether a call's run ended because the call is to go on
// elsewhere or the process ends.
func suspended(ctx context.Context, result request.Result) bool {
	return result.Outcome != request.Answer && errors.Is(context.Cause(ctx), errSuspended)
}

// Abort stops the calls that may run again without an end, as the death of the
// process does. A call that must run once may be at its upstream and is left
// alone.
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

// Movable returns the calls that may go on at another host: those that have
// not ended and may run again, and those that ended and whose output is kept.
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

// Suspend stops a call's run here and returns its state. The call must then be
// given up by MovedTo or go on by Continue.
func (d *Dispatcher) Suspend(ctx context.Context, call *Call) Transfer {
	var kv *engine.KV
	if a := call.current.Load(); a != nil && d.worthKV(a) {
		kv = d.exportKV(ctx, a)
	}
	call.cancel(errSuspended)
	<-call.stopped
	view := call.Output.View(0)
	return Transfer{Request: call.Request, Tokens: view.Tokens, KV: kv, Result: view.Result}
}

// worthKV reports whether moving the KV cache costs less than computing again.
func (d *Dispatcher) worthKV(a *attempt) bool {
	costs := d.estimates.Costs(a.call.Request.Service)
	computed := a.stream().Computed
	return costs.KVTime(computed) <= time.Duration(computed)*(costs.Prefill+costs.DelayPerToken)
}

// MovedTo leaves a suspended call to another host; its readers are told.
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

// Continue runs a suspended call here again.
func (d *Dispatcher) Continue(call *Call) {
	if !call.open() {
		return
	}
	d.mu.Lock()
	call.ready()
	d.mu.Unlock()
	d.start(call)
}

// Adopt takes over a request from another host and reports whether this host
// answers for it now. A copy that this host has and that got less far gives way.
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
		kv: t.KV, mayHaveRun: t.Request.Attempts > 0, progress: len(t.Tokens),
	}
	call.ready()
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

// replace puts a call in the place of one of the same ID. It keeps one that
// runs here and is further on.
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

// Close makes the dispatcher refuse new requests, because the host leaves.
func (d *Dispatcher) Close() { d.closed.Store(true) }
