// Package document defines the configuration that operators apply: the services,
// versions, availability zones, customers and teams of one deployment.
package document

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// Kind is the kind of upstream that serves a service.
type Kind string

// The kinds of service.
const (
	// KindEngine is a service of model engines, which generate tokens.
	KindEngine Kind = "engine"
	// KindPlain is a service that responds to a request with one body.
	KindPlain Kind = "plain"
)

// Class is the priority class of a route.
type Class string

// The priority classes, highest first.
const (
	// ClassInteractive is for requests whose users wait for the response.
	ClassInteractive Class = "interactive"
	// ClassStandard is for requests that should finish soon.
	ClassStandard Class = "standard"
	// ClassBatch is for requests that may wait in a queue.
	ClassBatch Class = "batch"
)

// ZoneState is the state of an availability zone, set by operators.
type ZoneState string

// The states of an availability zone.
const (
	// ZoneServing lets the zone receive new work.
	ZoneServing ZoneState = "in"
	// ZoneExcluded keeps new work away from the zone.
	ZoneExcluded ZoneState = "out"
)

// HostClass is the contract under which a host is rented.
type HostClass string

// The classes of host.
const (
	// Reclaimable hosts are cheap and can be taken away on seconds of notice.
	Reclaimable HostClass = "reclaimable"
	// OnDemand hosts stay until they are released.
	OnDemand HostClass = "on-demand"
)

// Document is a complete configuration.
type Document struct {
	Services          []Service          `json:"services"`
	AvailabilityZones []AvailabilityZone `json:"availabilityZones"`
	Customers         []Customer         `json:"customers"`
	Teams             []Team             `json:"teams,omitempty"`
}

// Service is a group of upstreams that serve the same routes.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Team is the name of the team that owns the service; empty if the operators
	// own it.
	Team     string    `json:"team,omitempty"`
	Routes   []Route   `json:"routes"`
	Versions []Version `json:"versions"`
	Upstream Traits    `json:"upstream"`
	// Hosts bounds the fleet of the service; nil if its hosts are started and
	// stopped externally.
	Hosts *FleetBounds `json:"hosts,omitempty"`
}

// Route is one operation of a service.
type Route struct {
	Name string `json:"name"`
	// Idempotent is set when a request may safely run more than once.
	Idempotent bool  `json:"idempotent"`
	Class      Class `json:"class"`
	// Deadline is the maximum time from acceptance to the complete response.
	Deadline jsonc.Duration `json:"deadline"`
	// FirstToken is the latency target of the first token; engines only.
	FirstToken jsonc.Duration `json:"firstToken,omitempty"`
	// BetweenTokens is the target for the time between tokens; engines only.
	BetweenTokens jsonc.Duration `json:"betweenTokens,omitempty"`
	// Objective is the fraction of requests, above 0 and below 1, that must get a
	// complete response on time.
	Objective float64 `json:"objective"`
	// MaxTokens bounds the tokens generated for one request; engines only.
	MaxTokens int `json:"maxTokens,omitempty"`
}

// Version is one version of a service.
type Version struct {
	Name string `json:"name"`
	// Goal is the target fraction of the service's traffic, from 0 to 1. The
	// goals of a service's versions sum to 1.
	Goal float64 `json:"goal"`
	// By is the deadline of the rollout to the goal: by then it has completed or
	// been rolled back. The zero time marks a version that is already proven and
	// needs no rollout.
	By time.Time `json:"by,omitzero"`
}

// Traits describes the capacity and the checks of a service's upstreams.
type Traits struct {
	// MaxInFlight is the number of concurrent requests that a warm upstream can
	// handle.
	MaxInFlight int `json:"maxInFlight"`
	// ColdInFlight is the number of concurrent requests that an upstream can
	// handle during its cold start.
	ColdInFlight int `json:"coldInFlight"`
	// ColdStart is the usual duration of an upstream's cold start.
	ColdStart jsonc.Duration `json:"coldStart"`
	// ChecksFencing is set when upstreams reject commands with a stale fencing
	// token.
	ChecksFencing bool `json:"checksFencing"`
}

// FleetBounds is the inclusive range of a service's number of hosts.
type FleetBounds struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// AvailabilityZone is a group of hosts that fail and are reclaimed together.
type AvailabilityZone struct {
	Name   string    `json:"name"`
	Region string    `json:"region"`
	State  ZoneState `json:"state"`
	// Prices holds the hourly price of an upstream host by class.
	Prices map[HostClass]float64 `json:"prices"`
}

// Customer is an organisation on whose behalf callers send requests.
type Customer struct {
	Name string `json:"name"`
	// Team is the name of the team that owns the customer; empty if the operators
	// own it.
	Team string `json:"team,omitempty"`
	// Share is the customer's weight in fair sharing when upstreams are at
	// capacity.
	Share float64 `json:"share"`
	// MaxInFlight bounds the customer's accepted requests on one entry host;
	// 0 sets no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
	// TokenHash is the SHA-256 of the customer's bearer token in hexadecimal;
	// empty lets callers use the customer's name without authentication.
	TokenHash string `json:"tokenHash,omitempty"`
}

// Team is a group of people who administer a part of the document.
type Team struct {
	Name string `json:"name"`
	// TokenHash is the SHA-256 of the team's bearer token in hexadecimal.
	TokenHash string `json:"tokenHash"`
}

// Service returns the service with the given name, or nil.
func (d *Document) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Zone returns the availability zone with the given name, or nil.
func (d *Document) Zone(name string) *AvailabilityZone {
	for i := range d.AvailabilityZones {
		if d.AvailabilityZones[i].Name == name {
			return &d.AvailabilityZones[i]
		}
	}
	return nil
}

// Customer returns the customer with the given name, or nil.
func (d *Document) Customer(name string) *Customer {
	for i := range d.Customers {
		if d.Customers[i].Name == name {
			return &d.Customers[i]
		}
	}
	return nil
}

// Route returns the route with the given name, or nil.
func (s *Service) Route(name string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Version returns the version with the given name, or nil.
func (s *Service) Version(name string) *Version {
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i]
		}
	}
	return nil
}
