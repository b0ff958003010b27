package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// intake passes what was read on to the copy for followers and to this host's
// beliefs. A read goes on from the copy's offsets, so beliefs must get updates
// in the order in which the copy got them; else they would miss changes.
type intake struct {
	copy *relay.Cache
	// tell gives an input to the control loop.
	tell func(ctx context.Context, input any)

	mu sync.Mutex
}

// operator takes in operator changes that answer a question sent at a boot
// time, unless they are older than what is known.
func (i *intake) operator(ctx context.Context, update catalog.OperatorUpdate, asked time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.copy.ApplyOperator(update, asked) {
		i.tell(ctx, control.OperatorRead{Update: update, RequestedAt: asked})
	}
}

// upstreams does the same with reports.
func (i *intake) upstreams(ctx context.Context, update catalog.UpstreamUpdate, asked time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.copy.ApplyUpstreams(update, asked) {
		i.tell(ctx, control.UpstreamsRead{Update: update, RequestedAt: asked})
	}
}
