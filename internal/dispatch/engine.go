package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// priorities maps classes to priorities at engines; larger is more urgent.
var priorities = map[document.Class]int{
	document.ClassInteractive: 2,
	document.ClassStandard:    1,
	document.ClassBatch:       0,
}

// maxTokenBytes bounds one token: the output of a request is kept until it is forgotten.
const maxTokenBytes = 4 << 10

// Errors that end a stream that is longer than its request allows.
var (
	errTooManyTokens = errors.New("engine generates more tokens than were requested")
	errTokenTooLong  = fmt.Errorf("engine sends a token of more than %d bytes", maxTokenBytes)
)

func (d *Dispatcher) runEngine(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	var next *placement
	for {
		if next == nil {
			var end *request.Result
			if next, end = d.place(ctx, call, failed); end != nil {
				return *end
			}
		}
		a := &attempt{call: call, lease: next.lease, upstream: next.lease.Upstream, kv: next.kv, started: time.Now()}
		err := d.generate(ctx, a)
		a.lease.Release()
		if err == nil {
			return request.Result{Outcome: request.Answer, Tokens: call.Output.Len()}
		}
		if next = a.next; next != nil {
			continue
		}
		if end := d.afterFailure(ctx, call, a.lease, err, failed); end != nil {
			return *end
		}
	}
}

// generate makes one attempt at an engine, which resumes after the tokens so
// far. If the stream was moved, a.next is the next placement.
func (d *Dispatcher) generate(ctx context.Context, a *attempt) error {
	call := a.call
	call.Request.Attempts++
	ctx, cancel := context.WithCancelCause(ctx)
	a.lastProgress.Store(time.Now().UnixNano())
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		d.watch(ctx, a, cancel)
	}()
	call.current.Store(a)
	err := d.forwardTokens(ctx, a)
	call.current.Store(nil)
	cancel(nil)
	<-watched
	return d.finishAttempt(ctx, a, err)
}

// forwardTokens copies an engine's tokens to the call's output.
func (d *Dispatcher) forwardTokens(ctx context.Context, a *attempt) error {
	call := a.call
	req := engine.GenerateRequest{
		ID: call.Request.ID, Attempt: call.Request.Attempts, Prompt: call.Request.Prompt,
		Resume: call.Output.Tokens(), MaxTokens: call.Request.MaxTokens,
		Priority: priorities[call.route.Class],
	}
	if a.kv != nil {
		req.KV = a.kv.Handle
	}
	generation, err := d.opts.Dialer.Engine(a.upstream.Address).Generate(ctx, req)
	if err != nil {
		return err
	}
	defer func() { _ = generation.Close() }()
	for {
		chunk, err := generation.Next()
		if err != nil {
			return err
		}
		if chunk.ID != call.Request.ID || chunk.Attempt != call.Request.Attempts {
			d.counters.Mismatched.Add(1)
			continue
		}
		if chunk.Done {
			a.recomputed = chunk.Recomputed
			return nil
		}
		if chunk.Index >= call.Request.MaxTokens {
			return &upstream.Failure{Kind: upstream.Mismatched, Err: errTooManyTokens}
		}
		if len(chunk.Token) > maxTokenBytes {
			return &upstream.Failure{Kind: upstream.Mismatched, Err: errTokenTooLong}
		}
		if err := call.Output.Append(chunk.Index, chunk.Token); err != nil {
			return &upstream.Failure{Kind: upstream.Mismatched, Err: err}
		}
		now := time.Now()
		a.recordToken(now)
		a.lastProgress.Store(now.UnixNano())
		d.counters.Tokens.Add(1)
	}
}

// finishAttempt returns the error of an ended attempt and reports the attempt,
// unless its stream was moved or its call suspended or cancelled.
func (d *Dispatcher) finishAttempt(ctx context.Context, a *attempt, err error) error {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		if a.next != nil {
			a.next.lease.Release()
			a.next = nil
		}
		d.recordPrefill(a)
		d.reportAttempt(a, nil)
		return nil
	case errors.Is(cause, errMoved):
		a.call.mayHaveRun = true
		d.counters.Moved.Add(1)
		return err
	case errors.Is(cause, errSuspended), errors.Is(cause, errCancelled):
		a.call.mayHaveRun = true
		return err
	case errors.Is(cause, errStalled), errors.Is(cause, context.DeadlineExceeded):
		err = &upstream.Failure{Kind: upstream.Stalled, Err: cause}
	}
	d.reportAttempt(a, err)
	return err
}

// recordPrefill adds the attempt's time to first token to the estimates from
// which the way to move a stream is chosen.
func (d *Dispatcher) recordPrefill(a *attempt) {
	if a.tokens > 0 && a.recomputed > 0 {
		d.estimates.RecordPrefill(a.call.Request.Service, a.recomputed, a.firstTokenAt.Sub(a.started))
	}
}
