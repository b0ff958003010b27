package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// minStall and stallFactor give the time without a token after which an
	// attempt is given up: the factor times the route's target, and at least
	// the minimum.
	minStall    = 2 * time.Second
	stallFactor = 20
)

// priorities orders classes at the engines; larger is more urgent.
var priorities = map[document.Class]int{
	document.ClassInteractive: 2,
	document.ClassStandard:    1,
	document.ClassBatch:       0,
}

var errStalled = errors.New("no token for too long")

func (d *Dispatcher) runEngine(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	for {
		lease, end := d.acquire(ctx, call, failed)
		if end != nil {
			return *end
		}
		err := d.generate(ctx, call, lease)
		lease.Release()
		if err == nil {
			return request.Result{Outcome: request.Answer, Tokens: call.Output.Len()}
		}
		if end := d.afterFailure(ctx, call, lease, err, failed); end != nil {
			return *end
		}
	}
}

// generate makes one attempt at an engine and resumes after the tokens so far.
func (d *Dispatcher) generate(ctx context.Context, call *Call, lease *route.Lease) error {
	call.Request.Attempts++
	attempt := attempt{call: call, upstream: lease.Upstream, started: time.Now()}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(attempt.stallTime(), func() { cancel(errStalled) })
	defer stall.Stop()
	generation, err := d.opts.Dialer.Engine(lease.Upstream.Address).Generate(ctx, engine.GenerateRequest{
		ID: call.Request.ID, Attempt: call.Request.Attempts, Prompt: call.Request.Prompt,
		Resume: call.Output.Tokens(), MaxTokens: call.Request.MaxTokens,
		Priority: priorities[call.route.Class],
	})
	if err != nil {
		d.reportAttempt(&attempt, err)
		return err
	}
	defer func() { _ = generation.Close() }()
	for {
		chunk, err := generation.Next()
		if err != nil {
			d.reportAttempt(&attempt, err)
			return err
		}
		if chunk.ID != call.Request.ID || chunk.Attempt != call.Request.Attempts {
			d.counters.Crossed.Add(1)
			continue
		}
		stall.Reset(attempt.stallTime())
		if chunk.Done {
			attempt.recomputed = chunk.Recomputed
			d.reportAttempt(&attempt, nil)
			return nil
		}
		if err := call.Output.Append(chunk.Index, chunk.Token); err != nil {
			failure := &upstream.Failure{Kind: upstream.Crossed, Err: err}
			d.reportAttempt(&attempt, failure)
			return failure
		}
		attempt.token(time.Now())
		d.counters.Tokens.Add(1)
	}
}
