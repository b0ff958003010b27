// Package control runs the goroutine that owns a host's control state, which is its
// view and its table of peers, and publishes it as immutable snapshots to the
// goroutines that forward traffic.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

// tickInterval is the pause between two checks for datagrams that are due, and in a
// small fleet between two snapshots; publishInterval is that in a larger one. Changes
// of the view and new peers are published at once.
const (
	tickInterval    = 50 * time.Millisecond
	publishInterval = 100 * time.Millisecond
)

// inputQueueSize is the number of inputs that are queued before Submit blocks.
const inputQueueSize = 256

// Snapshot is the control state of a host at one moment. It is immutable.
type Snapshot struct {
	View *catalog.View
	// Peers are the live hosts besides this one.
	Peers []*members.Peer
	// SenderNames holds the names of all hosts that may send to upstreams: this
	// one, the live peers, and silent hosts that may still be alive.
	SenderNames []string
	// SenderCount is the number of these hosts, among which limits are divided. It is 0,
	// and there are no SenderNames, while the host does not know its fleet.
	SenderCount int
	// LiveCount is the number of these hosts that are live, this one included.
	LiveCount int
	// RemoteLoads holds the work of live peers by the hash of the upstream's ID.
	RemoteLoads map[uint32]members.LoadSum
	// PeerUse is what all other hosts used of customers' quotas, if peers do not
	// tell it one by one.
	PeerUse map[string]float64
	// FastExchange is set while hosts exchange their load at short intervals.
	FastExchange bool
	// At is the boot time at which the snapshot was taken.
	At time.Duration
}

// FleetKnown reports whether the host has had a complete list of all hosts. Before that it
// cannot compute its share of any limit.
func (s *Snapshot) FleetKnown() bool { return s.SenderCount > 0 }

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

// SummaryReceived is an input to the loop: a summary of a hub.
type SummaryReceived struct{ Summary *members.Summary }

// Batch holds the datagrams that are due at a moment, and what they contain.
type Batch struct {
	Sends  []members.Outgoing
	Digest *members.Digest
	// Summaries holds the summaries by scope, as far as they are due.
	Summaries map[members.Scope]*members.Summary
}

// HostsFound is an input to the loop: hosts from the list of all hosts.
type HostsFound struct {
	Hosts []members.ListedHost
	// Complete is set if these are all hosts, and this one is listed too.
	Complete bool
}

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
	// SummaryMerged is called with each summary of a hub.
	SummaryMerged(s *members.Summary)
	// Observed is called with what peers observed of engines.
	Observed(list []members.Observation)
	// Digest returns the digest of this host, and Counted the number of requests that
	// it has counted for usage.
	Digest() *members.Digest
	Counted() uint64
}

// Loop owns the control state of a host.
type Loop struct {
	self     string
	builder  *view.Builder
	table    *members.Table
	inputs   chan any
	snapshot atomic.Pointer[Snapshot]
	outgoing chan Batch
	observer Observer
	// fast is set while hosts exchange their load at short intervals.
	fast bool
}

// NewLoop returns the loop of the host that is named name. It publishes an empty
// first snapshot.
func NewLoop(name string, self members.Self, observer Observer) *Loop {
	l := &Loop{
		self: name, builder: view.NewBuilder(), table: members.NewTable(self),
		inputs: make(chan any, inputQueueSize), outgoing: make(chan Batch, 1), observer: observer,
	}
	l.publish(boottime.Now())
	return l
}

// Snapshot returns the newest snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Outgoing returns the channel of digests that are due. No batch is added while
// one is pending.
func (l *Loop) Outgoing() <-chan Batch { return l.outgoing }

// Submit passes an input to the loop: OperatorRead, UpstreamsRead, DigestReceived or
// HostsFound. It blocks while the queue is full, until the context ends.
func (l *Loop) Submit(ctx context.Context, input any) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// Run applies inputs and publishes snapshots until the context ends.
func (l *Loop) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-l.inputs:
			if l.apply(input) {
				l.publish(boottime.Now())
			}
		case <-tick.C:
			now := boottime.Now()
			last := l.Snapshot()
			if len(last.Peers) < members.MaxMeshHosts || l.fast || now-last.At >= publishInterval-tickInterval/2 {
				l.publish(now)
			}
			l.offerOutgoing(now)
		}
	}
}

// offerOutgoing puts the digests that are due into the channel unless a batch is
// pending.
func (l *Loop) offerOutgoing(now time.Duration) {
	if len(l.outgoing) > 0 {
		return
	}
	l.table.SetCounted(l.observer.Counted())
	due := l.table.Due(now)
	if len(due) == 0 {
		return
	}
	batch := Batch{Sends: due, Digest: l.observer.Digest(), Summaries: map[members.Scope]*members.Summary{}}
	l.table.RecordOwn(batch.Digest, now)
	for _, send := range due {
		if send.Scope != members.NoScope && batch.Summaries[send.Scope] == nil {
			batch.Summaries[send.Scope] = l.table.Summary(send.Scope, batch.Digest, now)
		}
	}
	l.outgoing <- batch
}

// apply applies an input and reports whether it must be published at once.
func (l *Loop) apply(input any) bool {
	now := boottime.Now()
	switch in := input.(type) {
	case OperatorRead:
		if l.builder.ApplyOperator(in.Update, in.RequestedAt) {
			doc := l.builder.View().Document
			l.setFastExchange(doc)
			l.observer.ConfigChanged(doc, in.RequestedAt)
		}
		l.notifyChanges(in.RequestedAt)
		return true
	case UpstreamsRead:
		l.builder.ApplyUpstreams(in.Update, in.RequestedAt)
		l.notifyChanges(in.RequestedAt)
		return true
	case DigestReceived:
		defer l.notifyObserved()
		if l.table.Receive(in.Digest, now) {
			l.observer.PeerUp(in.Digest)
			return true
		}
	case SummaryReceived:
		defer l.notifyObserved()
		up := l.table.ReceiveSummary(in.Summary, now)
		for _, d := range up {
			l.observer.PeerUp(d)
		}
		l.observer.SummaryMerged(in.Summary)
		return len(up) > 0
	case HostsFound:
		known := l.table.Complete()
		l.table.AddListed(in.Hosts, in.Complete, now)
		return l.table.Complete() != known
	}
	return false
}

// setFastExchange sets whether hosts exchange their load at short intervals: where requests
// are placed by the expected wait.
func (l *Loop) setFastExchange(doc *catalog.Document) {
	l.fast = slices.ContainsFunc(doc.Services, func(s catalog.Service) bool { return s.ByExpectedWait() })
	l.table.SetFastExchange(l.fast)
}

func (l *Loop) notifyObserved() {
	if list := l.table.TakeObservations(); len(list) > 0 {
		l.observer.Observed(list)
	}
}

func (l *Loop) notifyChanges(requestedAt time.Duration) {
	for _, change := range l.builder.TakeChanges() {
		l.observer.ViewChanged(change, requestedAt)
	}
}

func (l *Loop) publish(now time.Duration) {
	var senders []string
	if l.table.Complete() {
		senders = append(l.table.SenderNames(now), l.self)
	}
	s := &Snapshot{
		View: l.builder.View(), Peers: l.table.Live(now), RemoteLoads: l.table.RemoteLoads(now), PeerUse: l.table.PeerUse(),
		SenderNames: senders, SenderCount: len(senders), LiveCount: l.table.LiveCount(now) + 1, At: now, FastExchange: l.fast,
	}
	l.snapshot.Store(s)
	if l.observer != nil {
		l.observer.Published(s)
	}
}
