package dispatch

import (
	"context"
	"errors"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// suspended reports whether a call's run ended because the call is to go on
// elsewhere or the process ends.
func suspended(ctx context.Context, result request.Result) bool {
	return result.Outcome != request.Answer && errors.Is(context.Cause(ctx), errSuspended)
}

// Abort stops all calls without an end, as the death of the process does.
func (d *Dispatcher) Abort() {
	for _, call := range d.open() {
		call.cancel(errSuspended)
	}
	d.running.Wait()
}

// open returns the calls that have not ended.
func (d *Dispatcher) open() []*Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	var calls []*Call
	for _, call := range d.calls {
		if view := call.Output.View(0); view.Result == nil && view.Moved == "" {
			calls = append(calls, call)
		}
	}
	return calls
}
