package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/proof"
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
	// proofChanged is called when the host loses the proof of its configuration or gains it.
	proofChanged func(proof.State)
	// highestVersion returns the highest version of the configuration in the digests of peers.
	highestVersion func() int64

	mu sync.Mutex
	// epoch is the latest epoch of the log, known once something was read.
	epoch     atomic.Int64
	read      bool
	operator  reconcile.Operator
	upstreams reconcile.Upstreams
	proof     proof.Tracker
	// proofState is that of proof, for readers that must not wait for mu.
	proofState atomic.Pointer[proof.State]
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

// applyOperator applies operator changes from the log's response to a request sent at
// a boot time, unless they are older than those already applied.
func (a *updateApplier) applyOperator(ctx context.Context, update catalog.OperatorUpdate, requestedAt time.Duration) {
	a.applyOperatorFrom(ctx, update, requestedAt, proof.Source{Log: true})
}

// applyRelayed applies operator changes from a peer's response to a request sent at a boot
// time.
func (a *updateApplier) applyRelayed(ctx context.Context, resp relay.Response, requestedAt time.Duration) {
	readAt := requestedAt - resp.OperatorAge + resp.OperatorLag
	a.applyOperatorFrom(ctx, resp.Operator, readAt, proof.Source{ProvenEpoch: resp.ProvenEpoch, ProvenVersion: resp.ProvenVersion})
}

func (a *updateApplier) applyOperatorFrom(ctx context.Context, update catalog.OperatorUpdate, requestedAt time.Duration, from proof.Source) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteEpoch(update.Epoch)
	if !a.copy.AcceptsOperator(update) {
		return
	}
	if update.Epoch > 0 {
		from.HighestVersion = a.highestVersion()
	}
	update = a.operator.Apply(update, requestedAt)
	update.Unproven = !a.proof.Read(update, requestedAt, from)
	a.publishProof()
	a.confirmOperator(ctx, update, requestedAt)
}

// confirmOperator passes an update on. a.mu must be held.
func (a *updateApplier) confirmOperator(ctx context.Context, update catalog.OperatorUpdate, requestedAt time.Duration) {
	if update.Epoch > 0 && !update.Unproven {
		update.ProvenVersion = a.proof.ProvenVersion
	}
	if a.copy.ApplyOperator(update, requestedAt) {
		a.submit(ctx, control.OperatorRead{Update: update, RequestedAt: requestedAt})
	}
}

// prove records evidence that, in an epoch, no version above the given one is the newest, so
// that the latest read confirms the configuration.
func (a *updateApplier) prove(ctx context.Context, basis proof.Basis, epoch, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	readAt, proven := a.proof.Prove(basis, epoch, version, a.highestVersion())
	if !proven {
		return
	}
	a.publishProof()
	position, _ := a.copy.Positions()
	a.confirmOperator(ctx, catalog.OperatorUpdate{Next: position.Offset, Epoch: position.Epoch}, readAt)
}

// publishProof publishes the state of the proof. a.mu must be held.
func (a *updateApplier) publishProof() {
	state := a.proof.State
	previous := a.proofState.Swap(&state)
	if state.Epoch == 0 || previous != nil && previous.Epoch == state.Epoch && previous.Basis == state.Basis {
		return
	}
	a.proofChanged(state)
}

// currentProof returns what is known of the proof.
func (a *updateApplier) currentProof() proof.State {
	if state := a.proofState.Load(); state != nil {
		return *state
	}
	return proof.State{}
}

// applyUpstreams applies upstreams' reports from the response to a request sent at a boot
// time, unless they are older than those already applied.
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
