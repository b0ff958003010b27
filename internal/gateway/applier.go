package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
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

	mu sync.Mutex
}

// applyOperator applies operator changes from the response to a request sent at
// a boot time, unless they are older than those already applied.
func (a *updateApplier) applyOperator(ctx context.Context, update catalog.OperatorUpdate, requestedAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copy.ApplyOperator(update, requestedAt) {
		a.submit(ctx, control.OperatorRead{Update: update, RequestedAt: requestedAt})
	}
}

// applyUpstreams does the same for upstreams' reports.
func (a *updateApplier) applyUpstreams(ctx context.Context, update catalog.UpstreamUpdate, requestedAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.copy.ApplyUpstreams(update, requestedAt) {
		a.submit(ctx, control.UpstreamsRead{Update: update, RequestedAt: requestedAt})
	}
}
