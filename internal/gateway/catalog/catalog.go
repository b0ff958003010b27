// Package catalog holds what operators and upstreams declare: routes, services,
// customers, upstreams, zones taken out and rollouts. Its values are immutable
// once they are part of a View.
package catalog

import "time"

// Kind says how often a request of a route may run.
type Kind int

// The kinds of routes.
const (
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce Kind = iota
	// Idempotent marks requests that may run again.
	Idempotent
	// Stream marks requests that are answered by a stream of events.
	Stream
)

// Backend is a service with its share of a route's requests.
type Backend struct {
	Service string
	Weight  int
}

// Route sends the requests of a host name and path prefix to services.
type Route struct {
	Name, HostName, PathPrefix string
	Kind                       Kind
	// Resumable tells that a stream may go on at another upstream.
	Resumable bool
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Target is the latency objective up to the answer or the first event.
	Target time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity tells that requests carry prompts whose prefixes are cached.
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
	// EventTokens is the number of tokens in an event of a stream; 0 means unsaid.
	EventTokens int
	// MemoryTokens is the size of an engine's KV cache.
	MemoryTokens int
	// BytesPerToken is the size of a token in the KV cache.
	BytesPerToken int
	// Moves tells that runs can be moved between engines.
	Moves bool
}

// Capacity bounds how many upstreams of a service may be ordered in a zone.
type Capacity struct {
	Min, Max int
	// Startup is the time from an order to a serving upstream.
	Startup time.Duration
	// SpotPrice is the price of a reclaimable upstream as a share of the price
	// of one on demand.
	SpotPrice float64
	// ZonePrices are the relative prices of availability zones.
	ZonePrices map[string]float64
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name, HealthPath string
	MaxConnections   int
	// ColdStart is how long an upstream stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears;
	// 0 means that upstreams need no protection.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Capacity is nil where no upstreams can be ordered.
	Capacity *Capacity
}

// Customer is who pays for requests.
type Customer struct {
	Name string
	Keys []string
	// Priority goes before the priority of routes; 0 is the most urgent.
	Priority int
	// Rate and Burst are the quota, in tokens or requests a second and in
	// tokens or requests; a rate of 0 means no quota.
	Rate, Burst float64
	// InTokens tells that the quota counts tokens.
	InTokens bool
	// PlainTokens is what a request without a prompt counts.
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
	Limits    Limits
}

// Upstream is one process that runs requests, as it describes itself.
type Upstream struct {
	ID, Service, Address, Zone, Version string
	Slots                               int
	Draining                            bool
	// Cold is how long the upstream stayed cold when it reported.
	Cold time.Duration
	// Born is the time at which the process started, in Unix milliseconds.
	Born int64
	// Spot upstreams may be reclaimed.
	Spot bool
}

// Rollout moves a service's traffic to a version by a deadline.
type Rollout struct {
	Service, Target string
	Within          time.Duration
}

// OperatorChange is one change that an operator made. Exactly one of Document,
// Zone and RolloutService is set.
type OperatorChange struct {
	Document *Document
	// Zone is taken out, or brought back with Removed.
	Zone string
	// RolloutService is the service of Rollout.
	RolloutService string
	Rollout        Rollout
	Removed        bool
}

// Update holds changes of one sort in their order.
type Update[C any] struct {
	Changes []C
	// Whole tells that the changes replace everything known before.
	Whole bool
	// Next is the offset at which to go on reading.
	Next int64
}

// OperatorUpdate holds changes by operators.
type OperatorUpdate = Update[OperatorChange]

// UpstreamUpdate holds reports of upstreams.
type UpstreamUpdate = Update[UpstreamChange]

// UpstreamChange is a new or removed report of an upstream.
type UpstreamChange struct {
	ID string
	// Upstream is nil when the upstream is gone.
	Upstream *Upstream
}
