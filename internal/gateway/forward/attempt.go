package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// Limits of attempts.
const (
	// responseCheckInterval is the interval at which a waiting attempt checks
	// whether its upstream still responds.
	responseCheckInterval = 250 * time.Millisecond
	// maxStreamSilence is the time without events after which a stream is taken
	// from an unresponsive upstream even if all others are suspect.
	maxStreamSilence = 3 * time.Second
	// atMostOnceMaxIdle is the longest idle time of a connection that is used for
	// a request that must not be sent twice.
	atMostOnceMaxIdle = 250 * time.Millisecond
	// maxResponses bounds the responses read on a connection to find the one to
	// this attempt.
	maxResponses = 16
	// slowDial is the time after which a connection that is not open yet raises doubt that
	// upstreams can be reached.
	slowDial = 200 * time.Millisecond
	// rejectionTimeout bounds the time to read the body of a rejection.
	rejectionTimeout = 50 * time.Millisecond
)

var (
	errUnresponsive = errors.New("upstream is silent")
	errNoID         = errors.New("answer has no ID")
	errStatusLine   = errors.New("answer has no status of HTTP/1")
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one try of a request at one upstream.
type attempt struct {
	*proxyRequest
	member   *catalog.Member
	conn     *upconn.Conn
	inFlight *inflight.Request
	sentAt   time.Duration
	// lastReceivedAt is the boot time of the latest event, or of the send before
	// the first.
	lastReceivedAt time.Duration
	// wallSentAt is the time of day of the send, by which usage is counted.
	wallSentAt time.Time
	// firstEventAt is the boot time of the first event of this attempt, and answering is
	// set when the upstream has sent events for poison.AnsweringFor since.
	firstEventAt time.Duration
	answering    bool
	// events is the number of events that the upstream sent in this attempt.
	events int
	// liveness is set for a response without a length.
	liveness *upconn.LivenessConn
	// writeFailed is set when the upstream did not take the whole request.
	writeFailed bool
}

// attempt sends the request to one upstream and sends its response on to the
// caller.
func (p *proxyRequest) attempt(m *catalog.Member) outcome {
	ctx, cancel := context.WithDeadline(p.r.Context(), time.Now().Add(p.deadline-boottime.Now()))
	defer cancel()
	p.upstream = m.ID
	p.attempts++
	slow := time.AfterFunc(slowDial, p.h.Reach.Doubt)
	conn, err := p.h.Pool.Get(ctx, m.ID, m.Address, p.maxIdle())
	slow.Stop()
	if err != nil {
		return p.notSentOutcome(err)
	}
	if p.h.Advisories.State(m, boottime.Now()).Closed() {
		// It said so while the connection was opened.
		p.h.Pool.Put(m.ID, conn, 0)
		return outcome{disposition: notSent, reason: "upstream wants no requests", withheld: true}
	}
	a := &attempt{proxyRequest: p, member: m, conn: conn, sentAt: boottime.Now(), wallSentAt: p.h.Usage.Now()}
	a.lastReceivedAt = a.sentAt
	a.inFlight = p.h.InFlight.Begin(m.ID, m.Service, p.unreadTokens(), a.sentAt)
	defer func() { a.inFlight.End(boottime.Now()) }()
	if p.brittleWait(m, 1, a.sentAt) > 0 {
		// Other requests took its last slots since it was chosen.
		p.h.Pool.Put(m.ID, conn, 0)
		return outcome{disposition: notSent, reason: "upstream is brittle", withheld: true}
	}
	p.sends++
	a.recordSent()
	stop := context.AfterFunc(p.r.Context(), conn.Abort)
	// The read that waits for the upstream ends; see onReadTimeout.
	stopEnding := context.AfterFunc(p.h.ending, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stopEnding()
	keep, keepAlive, result := a.roundTrip()
	switch {
	case stop() && keep:
		p.h.Pool.Put(m.ID, conn, keepAlive)
	case result.disposition == unknown:
		conn.Abort()
	default:
		_ = conn.Close()
	}
	if result.disposition != finished && p.r.Context().Err() != nil {
		result.disposition = callerGone
	}
	return result
}

// maxIdle returns the longest idle time of a connection for the next attempt.
// An upstream may have dropped an idle connection without closing it, and a
// request sent on it is lost: a request that must not be sent twice takes a
// connection that worked very recently, and a retry a new one.
func (p *proxyRequest) maxIdle() time.Duration {
	switch {
	case p.attempts > 1:
		return 0
	case !p.route.Repeatable():
		return atMostOnceMaxIdle
	}
	return upconn.AnyIdle
}

// uncachedTokens returns the prompt tokens that an engine has to read if it has
// the shared parts of the prompt cached.
func uncachedTokens(call *exchange.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return max(call.Prompt.InputTokens-call.Prompt.SharedTokens(), 0)
}

// roundTrip sends the request and handles the response. It reports whether the
// connection can be reused, and returns how long the upstream keeps it open
// when idle.
func (a *attempt) roundTrip() (bool, time.Duration, outcome) {
	if err := a.conn.SetWriteDeadline(time.Now().Add(a.deadline - boottime.Now())); err != nil {
		return false, 0, outcome{disposition: notSent, reason: err.Error()}
	}
	if err := a.setReadDeadline(boottime.Now()); err != nil {
		return false, 0, outcome{disposition: notSent, reason: err.Error()}
	}
	a.conn.OnReadTimeout = a.onReadTimeout
	header := a.h.Codec.UpstreamHeader(a.call, exchange.UpstreamParams{
		Upstream: a.member.ID, Customer: customerName(a.customer),
		Remaining: a.deadline - boottime.Now(), Urgency: urgency(a.route, a.customer), ResumeAfter: a.lastEventID,
	})
	n, writeErr := a.conn.Write(a.call.Method, a.call.Target, a.call.Host, header, a.call.Body)
	if writeErr != nil && n == 0 {
		return false, 0, outcome{disposition: notSent, reason: writeErr.Error()}
	}
	a.writeFailed = writeErr != nil
	for i := range maxResponses {
		resp, head, err := a.readHead()
		if err != nil {
			return false, 0, a.errorOutcome(err)
		}
		if !a.conn.Reused() {
			a.h.Reach.Reached()
		}
		// Upstreams echo the ID in all responses. What a response without it says,
		// be it that the request has not run, may concern another request.
		if head.ID == "" && a.call.ID != "" {
			return false, 0, a.errorOutcome(errNoID)
		}
		if head.ID != a.call.ID {
			a.h.Stats.MismatchedResponses.Add(1)
			if err := discard(resp.Body, maxStrayBytes); err != nil {
				return false, 0, a.errorOutcome(err)
			}
			continue
		}
		a.recordAdvisories(resp, head)
		a.recordLoad(head.Load)
		keep, result := a.handleResponse(resp, head)
		// An upstream that sent copies of earlier responses may send more of them.
		keep = keep && !a.writeFailed && !head.Close && a.conn.Reader.Buffered() == 0 && i == 0
		return keep, head.KeepAlive, result
	}
	return false, 0, a.errorOutcome(errors.New("too many stray answers"))
}

// discard reads a body to its end. It returns bodybuf.ErrTooLong if the body has more than
// limit bytes.
func discard(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return bodybuf.ErrTooLong
	}
	return err
}

// discardRejection reads the body of a rejection and reports whether the
// connection can be reused. A long or slow body is not waited for.
func (a *attempt) discardRejection(body io.Reader) bool {
	a.conn.OnReadTimeout = nil
	if a.conn.SetReadDeadline(time.Now().Add(rejectionTimeout)) != nil {
		return false
	}
	return discard(body, maxRejectionBytes) == nil
}

// readHead reads the head of the next response, without interim (1xx) ones, which
// count towards the bound of the head.
func (a *attempt) readHead() (*http.Response, exchange.Response, error) {
	a.conn.BoundHead()
	defer a.conn.UnboundHead()
	for {
		resp, err := http.ReadResponse(a.conn.Reader, &http.Request{Method: a.call.Method})
		if err != nil {
			return nil, exchange.Response{}, err
		}
		if !validStatusLine(resp) {
			return nil, exchange.Response{}, errStatusLine
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, a.h.Codec.DecodeResponse(resp), nil
		}
	}
}

// validStatusLine reports whether a response has a version and a status of HTTP/1. Package
// http accepts any version and any three digits. What stands behind such a line, be it that
// the request has not run, is no response.
func validStatusLine(resp *http.Response) bool {
	const lowest, highest = 100, 599
	return resp.ProtoMajor == 1 && resp.StatusCode >= lowest && resp.StatusCode <= highest
}

// onReadTimeout decides whether to keep waiting for the upstream. A request
// that may run at another upstream does not wait for one that responds to no
// request.
func (a *attempt) onReadTimeout() error {
	now := boottime.Now()
	if now >= a.deadline || a.h.ending.Err() != nil {
		return os.ErrDeadlineExceeded
	}
	if a.mayRunElsewhere() && a.h.InFlight.Unresponsive(a.member.ID, now) && a.mayAbandon(now) {
		return errUnresponsive
	}
	return a.setReadDeadline(now)
}

// mayAbandon reports whether a silent upstream may be abandoned: only if there is
// another one and the retry budget allows it, since it may be at work. One that already
// sent events of the stream may only have paused: up to maxStreamSilence the other one
// must not be suspect.
func (a *attempt) mayAbandon(now time.Duration) bool {
	mayPause := a.headerSent && now-a.lastReceivedAt <= maxStreamSilence
	if mayPause && !a.hasAlternative(now) {
		return false
	}
	return a.hasOther(now) && a.reserveRetry(now)
}

// hasOther reports whether the request may be sent to another upstream.
func (a *attempt) hasOther(now time.Duration) bool { return len(a.others(now)) > 0 }

// hasAlternative reports whether another upstream is available that is not
// suspect.
func (a *attempt) hasAlternative(now time.Duration) bool {
	return slices.ContainsFunc(a.others(now), func(m *catalog.Member) bool { return !a.h.InFlight.State(m.ID, now).Suspect })
}

// others returns the other upstreams to which the request may be sent.
func (a *attempt) others(now time.Duration) []*catalog.Member {
	view := a.h.Snapshots.Snapshot().View
	if !a.keyProven(view, now) {
		return nil
	}
	members, _ := a.eligible(view, now)
	return slices.DeleteFunc(members, func(m *catalog.Member) bool { return m.ID == a.member.ID })
}

// setReadDeadline sets the time of the next call of onReadTimeout.
func (a *attempt) setReadDeadline(now time.Duration) error {
	wait := a.deadline - now
	if a.mayRunElsewhere() {
		wait = min(wait, responseCheckInterval)
	}
	if a.h.ending.Err() != nil {
		wait = 0
	}
	return a.conn.SetReadDeadline(time.Now().Add(wait))
}

// mayRunElsewhere reports whether the request may be sent to another upstream
// although it may run at this one.
func (a *attempt) mayRunElsewhere() bool {
	return a.repeatable() && a.runs+1 < a.maxRuns() && a.attempts < maxUpstreams
}

// handleResponse relays a stream, or buffers a response and sends it to the
// caller or keeps it as the fallback. It reports whether the connection can be
// reused.
func (a *attempt) handleResponse(resp *http.Response, head exchange.Response) (bool, outcome) {
	if head.NotRun {
		return a.discardRejection(resp.Body), outcome{disposition: notRun, reason: "rejected by upstream: " + resp.Status}
	}
	defer a.watchLiveness(resp)()
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && !head.Signed {
		return false, a.errorOutcome(errors.New("answer is not signed"))
	}
	if success && a.route.Kind == catalog.Stream {
		if a.headerSent && !a.continuesStream(resp) {
			return false, outcome{disposition: failed, reason: "upstream did not resume the stream: " + resp.Status}
		}
		return a.relayStream(resp)
	}
	a.inFlight.Received(boottime.Now())
	body, err := a.newBuffers(a.member.ID).ReadAll(resp.Body, maxResponseBytes)
	latency, extraLatency := boottime.Now()-a.sentAt, a.extraLatency()
	switch {
	case err != nil:
	case a.holdsStray(resp, body):
		err = errStrayInBody
	case !a.endsWhole(resp):
		err = errEndUnproven
	}
	if err != nil {
		return false, a.errorOutcome(err)
	}
	a.countUsage(a.wallSentAt)
	buffered := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if a.headerSent {
		// The caller already has events of the stream, so an error response cannot
		// follow.
		return true, outcome{disposition: failed, reason: "upstream failed: " + resp.Status, latency: latency}
	}
	if !success && a.retryable(buffered) {
		a.fallback = buffered
		return true, outcome{disposition: failed, reason: "upstream failed: " + resp.Status, latency: latency}
	}
	a.runs++
	a.writeResponse(buffered)
	return true, outcome{
		disposition: finished, extraLatency: extraLatency, latency: latency,
		serverError: resp.StatusCode >= http.StatusInternalServerError, success: success,
	}
}

// retryable reports whether another attempt may follow an error response.
func (a *attempt) retryable(r *bufferedResponse) bool {
	return r.status >= http.StatusInternalServerError && a.mayRunElsewhere()
}

// extraLatency returns the time since half of the route's latency target
// passed, 0 if it has not.
func (a *attempt) extraLatency() time.Duration {
	return max(boottime.Now()-a.sentAt-a.route.Target/2, 0)
}

// countUsageIfRun counts a request that may have run in the usage of its
// customer. A stream without an event has not started.
func (a *attempt) countUsageIfRun(at time.Time) {
	if a.route.Kind != catalog.Stream || a.headerSent {
		a.countUsage(at)
	}
}

// countUsage counts the request, once, in the usage of its customer.
func (a *attempt) countUsage(at time.Time) {
	if a.usageCounted || a.customer == nil {
		return
	}
	a.usageCounted = true
	a.h.Usage.Count(a.customer.Name, at)
}

func customerName(c *catalog.Customer) string {
	if c == nil {
		return ""
	}
	return c.Name
}

// ranksPerCustomerPriority is the number of route priorities within one
// customer priority.
const ranksPerCustomerPriority = 3

// urgency returns the rank of a request, 0 for the most urgent: the customer's
// priority, then the route's.
func urgency(route *catalog.Route, customer *catalog.Customer) int {
	rank := min(route.Priority, ranksPerCustomerPriority-1)
	if customer != nil {
		rank += customer.Priority * ranksPerCustomerPriority
	}
	return rank
}
