// Package control runs the goroutine that owns a host's beliefs and publishes
// them as immutable snapshots to the goroutines that carry traffic.
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

// publishInterval is the longest time between a change and its snapshot.
const publishInterval = 50 * time.Millisecond

// inputQueue is the number of inputs that may wait for the loop.
const inputQueue = 256

// RemoteLoad is the work that other hosts have at an upstream.
type RemoteLoad struct {
	Requests, Tokens int
	// Suspects is the number of hosts that the upstream does not answer.
	Suspects int
}

// Snapshot is what a host believes. It is immutable.
type Snapshot struct {
	View *catalog.View
	// Peers are the live hosts besides this one.
	Peers []*members.Peer
	// SenderNames names all hosts that may send to upstreams, this one and those
	// included that are not heard but may live.
	SenderNames []string
	// SenderCount is the number of these hosts; they may hold shares of limits.
	SenderCount int
	// RemoteLoads holds the work of live peers by the hash of the upstream.
	RemoteLoads map[uint32]RemoteLoad
	// At is the boot time of the snapshot.
	At time.Duration
}

// OperatorRead is an input: changes by operators.
type OperatorRead struct {
	Update catalog.OperatorUpdate
	// RequestedAt is the boot time at which the question was sent.
	RequestedAt time.Duration
}

// UpstreamsRead is an input: reports of upstreams.
type UpstreamsRead struct {
	Update      catalog.UpstreamUpdate
	RequestedAt time.Duration
}

// DigestReceived is an input: a peer's digest.
type DigestReceived struct{ Digest members.Digest }

// AddressesFound is an input: addresses that may be those of hosts.
type AddressesFound struct{ Addresses []string }

// Observer is told of changes of belief. Its methods are called by the loop.
type Observer interface {
	Configured(doc *catalog.Document, asked time.Duration)
	PeerUp(d members.Digest)
	// ViewChanged is told of a change of belief that answers a question sent at a
	// boot time.
	ViewChanged(note view.Change, asked time.Duration)
	Published(s *Snapshot)
}

// Loop owns a host's beliefs.
type Loop struct {
	self, address string
	state         *view.Builder
	table         *members.Table
	inputs        chan any
	snapshot      atomic.Pointer[Snapshot]
	sends         chan []members.Outgoing
	observer      Observer
}

// NewLoop returns the loop of a host with an address for digests.
func NewLoop(self, address string, observer Observer) *Loop {
	l := &Loop{
		self: self, address: address, state: view.NewBuilder(), table: members.NewTable(address),
		inputs: make(chan any, inputQueue), sends: make(chan []members.Outgoing, 1), observer: observer,
	}
	l.publish(boottime.Now())
	return l
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Outgoing returns the channel of the digests that are due. While one batch waits
// there, none is added.
func (l *Loop) Outgoing() <-chan []members.Outgoing { return l.sends }

// Submit gives an input to the loop.
func (l *Loop) Submit(ctx context.Context, input any) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// Run runs the loop until the context ends.
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
			l.offerSends(boottime.Now())
		}
	}
}

// offerSends hands out the digests that are due.
func (l *Loop) offerSends(now time.Duration) {
	if len(l.sends) > 0 {
		return
	}
	if due := l.table.Due(now); len(due) > 0 {
		l.sends <- due
	}
}

// apply takes in an input and reports whether it must be published at once.
func (l *Loop) apply(input any) bool {
	now := boottime.Now()
	switch in := input.(type) {
	case OperatorRead:
		if l.state.ApplyOperator(in.Update, in.RequestedAt) {
			l.observer.Configured(l.state.View().Document, in.RequestedAt)
		}
		l.tellNotes(in.RequestedAt)
		return true
	case UpstreamsRead:
		l.state.ApplyUpstreams(in.Update, in.RequestedAt)
		l.tellNotes(in.RequestedAt)
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

func (l *Loop) tellNotes(asked time.Duration) {
	for _, note := range l.state.TakeChanges() {
		l.observer.ViewChanged(note, asked)
	}
}

func (l *Loop) publish(now time.Duration) {
	hosts := append(l.table.SenderNames(now), l.self)
	s := &Snapshot{
		View: l.state.View(), Peers: l.table.Live(now), RemoteLoads: map[uint32]RemoteLoad{},
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
