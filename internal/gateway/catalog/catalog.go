// Package catalog defines what operators and upstreams declare: routes, services,
// customers, upstreams, excluded zones and rollouts. Its values are immutable
// once they are part of a View.
package catalog

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// Kind says whether the requests of a route may run more than once, and whether their
// responses are streams.
type Kind int

// The kinds of routes.
const (
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce Kind = iota
	// Idempotent marks requests that may run again.
	Idempotent
	// Stream marks requests whose response is a stream of events. They may run
	// again only if the route is Resumable.
	Stream
)

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route maps the requests of a host name and path prefix to services.
type Route struct {
	Name, HostName, PathPrefix string
	Kind                       Kind
	// Resumable is set when a stream may be resumed at another upstream.
	Resumable bool
	// Timeout is the longest time that a request may wait for its response; 0
	// means no limit.
	Timeout time.Duration
	// Target is the latency objective for the response or the first event.
	Target time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Public is set when requests need no customer key.
	Public bool
	// Affinity is set when requests carry prompts whose prefixes upstreams cache.
	Affinity bool
	Backends []Backend
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// EventTokens is the number of tokens in an event of a stream; 0 means unknown.
	EventTokens int
	// MemoryTokens is the size of an engine's KV cache in tokens.
	MemoryTokens int
	// BytesPerToken is the size of a token in the KV cache in bytes.
	BytesPerToken int
	// Moves is set when running requests can be moved between engines.
	Moves bool
}

// Capacity bounds how many upstreams of a service may be ordered in a zone.
type Capacity struct {
	Min, Max int
	// Startup is the time from an order until the upstream serves requests.
	Startup time.Duration
	// SpotPrice is the price of a reclaimable upstream as a fraction of the
	// on-demand price.
	SpotPrice float64
	// ZonePrices are the relative prices of availability zones.
	ZonePrices map[string]float64
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name, HealthPath string
	MaxConnections   int
	// ColdStart is the time after a start in which an upstream can handle few
	// requests.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold upstream can handle;
	// 0 means that upstreams need no protection.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Capacity is nil where no upstreams can be ordered.
	Capacity *Capacity
}

// ByExpectedWait reports whether requests are placed by the time that they are expected
// to wait at each upstream: at engines that can take their full load from the start. Where
// cold upstreams are protected, that limit decides which ones get requests.
func (s *Service) ByExpectedWait() bool { return s.Engine != nil && s.ColdRate <= 0 }

// Customer is a party that requests are charged to.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of routes; 0 is the most urgent.
	Priority int
	// Rate is the quota in tokens or requests a second, Burst the size of its
	// token bucket; a rate of 0 means no quota.
	Rate, Burst float64
	// InTokens is set when the quota counts tokens instead of requests.
	InTokens bool
	// PlainTokens is what a request without a prompt costs in tokens.
	PlainTokens float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is the operators' configuration.
type Document struct {
	Version   int64
	Routes    []Route
	Services  []Service
	Customers []Customer
	// NeedsKeys is set when requests need the key of a customer, also if there are no
	// customers. Former builds do not pass it on.
	NeedsKeys bool `msgpack:",omitempty"`
	Limits    Limits
}

// Upstream is one process that runs requests, as it reports itself.
type Upstream struct {
	ID, Service, Address, Zone, Version string
	Slots                               int
	Draining                            bool
	// Cold is the remaining cold time when the upstream reported.
	Cold time.Duration
	// Born is the time of day at which the process started, in Unix milliseconds.
	Born int64
	// Spot is set when the upstream may be reclaimed.
	Spot bool
	// Sequence rises with each report of a process, 0 if unknown.
	Sequence int64 `msgpack:",omitempty"`
}

// NewerThan reports whether a report is known to be written after another one of the same
// upstream.
func (u *Upstream) NewerThan(other *Upstream) bool {
	if u.Born == 0 || other.Born == 0 {
		return false
	}
	if u.Born != other.Born {
		return u.Born > other.Born
	}
	return other.Sequence > 0 && u.Sequence > other.Sequence
}

// Rollout orders a service's traffic to be moved to a version.
type Rollout struct {
	// Target is the version.
	Service, Target string
	// Within is the time from the start of the rollout to its deadline.
	Within time.Duration
}

// OperatorChange is one change by an operator. Exactly one of Document, Zone and
// RolloutService is set.
type OperatorChange struct {
	Document *Document
	// Zone is an availability zone that is excluded, or restored with Removed.
	Zone string
	// RolloutService is the service of Rollout.
	RolloutService string
	Rollout        Rollout
	// Removed is set when the zone or rollout is withdrawn.
	Removed bool
	// Kept is set when the change was read in an earlier epoch of the log and the present
	// one lacks it.
	Kept bool `msgpack:",omitempty"`
}

// Update holds changes of one kind in log order.
type Update[C any] struct {
	Changes []C
	// Whole is set when the changes replace everything known before.
	Whole bool
	// Next is the log offset to read from next, and Epoch its epoch.
	Next  int64
	Epoch int64 `msgpack:",omitempty"`
	// Unproven is set while the changes may be older than acknowledged ones, see package
	// proof. It is decided by each host.
	Unproven bool `msgpack:"-"`
	// ProvenVersion is the version of the configuration that the update confirms behind a log
	// that came back from a copy.
	ProvenVersion int64 `msgpack:"-"`
}

// Position returns the position to read from next.
func (u Update[C]) Position() topic.Position {
	return topic.Position{Epoch: u.Epoch, Offset: u.Next}
}

// OperatorUpdate holds changes by operators.
type OperatorUpdate = Update[OperatorChange]

// UpstreamUpdate holds new and removed reports of upstreams.
type UpstreamUpdate = Update[UpstreamChange]

// UpstreamChange is a new or removed report of an upstream.
type UpstreamChange struct {
	ID string
	// Upstream is nil when the report was removed or has expired.
	Upstream *Upstream
	// Kept is set when the report was read in an earlier epoch of the log and the present
	// one lacks it.
	Kept bool `msgpack:",omitempty"`
}
