// Package control holds the control state of an entry host. State machines
// take typed inputs and return typed outputs; they do no I/O, start no
// goroutines and read no clock. One goroutine, the Loop, drives them all and
// publishes an immutable Snapshot for the goroutines that carry traffic.
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
	// Step takes one input and returns what is to be done.
	Step(now time.Time, in Input) []Output
	// Publish adds the machine's part to the next snapshot. Values it stores
	// there must not be changed afterwards.
	Publish(now time.Time, next *Snapshot)
}

// StreamReader is a Machine that folds streams of the log service.
type StreamReader interface {
	// Streams names the streams whose records the machine takes as Record inputs.
	Streams() []string
}

// Input is one of the types below.
type Input interface{ isInput() }

// Tick comes at a fixed interval.
type Tick struct{}

// Record is a record read from a stream of the log service.
type Record struct {
	Stream string
	logsvc.Record
}

// Truncated tells that a stream's records before an offset were lost to the
// reader; the next Record starts from there.
type Truncated struct {
	Stream string
	Oldest int64
}

// LogHealth tells whether the last call of the log service succeeded.
type LogHealth struct {
	Up bool
}

// Appended tells that an Append took effect.
type Appended struct {
	Stream string
	ID     string
	Offset int64
}

// AppendFailed tells that an Append failed. With Unknown set it may have taken effect.
type AppendFailed struct {
	Stream  string
	ID      string
	Unknown bool
}

// HostsListed brings the platform's host list.
type HostsListed struct {
	List hostlist.List
}

// NoticesListed brings the reclaim notices in force.
type NoticesListed struct {
	Notices []cloud.Notice
}

// HostsRead brings the platform's host list as this host read it. HostsListed
// follows from it.
type HostsRead struct {
	List hostlist.List
	Err  error
}

// NoticesRead brings the reclaim notices as this host read them. NoticesListed
// follows from it.
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

// DeliverFailed tells that a batch of messages did not reach an entry host.
type DeliverFailed struct {
	To string
}

// Delivered tells that a batch of messages reached an entry host.
type Delivered struct {
	To string
}

// LoadReported brings an engine's report of its load.
type LoadReported struct {
	Upstream string
	Load     engine.Load
	// Err is set when the upstream did not answer.
	Err error
}

// CacheChanged brings an engine's cache events.
type CacheChanged struct {
	Upstream string
	Events   []engine.CacheEvent
}

// AttemptEnded tells of one attempt at an upstream made by this host.
type AttemptEnded struct {
	Upstream, Service, Route, Version, Customer string
	// Zone is the availability zone of the upstream.
	Zone string
	// RequestID is the request's ID; Fingerprint identifies its content.
	RequestID   string
	Fingerprint uint64
	Started     time.Time
	// FirstToken and Between are the latency of the first token and the mean
	// time between tokens; 0 where there was none.
	FirstToken, Between, Took time.Duration
	Tokens, Recomputed        int
	// Failure is nil for a whole answer.
	Failure *upstream.Failure
	// Late tells that the attempt missed the route's latency targets.
	Late bool
	// Cold tells that the upstream was in cold start when the attempt began.
	Cold bool
}

// Demand tells how many requests for a service wait or run at this host.
type Demand struct {
	Service string
	// Waiting counts by version, InFlight by the upstream's ID.
	Waiting, InFlight map[string]int
	// Urgent is the number of slots that all but the batch class need.
	Urgent int
}

// HostStarted and the types below answer the outputs of the same subject.
type HostStarted struct {
	ID      string
	Refused bool
	Err     error
}

// HostStopped answers a StopHost.
type HostStopped struct {
	ID  string
	Err error
}

// OrderDone answers an OrderEngine.
type OrderDone struct {
	Upstream string
	OrderID  string
	Err      error
}

// WeightsReserved answers a ReserveWeights.
type WeightsReserved struct {
	HostID     string
	Artifact   string
	RetryAfter time.Duration
	Err        error
}

// Leaving tells that this host is to stop by a deadline.
type Leaving struct {
	Deadline time.Time
}

// Configured tells that a configuration came in force at this host.
type Configured struct {
	Offset   int64
	Document *document.Document
}

// MembersChanged tells which entry hosts of the region are live, this one
// included. It comes only when they, their incarnations or their leaving changed.
type MembersChanged struct {
	Hosts []EntryHost
}

// RolloutsChanged tells how far the moves to new versions are.
type RolloutsChanged struct {
	Rollouts []Rollout
}

// HostsRetired tells which upstream hosts are to be stopped; they get no new
// work.
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

// Append adds a record to a stream. Appended or AppendFailed answers it.
type Append struct {
	Stream string
	ID     string
	Data   []byte
}

// SendMessage sends a message to another entry host, without a promise that it
// arrives. Messages to one host between two ticks travel together.
type SendMessage struct {
	To string
	// Address is where to deliver; empty means the address of the live host.
	Address string
	Message *peerv1.Message
}

// PollUpstream asks for an engine's load report and cache events.
type PollUpstream struct {
	Upstream, Address string
	// CacheAfter is the sequence number after which events are wanted; below
	// 0 no events are wanted.
	CacheAfter int64
}

// ReadHosts asks the platform for the host list. HostsRead answers it.
type ReadHosts struct{}

// ReadNotices asks the platform for the reclaim notices. NoticesRead answers it.
type ReadNotices struct{}

// StartHost asks the platform for a host. HostStarted answers it.
type StartHost struct {
	cloud.StartRequest
}

// StopHost releases a host. HostStopped answers it.
type StopHost struct {
	ID string
}

// OrderEngine sends an order to an engine. OrderDone answers it.
type OrderEngine struct {
	Upstream, Address string
	Order             engine.Order
}

// ReserveWeights books a download of weights. WeightsReserved answers it.
type ReserveWeights struct {
	HostID   string
	Artifact string
}

// Emit gives an input to all machines before any other input.
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

// Self says who this entry host is.
type Self struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Region      string
}

// ServingZone reports whether a zone may take new work under a document.
func ServingZone(doc *document.Document, zone string) bool {
	z := doc.Zone(zone)
	return z != nil && z.State == document.ZoneIn
}
