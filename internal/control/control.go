// Package control holds the control state of an entry host. State machines
// take typed inputs and return typed outputs; they do no I/O, start no
// goroutines and read no clock. One goroutine, the Loop, drives them all and
// publishes an immutable Snapshot for the goroutines that serve requests.
package control

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// Machine is a deterministic part of the control state.
//
// Invariant: Step and Publish are called by one goroutine only; the same
// inputs at the same times give the same outputs.
type Machine interface {
	// Step applies one input and returns the outputs to carry out.
	Step(now time.Time, in Input) []Output
	// Publish adds the machine's part to the next snapshot. Values it stores
	// there must not be changed afterwards.
	Publish(now time.Time, next *Snapshot)
}

// StreamFolder is a Machine that folds streams of the log service into its state.
type StreamFolder interface {
	// Streams returns the names of the streams whose records the machine is given
	// as Record inputs.
	Streams() []string
}

// Input is one of the types below.
type Input interface{ isInput() }

// Tick is the periodic input, given every TickInterval.
type Tick struct{}

// Record is a record read from a stream of the log service.
type Record struct {
	Stream string
	logsvc.Record
}

// Truncated reports that the records of a stream before the offset Oldest
// expired before they were read; the next Record is at Oldest or later.
type Truncated struct {
	Stream string
	Oldest int64
}

// LogHealth reports whether the last request to the log service succeeded.
type LogHealth struct {
	Up bool
}

// Appended reports that an Append took effect.
type Appended struct {
	Stream string
	ID     string
	Offset int64
}

// AppendFailed reports that an Append failed. When Unknown is set it may have
// taken effect.
type AppendFailed struct {
	Stream  string
	ID      string
	Unknown bool
}

// HostsListed carries the platform's host list.
type HostsListed struct {
	List hostlist.List
}

// NoticesListed carries all current reclaim notices.
type NoticesListed struct {
	Notices []cloud.Notice
}

// HostsRead is the result of a ReadHosts. The listing machine emits HostsListed
// from it.
type HostsRead struct {
	List hostlist.List
	Err  error
}

// NoticesRead is the result of a ReadNotices. The listing machine emits
// NoticesListed from it.
type NoticesRead struct {
	Notices []cloud.Notice
	Err     error
}

// MessageReceived is a message from another entry host.
type MessageReceived struct {
	From        string
	Incarnation string
	Message     *peerv1.Message
}

// DeliverFailed reports that a batch of messages did not reach an entry host.
type DeliverFailed struct {
	To string
}

// Delivered reports that a batch of messages reached an entry host.
type Delivered struct {
	To string
}

// LoadReported carries an engine's load report.
type LoadReported struct {
	Upstream string
	Load     engine.Load
	// Err is set when the upstream did not respond.
	Err error
}

// CacheChanged carries an engine's cache events.
type CacheChanged struct {
	Upstream string
	Events   []engine.CacheEvent
}

// AttemptEnded reports the end of one attempt by this host at an upstream.
type AttemptEnded struct {
	Upstream, Service, Route, Version, Customer string
	// Zone is the availability zone of the upstream.
	Zone string
	// RequestID is the request's ID; Fingerprint identifies its content.
	RequestID   string
	Fingerprint uint64
	// Beginning identifies the beginning of the prompt, 0 if it has none that others may
	// share.
	Beginning uint64
	Started   time.Time
	// FirstToken is the latency of the first token and Between the mean time
	// between tokens; 0 if there was none.
	FirstToken, Between, Took time.Duration
	Tokens, Recomputed        int
	// Failure is nil if the response was complete.
	Failure *upstream.Failure
	// Late is set when the attempt missed the route's latency targets.
	Late bool
	// Cold is set when the upstream was in cold start when the attempt began.
	Cold bool
}

// Demand reports how many requests for a service are waiting or in flight at
// this host.
type Demand struct {
	Service string
	// Waiting counts by version, InFlight by the upstream's ID.
	Waiting, InFlight map[string]int
	// Urgent is the number of slots needed by all classes except batch.
	Urgent int
}

// HostStarted is the result of a StartHost.
type HostStarted struct {
	ID      string
	Refused bool
	Err     error
}

// HostStopped is the result of a StopHost.
type HostStopped struct {
	ID  string
	Err error
}

// OrderDone is the result of an OrderEngine.
type OrderDone struct {
	Upstream string
	OrderID  string
	Err      error
}

// WeightsReserved is the result of a ReserveWeights.
type WeightsReserved struct {
	HostID     string
	Artifact   string
	RetryAfter time.Duration
	Err        error
}

// Leaving reports that this host must stop by a deadline.
type Leaving struct {
	Deadline time.Time
}

// Configured reports that a configuration became active at this host.
type Configured struct {
	Offset   int64
	Document *document.Document
}

// MembersChanged lists the live entry hosts of the region, this one included.
// It is emitted only when the set, an incarnation or a Leaving flag changed.
type MembersChanged struct {
	Hosts []EntryHost
}

// RolloutsChanged carries the state of the rollouts.
type RolloutsChanged struct {
	Rollouts []Rollout
}

// HostsRetired lists the upstream hosts that will be stopped; they get no new
// requests.
type HostsRetired struct {
	IDs map[string]bool
}

func (Tick) isInput()            {}
func (Record) isInput()          {}
func (Truncated) isInput()       {}
func (LogHealth) isInput()       {}
func (Appended) isInput()        {}
func (AppendFailed) isInput()    {}
func (HostsListed) isInput()     {}
func (NoticesListed) isInput()   {}
func (HostsRead) isInput()       {}
func (NoticesRead) isInput()     {}
func (MessageReceived) isInput() {}
func (DeliverFailed) isInput()   {}
func (Delivered) isInput()       {}
func (LoadReported) isInput()    {}
func (CacheChanged) isInput()    {}
func (AttemptEnded) isInput()    {}
func (Demand) isInput()          {}
func (HostStarted) isInput()     {}
func (HostStopped) isInput()     {}
func (OrderDone) isInput()       {}
func (WeightsReserved) isInput() {}
func (Leaving) isInput()         {}
func (Configured) isInput()      {}
func (MembersChanged) isInput()  {}
func (RolloutsChanged) isInput() {}
func (HostsRetired) isInput()    {}

// Output is one of the types below.
type Output interface{ isOutput() }

// Append adds a record to a stream. Its result is Appended or AppendFailed.
type Append struct {
	Stream string
	ID     string
	Data   []byte
}

// SendMessage sends a message to another entry host; delivery is not
// guaranteed. Messages to one host between two ticks are sent in one batch.
type SendMessage struct {
	To string
	// Address is the address to send to; empty means the address of the live
	// host To.
	Address string
	Message *peerv1.Message
}

// PollUpstream requests an engine's load report and cache events. Its results
// are LoadReported and CacheChanged.
type PollUpstream struct {
	Upstream, Address string
	// CacheAfter is the sequence number after which cache events are requested;
	// a negative value requests none.
	CacheAfter int64
}

// ReadHosts requests the platform's host list. Its result is HostsRead.
type ReadHosts struct{}

// ReadNotices requests the platform's reclaim notices. Its result is
// NoticesRead.
type ReadNotices struct{}

// StartHost requests a new host from the platform. Its result is HostStarted.
type StartHost struct {
	cloud.StartRequest
}

// StopHost releases a host. Its result is HostStopped.
type StopHost struct {
	ID string
}

// OrderEngine sends an order to an engine. Its result is OrderDone.
type OrderEngine struct {
	Upstream, Address string
	Order             engine.Order
}

// ReserveWeights reserves a download of model weights. Its result is
// WeightsReserved.
type ReserveWeights struct {
	HostID   string
	Artifact string
}

// Emit passes an input to all machines before the loop takes its next input.
type Emit struct {
	Input Input
}

func (Append) isOutput()         {}
func (Emit) isOutput()           {}
func (SendMessage) isOutput()    {}
func (PollUpstream) isOutput()   {}
func (ReadHosts) isOutput()      {}
func (ReadNotices) isOutput()    {}
func (StartHost) isOutput()      {}
func (StopHost) isOutput()       {}
func (OrderEngine) isOutput()    {}
func (ReserveWeights) isOutput() {}

// Self identifies this entry host.
type Self struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Region      string
}

// ServingZone reports whether a zone is configured and not excluded, so that
// its hosts may get new requests.
func ServingZone(doc *document.Document, zone string) bool {
	z := doc.Zone(zone)
	return z != nil && z.State == document.ZoneServing
}
