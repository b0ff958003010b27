package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// fate is what is known of a call after one attempt.
type fate int

const (
	// notSent: no byte reached the upstream.
	notSent fate = iota
	// notRun: the upstream says that it did not run the call.
	notRun
	// unknown: the call may have run, and there is no answer.
	unknown
	// failed: the upstream ran the call and answered with a failure.
	failed
	// finished: the caller has its answer.
	finished
	// callerGone: the caller left.
	callerGone
)

// outcome is the result of one attempt.
type outcome struct {
	fate   fate
	reason string
	// silent tells that the upstream stopped to answer, and lost that the
	// connection ended without its answer.
	silent, lost bool
	// lag is how much later than expected the answer began.
	lag time.Duration
	// waited is the time to the answer or its first event.
	waited time.Duration
	// failure tells that the answer that the caller got is a failure.
	failure bool
}

// Timing of attempts.
const (
	// silenceStep is the pause between two looks at a silent upstream.
	silenceStep = 250 * time.Millisecond
	// longSilence is the silence after which an upstream is left in the middle of
	// a stream although no other may go on with it.
	longSilence = 3 * time.Second
	// onceIdle is how long a connection may have been idle on which a call is
	// sent that must not be sent again.
	onceIdle = 250 * time.Millisecond
	// maxStray bounds the answers to other attempts that are dropped.
	maxStray = 3
	// maxAnswer bounds the answers that are held whole, in bytes.
	maxAnswer = 8 << 20
)

var errSilent = errors.New("upstream is silent")

// answered is a whole answer of an upstream.
type answered struct {
	status int
	header http.Header
	body   []byte
}

// attempt is one send of a call.
type attempt struct {
	*pass
	member *catalog.Member
	conn   *upconn.Conn
	work   *inflight.Request
	sentAt time.Duration
	// heardAt is when an event came last, or the call was sent.
	heardAt time.Duration
	sent    time.Time
}

// attempt sends the call to one upstream and relays its answer.
func (p *pass) attempt(m *catalog.Member) outcome {
	ctx, cancel := context.WithDeadline(p.r.Context(), time.Now().Add(p.end-boottime.Now()))
	defer cancel()
	p.upstream = m.ID
	p.tries++
	conn, err := p.g.Pool.Get(ctx, m.ID, m.Address, p.maxIdle())
	if err != nil {
		return p.beforeSend(err)
	}
	p.sends++
	a := &attempt{pass: p, member: m, conn: conn, sentAt: boottime.Now(), sent: p.g.Usage.Now()}
	a.heardAt = a.sentAt
	a.work = p.g.InFlight.Begin(m.ID, ownTokens(p.call), a.sentAt)
	defer func() { a.work.End(boottime.Now()) }()
	stop := context.AfterFunc(p.r.Context(), func() { _ = conn.Close() })
	keep, keepAlive, result := a.exchange()
	if stop() && keep {
		p.g.Pool.Put(m.ID, conn, keepAlive)
	} else {
		_ = conn.Close()
	}
	if result.fate != finished && p.r.Context().Err() != nil {
		result.fate = callerGone
	}
	return result
}

// maxIdle returns how long a connection for the next attempt may have been
// idle. An upstream may have forgotten it without a word, and what is sent on it
// then is lost: a call that must not be sent again takes one that just worked.
func (p *pass) maxIdle() time.Duration {
	switch {
	case p.tries > 1:
		return 0
	case !p.route.Repeatable():
		return onceIdle
	}
	return upconn.AnyIdle
}

// beforeSend tells how an attempt ended for which nothing was sent.
func (p *pass) beforeSend(err error) outcome {
	if p.r.Context().Err() != nil {
		return outcome{fate: callerGone, reason: "caller left"}
	}
	return outcome{fate: notSent, reason: err.Error()}
}

// ownTokens returns the tokens that an engine reads which has the shared parts
// of the prompt cached.
func ownTokens(call *exchange.Call) int {
	if call.Prompt == nil {
		return 0
	}
	return max(call.Prompt.InputTokens-call.Prompt.SharedTokens(), 0)
}

// exchange sends the request and takes the answer. It reports whether the
// connection can be used again, and for how long it may be idle.
func (a *attempt) exchange() (bool, time.Duration, outcome) {
	if err := a.conn.SetWriteDeadline(time.Now().Add(a.end - boottime.Now())); err != nil {
		return false, 0, outcome{fate: notSent, reason: err.Error()}
	}
	if err := a.setReadDeadline(boottime.Now()); err != nil {
		return false, 0, outcome{fate: notSent, reason: err.Error()}
	}
	a.conn.OnReadTimeout = a.onQuiet
	header := a.g.Codec.UpstreamHeader(a.call, exchange.UpstreamParams{
		Upstream: a.member.ID, Customer: customerName(a.customer),
		Remaining: a.end - boottime.Now(), Urgency: urgency(a.route, a.customer), ResumeAfter: a.lastEvent,
	})
	n, writeErr := a.conn.Write(a.call.Method, a.call.Target, a.call.Host, header, a.call.Body)
	if writeErr != nil && n == 0 {
		return false, 0, outcome{fate: notSent, reason: writeErr.Error()}
	}
	for range maxStray {
		resp, answer, err := a.head()
		if err != nil {
			return false, 0, a.broken(err)
		}
		if answer.ID != "" && answer.ID != a.call.ID {
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
				return false, 0, a.broken(err)
			}
			a.g.Stats.Stray.Add(1)
			continue
		}
		keep, result := a.take(resp, answer)
		keep = keep && writeErr == nil && !answer.Closes && a.conn.Reader.Buffered() == 0
		return keep, answer.KeepAlive, result
	}
	return false, 0, a.broken(errors.New("too many stray answers"))
}

// head reads the head of the next final answer.
func (a *attempt) head() (*http.Response, exchange.Response, error) {
	for {
		resp, err := http.ReadResponse(a.conn.Reader, &http.Request{Method: a.call.Method})
		if err != nil {
			return nil, exchange.Response{}, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, a.g.Codec.DecodeResponse(resp), nil
		}
	}
}

// onQuiet decides whether to go on waiting for the upstream. A call that may be
// sent elsewhere does not wait for one that does not answer anyone.
func (a *attempt) onQuiet() error {
	now := boottime.Now()
	if now >= a.end {
		return os.ErrDeadlineExceeded
	}
	if a.elsewhere() && a.g.InFlight.Silent(a.member.ID, now) && a.mayLeave(now) {
		return errSilent
	}
	return a.setReadDeadline(now)
}

// mayLeave reports whether a silent upstream is to be left. One from which the
// caller has events already may only stand still; it is left for another that
// answers, if the retry budget pays for that, or after a long silence.
func (a *attempt) mayLeave(now time.Duration) bool {
	if !a.committed || now-a.heardAt > longSilence {
		return true
	}
	return a.another(now) && a.reserveRetry(now)
}

// another reports whether there is another upstream that answers.
func (a *attempt) another(now time.Duration) bool {
	for _, m := range a.eligible(a.g.Snapshots.Snapshot().View) {
		if m.ID != a.member.ID && !a.g.InFlight.State(m.ID, now).Suspect {
			return true
		}
	}
	return false
}

// setReadDeadline sets when to look again whether waiting makes sense.
func (a *attempt) setReadDeadline(now time.Duration) error {
	wait := a.end - now
	if a.elsewhere() {
		wait = min(wait, silenceStep)
	}
	return a.conn.SetReadDeadline(time.Now().Add(wait))
}

// elsewhere reports whether the call may be sent to another upstream although
// it may run at this one.
func (a *attempt) elsewhere() bool {
	return a.route.Repeatable() && a.runs+1 < a.route.MaxAttempts && a.tries < maxTries
}

// broken tells how an attempt ended without a whole answer.
func (a *attempt) broken(err error) outcome {
	a.countRun(a.sent)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return outcome{fate: unknown, reason: "no answer in time"}
	}
	return outcome{fate: unknown, reason: err.Error(), silent: errors.Is(err, errSilent), lost: true}
}

// take relays or keeps an answer.
func (a *attempt) take(resp *http.Response, answer exchange.Response) (bool, outcome) {
	if answer.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
		return err == nil, outcome{fate: notRun, reason: "rejected by upstream: " + resp.Status}
	}
	success := resp.StatusCode < http.StatusMultipleChoices
	if success && !answer.Signed {
		return false, a.broken(errors.New("answer is not signed"))
	}
	if success && a.route.Kind == catalog.Stream {
		return a.relay(resp)
	}
	a.work.Received(boottime.Now())
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return false, a.broken(err)
	}
	a.count(a.sent)
	waited := boottime.Now() - a.sentAt
	whole := &answered{status: resp.StatusCode, header: resp.Header, body: body}
	if a.committed {
		// The caller has events already; a failure must not follow them.
		return true, outcome{fate: failed, reason: "upstream failed: " + resp.Status, waited: waited}
	}
	if !success && a.retryable(whole) {
		a.best = whole
		return true, outcome{fate: failed, reason: "upstream failed: " + resp.Status, waited: waited}
	}
	a.runs++
	lag := a.lag()
	a.deliver(whole)
	return true, outcome{fate: finished, lag: lag, waited: waited, failure: resp.StatusCode >= http.StatusInternalServerError}
}

// retryable reports whether a failure may be followed by another attempt.
func (a *attempt) retryable(whole *answered) bool {
	return whole.status >= http.StatusInternalServerError && a.elsewhere()
}

// lag returns how long after half of the route's target the answer began, 0 if
// it came before.
func (a *attempt) lag() time.Duration {
	return max(boottime.Now()-a.sentAt-a.route.Target/2, 0)
}

// countRun counts a call in the usage of its customer that may have run. A
// stream without an event has not begun.
func (a *attempt) countRun(at time.Time) {
	if a.route.Kind != catalog.Stream || a.committed {
		a.count(at)
	}
}

// count counts the call in the usage of its customer, once.
func (a *attempt) count(at time.Time) {
	if a.counted || a.customer == nil {
		return
	}
	a.counted = true
	a.g.Usage.Count(a.customer.Name, at)
}

func customerName(c *catalog.Customer) string {
	if c == nil {
		return ""
	}
	return c.Name
}

// customerRanks is the number of route priorities within one priority of a
// customer.
const customerRanks = 3

// urgency returns the rank of a request: customers' priorities go first.
func urgency(route *catalog.Route, customer *catalog.Customer) int {
	rank := min(route.Priority, customerRanks-1)
	if customer != nil {
		rank += customer.Priority * customerRanks
	}
	return rank
}
