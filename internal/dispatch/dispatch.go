// Package dispatch runs accepted requests: it sends each to an upstream,
// retries where that is safe and buffers the output for callers.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/resume"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/stream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// endedRetention is how long a request that ended or moved to another host can
// still be found, with its output.
const endedRetention = 2 * time.Minute

// RefusalError is returned for a request that was not accepted.
type RefusalError struct {
	// Outcome is NotRun, or Unknown if an earlier call with the same key may
	// have run; 0 means NotRun.
	Outcome request.Outcome
	Reason  request.Reason
	// RetryAfter is the time after which to retry; 0 if a retry cannot succeed.
	RetryAfter time.Duration
	// Detail explains Reason to the caller.
	Detail string
}

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("refused: %s: %s", e.Reason, e.Detail)
}

// Submission is a request as a caller sent it.
type Submission struct {
	Customer, Service, Route string
	Key                      string
	Prompt                   string
	MaxTokens                int
	Body                     []byte
	// Timeout shortens the route's deadline; 0 keeps it.
	Timeout time.Duration
	// relayed is set when another host accepted the request and forwarded it.
	relayed bool
}

// Options holds the dependencies of a Dispatcher.
type Options struct {
	Self     control.Self
	Snapshot func() *control.Snapshot
	// Report is called with the observations made by attempts. It must not block.
	Report func(control.Input)
	// Ended is called when a request ends or is refused; it may be nil. It must
	// not block.
	Ended  func(RequestEnded)
	Router route.Router
	Claims claim.Claims
	// Copier copies idempotent batch requests; nil disables copies.
	Copier Copier
	Relay  Relay
	Dialer dial.Dialer
	Events *event.Logger
}

// Copier copies accepted requests to another host, in case this one fails.
type Copier interface {
	// Copy reports whether another host holds a copy of the request.
	Copy(ctx context.Context, req *request.Request) bool
}

// Dispatcher runs the accepted requests of one host.
type Dispatcher struct {
	opts Options

	mu    sync.Mutex
	calls map[string]*Call
	// perCustomer counts the calls that have not ended.
	perCustomer map[string]int
	// closed is set when no further requests are accepted.
	closed    atomic.Bool
	running   callCount
	counters  Counters
	budgets   *budgets
	estimates *resume.Estimator
}

// Counters counts requests by outcome, and attempts, tokens and transfers.
type Counters struct {
	Accepted, Refused, Answered, NotRun, Unknown atomic.Int64
	// Retried counts retries of failed attempts. Recomputed counts the tokens
	// that upstreams recomputed in attempts after the first. Mismatched counts
	// responses and tokens that belong to another request or attempt.
	Retried, Recomputed, Tokens, Mismatched atomic.Int64
	// Moved counts streams that were moved off an upstream about to be reclaimed.
	Moved atomic.Int64
	// HandedOver counts requests transferred to another host, Adopted those
	// transferred from one.
	HandedOver, Adopted atomic.Int64
	// Copied counts accepted requests of which another host holds a copy.
	Copied atomic.Int64
}

// Call is an accepted request on this host.
type Call struct {
	Request *request.Request
	Output  *stream.Buffer
	service *document.Service
	route   *document.Route
	// relayed is set when another host forwarded the request to this one.
	relayed bool
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// stopped is closed when the goroutine that runs the call has returned.
	stopped chan struct{}
	// current is the running attempt at an engine; nil between attempts.
	current atomic.Pointer[attempt]

	// The fields below are used only by the goroutine that runs the call.

	// kv is the KV cache transferred with the call; nil if there is none.
	kv *engine.KV
	// version is the version that generated the newest token.
	version string
	// mayHaveRun is set when an upstream may have run the call.
	mayHaveRun bool
	// failures counts consecutive failed attempts that may have run; it restarts
	// at 1 with one that produced a token. prevTokens is the number of tokens
	// after the last failed attempt, and rounds counts how often all upstreams
	// were tried.
	failures, prevTokens, rounds int
	// firstToken is the time from acceptance to the first token; 0 before it.
	firstToken time.Duration
	// firstBad is the first attempt that failed or was late, lastAttempt the
	// newest.
	firstBad, lastAttempt *control.AttemptEnded
}

// New returns a Dispatcher without requests.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts: opts, calls: map[string]*Call{}, perCustomer: map[string]int{},
		budgets: newBudgets(), estimates: resume.NewEstimator(),
	}
}

// Counters returns the live counters.
func (d *Dispatcher) Counters() *Counters { return &d.counters }

// Find returns the call with a request ID, or nil.
func (d *Dispatcher) Find(id string) *Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls[id]
}

// Active returns the number of calls that have not ended.
func (d *Dispatcher) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	active := 0
	for _, n := range d.perCustomer {
		active += n
	}
	return active
}

// Cancel cancels a call and reports whether it was found.
func (d *Dispatcher) Cancel(id string) bool {
	call := d.Find(id)
	if call == nil {
		return false
	}
	call.cancel(errCancelled)
	return true
}

// Submit accepts a request and starts it. Its error is a *RefusalError.
func (d *Dispatcher) Submit(sub Submission) (*Call, error) {
	call, err := d.accept(sub)
	if err != nil {
		d.counters.Refused.Add(1)
		var refused *RefusalError
		if errors.As(err, &refused) && d.mayHaveRun(&sub) {
			refused.Outcome = request.Unknown
		}
		d.reportRefusal(sub, err)
		return nil, err
	}
	d.counters.Accepted.Add(1)
	d.copy(call)
	d.budgets.recordAccepted(call.Request.Service, time.Now())
	d.launch(call)
	return call, nil
}

// copy copies an idempotent batch request to another host.
func (d *Dispatcher) copy(call *Call) {
	if d.opts.Copier == nil || call.route.Class != document.ClassBatch || !call.route.Idempotent {
		return
	}
	if d.opts.Copier.Copy(call.ctx, call.Request) {
		d.counters.Copied.Add(1)
	}
}

func (d *Dispatcher) accept(sub Submission) (*Call, error) {
	if d.closed.Load() {
		return nil, refuseClosed()
	}
	snapshot := d.opts.Snapshot()
	if snapshot.Document == nil {
		return nil, refuse(request.ReasonNotConfigured, defaultRetryAfter, "no configuration is in force yet")
	}
	service := snapshot.Document.Service(sub.Service)
	if service == nil {
		return nil, refuse(request.ReasonInvalid, 0, "no service %q", sub.Service)
	}
	r := service.Route(sub.Route)
	if r == nil {
		return nil, refuse(request.ReasonInvalid, 0, "no route %q of service %q", sub.Route, sub.Service)
	}
	customer := snapshot.Document.Customer(sub.Customer)
	if customer == nil {
		return nil, refuse(request.ReasonInvalid, 0, "no customer %q", sub.Customer)
	}
	if err := checkSubmission(service, r, &sub); err != nil {
		return nil, err
	}
	now := time.Now()
	fingerprint := request.Fingerprint(sub.Service, sub.Route, sub.Prompt, sub.Body)
	if isHeld(snapshot, fingerprint, sub.Prompt) {
		return nil, refuse(request.ReasonHeldBack, 0, "requests like this one stopped several upstreams")
	}
	deadline := r.Deadline.D()
	if sub.Timeout > 0 {
		deadline = min(deadline, sub.Timeout)
	}
	call := &Call{
		Request: &request.Request{
			ID:       d.nextID(),
			Customer: sub.Customer, Service: sub.Service, Route: sub.Route, Key: sub.Key,
			Prompt: sub.Prompt, MaxTokens: sub.MaxTokens, Body: sub.Body,
			Accepted: now, Deadline: now.Add(deadline), Fingerprint: fingerprint,
		},
		Output:  stream.New(nil),
		service: service,
		route:   r,
		relayed: sub.relayed,
	}
	return call, d.register(call, customer)
}

func (d *Dispatcher) nextID() string {
	return request.NewID(d.opts.Self.ID, d.opts.Self.Incarnation).String()
}

const defaultRetryAfter = time.Second

func refuse(reason request.Reason, retryAfter time.Duration, format string, args ...any) *RefusalError {
	return &RefusalError{Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

func refuseClosed() *RefusalError {
	return refuse(request.ReasonLeaving, defaultRetryAfter, "this host is leaving")
}

func checkSubmission(service *document.Service, r *document.Route, sub *Submission) error {
	if service.Kind == document.KindEngine {
		if strings.TrimSpace(sub.Prompt) == "" {
			return refuse(request.ReasonInvalid, 0, "the prompt is empty")
		}
		if sub.MaxTokens < 0 || sub.MaxTokens > r.MaxTokens {
			return refuse(request.ReasonInvalid, 0, "maxTokens is not from 0 to %d", r.MaxTokens)
		}
		if sub.MaxTokens == 0 {
			sub.MaxTokens = r.MaxTokens
		}
		return nil
	}
	if !r.Idempotent && sub.Key == "" {
		return refuse(request.ReasonInvalid, 0, "route %q needs an Idempotency-Key", r.Name)
	}
	return nil
}

// register counts the call against its customer's limit on this host and adds it to the
// calls, unless the dispatcher is closed. The call must be launched: Drain waits for it
// from then on. Relayed calls are counted but not limited.
func (d *Dispatcher) register(call *Call, customer *document.Customer) error {
	limit := customer.MaxInFlight
	if limit == 0 || call.relayed {
		limit = math.MaxInt
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed.Load() {
		return refuseClosed()
	}
	if d.perCustomer[customer.Name] >= limit {
		return refuse(request.ReasonCustomerLimit, defaultRetryAfter, "customer %q has %d requests here", customer.Name, limit)
	}
	call.prepare()
	d.perCustomer[customer.Name]++
	d.calls[call.Request.ID] = call
	d.running.Add(1)
	return nil
}

// prepare makes a call ready to be started; from then on it can be cancelled.
func (c *Call) prepare() {
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.stopped = make(chan struct{})
}

// start runs a call that another host accepted or that was suspended.
func (d *Dispatcher) start(call *Call) {
	d.running.Add(1)
	d.launch(call)
}

// launch runs a call that is already counted as running.
func (d *Dispatcher) launch(call *Call) {
	ctx, stop := context.WithDeadline(call.ctx, call.Request.Deadline)
	go func() {
		defer d.running.Done()
		defer close(call.stopped)
		defer stop()
		if result := d.run(ctx, call); !suspended(ctx, result) {
			d.end(call, result)
		}
	}()
}

func (d *Dispatcher) run(ctx context.Context, call *Call) request.Result {
	switch {
	case call.service.Kind == document.KindEngine:
		return d.runEngine(ctx, call)
	case call.route.Idempotent:
		return d.runPlain(ctx, call)
	default:
		return d.runOnce(ctx, call)
	}
}

// end counts and reports an ended request before its readers see the end, so
// that a report requested after the response includes the request.
func (d *Dispatcher) end(call *Call, result request.Result) {
	switch result.Outcome {
	case request.Answer:
		d.counters.Answered.Add(1)
	case request.NotRun:
		d.counters.NotRun.Add(1)
	default:
		d.counters.Unknown.Add(1)
	}
	d.reportEnd(call, result)
	call.Output.Finish(result)
	d.mu.Lock()
	d.perCustomer[call.Request.Customer]--
	d.mu.Unlock()
	time.AfterFunc(endedRetention, func() { d.forget(call) })
}

func (d *Dispatcher) forget(call *Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls[call.Request.ID] == call {
		delete(d.calls, call.Request.ID)
	}
}

// Drain waits until no call runs. It returns ctx.Err() if ctx is done first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
