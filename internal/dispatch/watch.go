package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/resume"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// watchInterval is the interval between checks of a running attempt.
	watchInterval = 250 * time.Millisecond
	// An attempt is stalled after stallFactor times the route's latency target
	// without a token, but at most 1/stallDivisor of the time left until the
	// deadline and at least minStall.
	minStall     = time.Second
	stallFactor  = 20
	stallDivisor = 3
	// defaultNotice is the assumed time until an upstream is reclaimed whose
	// notice has no deadline.
	defaultNotice = 5 * time.Second
	// kvTimeout bounds one export or import of a KV cache.
	kvTimeout = 2 * time.Second
	// bytesPerToken is used to estimate the length of a prompt in tokens.
	bytesPerToken = 4
)

var (
	errStalled   = errors.New("no token for too long")
	errMoved     = errors.New("stream moved to another upstream")
	errSuspended = errors.New("request suspended")
	errCancelled = errors.New("request cancelled")
)

// placement is the upstream for the next attempt.
type placement struct {
	lease *route.Lease
	// kv is the KV cache that the upstream imported; nil if there is none.
	kv *engine.KV
}

// watch cancels an attempt that stalls, and moves a stream whose upstream is
// about to be reclaimed. It returns then, or when the attempt's context is done.
func (d *Dispatcher) watch(ctx context.Context, a *attempt, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if a.stalled(now) {
				cancel(errStalled)
				return
			}
			method, deadline := d.chooseMethod(a, now)
			if method != 0 && method != resume.Stay && d.move(ctx, a, method, deadline) {
				cancel(errMoved)
				return
			}
		}
	}
}

func (a *attempt) stalled(now time.Time) bool {
	last := time.Unix(0, a.lastProgress.Load())
	target := max(a.call.route.FirstToken.D(), a.call.route.BetweenTokens.D())
	bound := max(minStall, min(stallFactor*target, a.call.Request.Deadline.Sub(last)/stallDivisor))
	return now.Sub(last) >= bound
}

// chooseMethod returns how to continue a stream whose upstream is being
// reclaimed, and the deadline for it. The method is 0 if it is not.
func (d *Dispatcher) chooseMethod(a *attempt, now time.Time) (resume.Method, time.Time) {
	deadline, leaving := d.opts.Snapshot().Reclaims[a.upstream.ID]
	if !leaving {
		return 0, time.Time{}
	}
	if deadline.IsZero() {
		deadline = now.Add(defaultNotice)
	}
	costs := d.estimates.Costs(a.call.Request.Service)
	return resume.Choose(a.stream(), costs, deadline.Sub(now)), deadline
}

// stream returns the current state of the attempt's stream.
func (a *attempt) stream() resume.Stream {
	generated := a.call.Output.Len()
	return resume.Stream{
		Computed:  len(a.call.Request.Prompt)/bytesPerToken + generated,
		Remaining: a.call.Request.MaxTokens - generated,
		Between:   a.call.route.BetweenTokens.D(),
	}
}

// move acquires another upstream while the present one still generates, copies
// the KV cache there if method is MoveKV, and reports whether it succeeded. The
// stream already holds a slot, so it has priority over new requests of any class.
func (d *Dispatcher) move(ctx context.Context, a *attempt, method resume.Method, deadline time.Time) bool {
	exclude := map[string]bool{a.upstream.ID: true}
	for id := range d.opts.Snapshot().Reclaims {
		exclude[id] = true
	}
	q := d.query(a.call, a.upstream.Version, exclude)
	q.Class = document.ClassInteractive
	q.Deadline = deadline
	lease, err := d.opts.Router.Acquire(ctx, q)
	if err != nil {
		return false
	}
	next := &placement{lease: lease}
	if method == resume.MoveKV {
		next.kv = d.moveKV(ctx, a, lease.Upstream)
	}
	a.next = next
	return true
}

// moveKV copies the KV cache of a running attempt to another upstream. It returns
// nil if that failed.
func (d *Dispatcher) moveKV(ctx context.Context, a *attempt, to *control.Upstream) *engine.KV {
	started := time.Now()
	kv := d.exportKV(ctx, a)
	if kv == nil || !d.importKV(ctx, to, kv) {
		return nil
	}
	d.estimates.RecordKVMove(a.call.Request.Service, kv.Tokens, time.Since(started))
	return kv
}

func (d *Dispatcher) exportKV(ctx context.Context, a *attempt) *engine.KV {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	kv, err := d.opts.Dialer.Engine(a.upstream.Address).ExportKV(ctx, a.call.Request.ID)
	if err != nil {
		return nil
	}
	if kv.Address == "" {
		kv.Address = a.upstream.Address
	}
	return &kv
}

func (d *Dispatcher) importKV(ctx context.Context, to *control.Upstream, kv *engine.KV) bool {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	return d.opts.Dialer.Engine(to.Address).ImportKV(ctx, *kv) == nil
}
