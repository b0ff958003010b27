package dispatch

import (
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// RequestEnded tells how a request ended, for the accounting of service levels.
type RequestEnded struct {
	Service, Route, Customer string
	Outcome                  request.Outcome
	Reason                   request.Reason
	// Late tells that the request missed its deadline or a latency target of
	// its route.
	Late bool
	// FirstBad is the first attempt that failed or was late; nil if none was.
	FirstBad *control.AttemptEnded
	At       time.Time
}

// reportEnd reports the end of an accepted request. The host that accepted it
// first reports it, not those to which it was passed on.
func (d *Dispatcher) reportEnd(call *Call, result request.Result) {
	if d.opts.Ended == nil || call.relayed {
		return
	}
	now := time.Now()
	late := now.After(call.Request.Deadline) || (call.last != nil && call.last.Late)
	if target := call.route.FirstToken.D(); target > 0 && call.firstToken > target {
		late = true
	}
	d.opts.Ended(RequestEnded{
		Service: call.Request.Service, Route: call.Request.Route, Customer: call.Request.Customer,
		Outcome: result.Outcome, Reason: result.Reason, Late: late, FirstBad: call.blamed, At: now,
	})
}

// reportRefusal reports a request that was not accepted. Faults of the caller
// are left out, also because their names may be of no service at all.
func (d *Dispatcher) reportRefusal(sub Submission, err error) {
	var refused *RefusalError
	if d.opts.Ended == nil || !errors.As(err, &refused) {
		return
	}
	switch refused.Reason {
	case request.ReasonInvalid, request.ReasonNotConfigured:
		return
	}
	d.opts.Ended(RequestEnded{
		Service: sub.Service, Route: sub.Route, Customer: sub.Customer,
		Outcome: request.NotRun, Reason: refused.Reason, At: time.Now(),
	})
}
