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
	// watchInterval is the time between two looks at a running attempt.
	watchInterval = 250 * time.Millisecond
	// minStall and stallFactor give the time without a token after which an
	// attempt is given up: the factor times the route's target, and at least
	// the minimum; stallPart bounds it to a part of the time that is left.
	minStall    = time.Second
	stallFactor = 20
	stallPart   = 3
	// unknownNotice is the assumed time until an upstream goes that is leaving
	// without a deadline.
	unknownNotice = 5 * time.Second
	// kvTimeout bounds an export or import of a KV cache.
	kvTimeout = 2 * time.Second
	// bytesPerToken estimates the length of a prompt in tokens.
	bytesPerToken = 4
)

var (
	errStalled   = errors.New("no token for too long")
	errMoved     = errors.New("stream moved to another upstream")
	errSuspended = errors.New("request suspended")
	errCancelled = errors.New("request cancelled")
)

// placement is an upstream for the next attempt at a call.
type placement struct {
	lease *route.Lease
	// kv is a KV cache that the upstream has; nil if there is none.
	kv *engine.KV
}

// watch ends an attempt that stalls, and moves a stream whose upstream is
// about to leave. It returns when the attempt's context ends.
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
			way, deadline := d.departure(a, now)
			if way != 0 && way != resume.Stay && d.move(ctx, a, way, deadline) {
				cancel(errMoved)
				return
			}
		}
	}
}

func (a *attempt) stalled(now time.Time) bool {
	last := time.Unix(0, a.progress.Load())
	target := max(a.call.route.FirstToken.D(), a.call.route.BetweenTokens.D())
	bound := max(minStall, min(stallFactor*target, a.call.Request.Deadline.Sub(last)/stallPart))
	return now.Sub(last) >= bound
}

// departure returns how a stream is to go on whose upstream is leaving, and
// until when it must; the way is 0 when the upstream is not leaving.
func (d *Dispatcher) departure(a *attempt, now time.Time) (resume.Method, time.Time) {
	deadline, leaving := d.opts.Snapshot().Reclaims[a.upstream.ID]
	if !leaving {
		return 0, time.Time{}
	}
	if deadline.IsZero() {
		deadline = now.Add(unknownNotice)
	}
	costs := d.estimates.Costs(a.call.Request.Service)
	return resume.Choose(a.stream(), costs, deadline.Sub(now)), deadline
}

// stream describes the attempt's stream as it is now.
func (a *attempt) stream() resume.Stream {
	generated := a.call.Output.Len()
	return resume.Stream{
		Computed:  len(a.call.Request.Prompt)/bytesPerToken + generated,
		Remaining: a.call.Request.MaxTokens - generated,
		Between:   a.call.route.BetweenTokens.D(),
	}
}

// move finds another upstream while the present one still generates, and
// brings the KV cache there if that is the way. It reports success. The stream
// holds a slot already, so it goes before new requests of any class.
func (d *Dispatcher) move(ctx context.Context, a *attempt, way resume.Method, deadline time.Time) bool {
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
	if way == resume.MoveKV {
		next.kv = d.moveKV(ctx, a, lease.Upstream)
	}
	a.next = next
	return true
}

// moveKV brings the KV cache of a running attempt to another upstream; nil
// means that it did not work.
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
