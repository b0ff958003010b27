package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reconcile"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// updateApplier applies updates that were read to the cache for followers and
// to this host's view. A read starts at the offsets of the cache, so the view
// has to get the updates in the same order as the cache; otherwise it would
// miss changes.
type updateApplier struct {
	copy *relay.Cache
	// submit passes an input to the control loop.
	submit func(ctx context.Context, input any)
	// epochRose is called when an update has a later epoch of the log than all before.
	epochRose func(from, to int64)

	mu sync.Mutex
	// epoch is the latest epoch of the log, known once something was read.
	epoch     atomic.Int64
	read      bool
	operator  reconcile.Operator
	upstreams reconcile.Upstreams
}

// noteEpoch records the epoch of an update. a.mu must be held.
func (a *updateApplier) noteEpoch(epoch int64) {
	before := a.epoch.Load()
	if a.read && epoch > before {
		a.epochRose(before, epoch)
	}
	a.epoch.Store(max(before, epoch))
	a.read = true
}

// applyOperator applies operator changes from the response to a request sent at
// a boot time, merged with what this host knows, unless they are older than those already applied.
func (a *updateApplier) applyOperator(ctx context.Context, update catalog.OperatorUpdate, requestedAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteEpoch(update.Epoch)
	if !a.copy.AcceptsOperator(update) {
		return
	}
	update = a.operator.Apply(update, requestedAt)
	if a.copy.ApplyOperator(update, requestedAt) {
		a.submit(ctx, control.OperatorRead{Update: update, RequestedAt: requestedAt})
	}
}

// applyUpstreams does the same for upstreams' reports, merged with those that this host knows.
func (a *updateApplier) applyUpstreams(ctx context.Context, update catalog.UpstreamUpdate, requestedAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteEpoch(update.Epoch)
	if !a.copy.AcceptsUpstreams(update) {
		return
	}
	update = a.upstreams.Apply(update, requestedAt)
	if a.copy.ApplyUpstreams(update, requestedAt) {
		a.submit(ctx, control.UpstreamsRead{Update: update, RequestedAt: requestedAt})
	}
}
