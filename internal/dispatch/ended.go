package dispatch

import (
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// RequestEnded describes how a request ended, for service level accounting.
type RequestEnded struct {
	Service, Route, Customer string
	Outcome                  request.Outcome
	Reason                   request.Reason
	// Late is set when the request missed its deadline or a latency target of
	// its route.
	Late bool
	// FirstBad is the first attempt that failed or was late; nil if there is none.
	FirstBad *control.AttemptEnded
	At       time.Time
}

// reportEnd reports the end of an accepted request, unless another host relayed it
// here: then that host reports it.
func (d *Dispatcher) reportEnd(call *Call, result request.Result) {
	if d.opts.Ended == nil || call.relayed {
		return
	}
	now := time.Now()
	late := now.After(call.Request.Deadline) || (call.lastAttempt != nil && call.lastAttempt.Late)
	if target := call.route.FirstToken.D(); target > 0 && call.firstToken > target {
		late = true
	}
	d.opts.Ended(RequestEnded{
		Service: call.Request.Service, Route: call.Request.Route, Customer: call.Request.Customer,
		Outcome: result.Outcome, Reason: result.Reason, Late: late, FirstBad: call.firstBad, At: now,
	})
}

// reportRefusal reports a request that was not accepted. It omits invalid
// requests, which may name services that do not exist, and those that came
// before there was a configuration.
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
