package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// updateApplier passes what was read on to the copy for followers and to this host's
// beliefs. A read goes on from the copy's offsets, so beliefs must get updates
// in the order in which the copy got them; else they would miss changes.
type updateApplier struct {
	copy *relay.Cache
	// submit gives an input to the control loop.
	submit func(ctx context.Context, input any)

	mu sync.Mutex
}

// applyOperator takes in operator changes that answer a question sent at a boot
// time, unless they are older than what is known.
func (i *updateApplier) applyOperator(ctx context.Context, update catalog.OperatorUpdate, asked time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.copy.ApplyOperator(update, asked) {
		i.submit(ctx, control.OperatorRead{Update: update, RequestedAt: asked})
	}
}

// applyUpstreams does the same with reports.
func (i *updateApplier) applyUpstreams(ctx context.Context, update catalog.UpstreamUpdate, asked time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.copy.ApplyUpstreams(update, asked) {
		i.submit(ctx, control.UpstreamsRead{Update: update, RequestedAt: asked})
	}
}
