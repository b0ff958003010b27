package forward

import (
	"errors"
	"net"
	"time"
)

// disposition is what is known about a request after an attempt.
type disposition int

const (
	// notSent: no byte reached the upstream.
	notSent disposition = iota
	// notRun: the upstream stated that it did not run the request.
	notRun
	// unknown: the request may have run, and there is no response.
	unknown
	// failed: the upstream ran the request and responded with an error.
	failed
	// finished: the response was sent to the caller.
	finished
	// callerGone: the caller disconnected.
	callerGone
)

// outcome is the result of one attempt.
type outcome struct {
	disposition disposition
	reason      string
	// unresponsive is set when the upstream stopped responding, and responseLost
	// when the attempt ended without a complete response for another reason than
	// a time-out.
	unresponsive, responseLost bool
	// closedIdle is set when a connection that was idle before ended without a byte: the
	// upstream may have closed it while the request was on its way.
	closedIdle bool
	// sentAt is the time of day of the send of an attempt whose response was lost.
	sentAt time.Time
	// extraLatency is how much later than half of the route's latency target the
	// response, or the first event of its stream, was read; 0 if it was not
	// later.
	extraLatency time.Duration
	// latency is the time to the response or to the first event of its stream, and pace
	// the mean time between two of its events, 0 if there were fewer.
	latency, pace time.Duration
	// withheld is set when nothing was sent since the upstream wants no requests;
	// it can be reached.
	withheld bool
	// serverError is set when the upstream responded with a status of 500 or
	// above, and success when it did with one below 300.
	serverError, success bool
	// answering is set when the upstream had sent events for poison.AnsweringFor.
	answering bool
}

// notSentOutcome returns the outcome of an attempt that sent nothing.
func (p *proxyRequest) notSentOutcome(err error) outcome {
	if p.r.Context().Err() != nil {
		return outcome{disposition: callerGone, reason: "caller left"}
	}
	return outcome{disposition: notSent, reason: err.Error()}
}

// errorOutcome returns the outcome of an attempt that ended without a complete
// response.
func (a *attempt) errorOutcome(err error) outcome {
	a.countUsageIfRun(a.wallSentAt)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome{disposition: unknown, reason: "no answer in time"}
	}
	unresponsive := errors.Is(err, errUnresponsive)
	return outcome{
		disposition: unknown, reason: err.Error(), unresponsive: unresponsive,
		closedIdle:   !unresponsive && a.conn.Reused() && !a.conn.Received(),
		responseLost: true, sentAt: a.wallSentAt, answering: a.answering,
	}
}
