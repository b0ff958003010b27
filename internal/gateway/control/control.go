// Package control runs the goroutine that owns a host's control state, which is its
// view and its table of peers, and publishes it as immutable snapshots to the
// goroutines that forward traffic.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

// publishInterval is the pause between two snapshots; changes of the view and new
// peers are published at once.
const publishInterval = 50 * time.Millisecond

// inputQueueSize is the number of inputs that are queued before Submit blocks.
const inputQueueSize = 256

// RemoteLoad is the in-flight work of the peers at an upstream.
type RemoteLoad struct {
	// Tokens is the number of prompt tokens that the upstream has to read.
	Requests, Tokens int
	// Suspects is the number of peers to which the upstream does not respond.
	Suspects int
}

// Snapshot is the control state of a host at one moment. It is immutable.
type Snapshot struct {
	View *catalog.View
	// Peers are the live hosts besides this one.
	Peers []*members.Peer
	// SenderNames holds the names of all hosts that may send to upstreams: this
	// one, the live peers, and silent hosts that may still be alive.
	SenderNames []string
	// SenderCount is the number of these hosts, among which limits are divided.
	SenderCount int
	// RemoteLoads holds the work of live peers by the hash of the upstream's ID.
	RemoteLoads map[uint32]RemoteLoad
	// At is the boot time at which the snapshot was taken.
	At time.Duration
}

// OperatorRead is an input to the loop: operator changes read from the log.
type OperatorRead struct {
	Update catalog.OperatorUpdate
	// RequestedAt is the boot time at which the request was sent.
	RequestedAt time.Duration
}

// UpstreamsRead is an input to the loop: upstream reports read from the log.
type UpstreamsRead struct {
	Update catalog.UpstreamUpdate
	// RequestedAt is the boot time at which the request was sent.
	RequestedAt time.Duration
}

// DigestReceived is an input to the loop: a digest of a peer.
type DigestReceived struct{ Digest members.Digest }

// AddressesFound is an input to the loop: addresses that may be those of hosts.
type AddressesFound struct{ Addresses []string }

// Observer is notified of changes of the control state. Its methods are called on
// the loop's goroutine. Each requestedAt is the boot time at which the request was
// sent whose response contained the change.
type Observer interface {
	// ConfigChanged is called after the configuration changed.
	ConfigChanged(doc *catalog.Document, requestedAt time.Duration)
	// PeerUp is called with the digest of a peer that was unknown or down, or
	// has restarted.
	PeerUp(d members.Digest)
	// ViewChanged is called for each logged change of upstreams, excluded zones
	// and rollouts.
	ViewChanged(change view.Change, requestedAt time.Duration)
	// Published is called with each new snapshot.
	Published(s *Snapshot)
}

// Loop owns the control state of a host.
type Loop struct {
	self, address string
	builder       *view.Builder
	table         *members.Table
	inputs        chan any
	snapshot      atomic.Pointer[Snapshot]
	outgoing      chan []members.Outgoing
	observer      Observer
}

// NewLoop returns the loop of the host self, which receives digests at an address.
// It publishes an empty first snapshot.
func NewLoop(self, address string, observer Observer) *Loop {
	l := &Loop{
		self: self, address: address, builder: view.NewBuilder(), table: members.NewTable(address),
		inputs: make(chan any, inputQueueSize), outgoing: make(chan []members.Outgoing, 1), observer: observer,
	}
	l.publish(boottime.Now())
	return l
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Outgoing returns the channel of digests that are due. No batch is added while
// one is pending.
func (l *Loop) Outgoing() <-chan []members.Outgoing { return l.outgoing }

// Submit passes an input to the loop: OperatorRead, UpstreamsRead, DigestReceived or
// AddressesFound. It blocks while the queue is full, until the context ends.
func (l *Loop) Submit(ctx context.Context, input any) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// Run applies inputs and publishes snapshots until the context ends.
func (l *Loop) Run(ctx context.Context) {
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-l.inputs:
			if l.apply(input) {
				l.publish(boottime.Now())
			}
		case <-publish.C:
			l.publish(boottime.Now())
			l.offerOutgoing(boottime.Now())
		}
	}
}

// offerOutgoing puts the digests that are due into the channel unless a batch is
// pending.
func (l *Loop) offerOutgoing(now time.Duration) {
	if len(l.outgoing) > 0 {
		return
	}
	if due := l.table.Due(now); len(due) > 0 {
		l.outgoing <- due
	}
}

// apply applies an input and reports whether it must be published at once.
func (l *Loop) apply(input any) bool {
	now := boottime.Now()
	switch in := input.(type) {
	case OperatorRead:
		if l.builder.ApplyOperator(in.Update, in.RequestedAt) {
			l.observer.ConfigChanged(l.builder.View().Document, in.RequestedAt)
		}
		l.notifyChanges(in.RequestedAt)
		return true
	case UpstreamsRead:
		l.builder.ApplyUpstreams(in.Update, in.RequestedAt)
		l.notifyChanges(in.RequestedAt)
		return true
	case DigestReceived:
		if l.table.Receive(in.Digest, now) {
			l.observer.PeerUp(in.Digest)
			return true
		}
	case AddressesFound:
		l.table.AddAddresses(in.Addresses, now)
	}
	return false
}

func (l *Loop) notifyChanges(requestedAt time.Duration) {
	for _, change := range l.builder.TakeChanges() {
		l.observer.ViewChanged(change, requestedAt)
	}
}

func (l *Loop) publish(now time.Duration) {
	hosts := append(l.table.SenderNames(now), l.self)
	s := &Snapshot{
		View: l.builder.View(), Peers: l.table.Live(now), RemoteLoads: map[uint32]RemoteLoad{},
		SenderNames: hosts, SenderCount: len(hosts), At: now,
	}
	for _, peer := range s.Peers {
		for _, f := range peer.InFlight {
			r := s.RemoteLoads[f.Upstream]
			r.Requests += int(f.Requests)
			r.Tokens += int(f.Tokens)
			s.RemoteLoads[f.Upstream] = r
		}
		for _, suspect := range peer.Suspects {
			r := s.RemoteLoads[suspect]
			r.Suspects++
			s.RemoteLoads[suspect] = r
		}
	}
	l.snapshot.Store(s)
	if l.observer != nil {
		l.observer.Published(s)
	}
}
