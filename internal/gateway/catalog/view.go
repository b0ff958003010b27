package catalog

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Member is an upstream in a view.
type Member struct {
	Upstream
	// ColdUntil is the boot time until which the upstream is cold.
	ColdUntil time.Duration
}

// NeverConfirmed is the ConfirmedAt of a configuration that was not confirmed yet: a host
// may have started a moment ago, at a boot time near 0.
const NeverConfirmed = -24 * time.Hour

// View is what a host knows of configuration and upstreams at one moment. It is
// immutable.
type View struct {
	// Document is nil until a configuration has been read.
	Document *Document
	// ConfirmedAt is the boot time at which the request was sent whose response
	// last confirmed that Document is the newest.
	ConfirmedAt time.Duration
	// ReadAt is the boot time at which the request was sent whose response last contained
	// the configuration, whether that is known to be the newest or not.
	ReadAt time.Duration
	// ListedAt is the boot time at which the request was sent whose response
	// last confirmed the upstreams; 0 means that they were never read.
	ListedAt time.Duration
	// Members holds the upstreams of each service, sorted by ID.
	Members map[string][]*Member
	// ExcludedZones holds the availability zones that operators took out of
	// service; they get no new requests.
	ExcludedZones map[string]bool
	// Rollouts holds the ordered rollouts by service.
	Rollouts map[string]Rollout

	routes    map[string][]*Route
	customers map[string]*Customer
	services  map[string]*Service
}

// Index builds the lookup tables of Route, Customer and Service from Document.
func (v *View) Index() {
	v.routes = map[string][]*Route{}
	v.customers = map[string]*Customer{}
	v.services = map[string]*Service{}
	if v.Document == nil {
		return
	}
	for i := range v.Document.Routes {
		route := &v.Document.Routes[i]
		v.routes[route.HostName] = append(v.routes[route.HostName], route)
	}
	for _, routes := range v.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range v.Document.Customers {
		customer := &v.Document.Customers[i]
		for _, key := range customer.Keys {
			v.customers[key] = customer
		}
	}
	for i := range v.Document.Services {
		service := &v.Document.Services[i]
		v.services[service.Name] = service
	}
}

// Route returns the route with the longest path prefix that matches a host name,
// with or without a port, and a path. It returns nil if none matches.
func (v *View) Route(hostName, path string) *Route {
	for _, route := range v.routes[WithoutPort(hostName)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// WithoutPort returns a host name without its port, if it has one.
func WithoutPort(hostName string) string {
	if host, _, err := net.SplitHostPort(hostName); err == nil {
		return host
	}
	return hostName
}

// Customer returns the customer with a key, or nil.
func (v *View) Customer(key string) *Customer { return v.customers[key] }

// Service returns the service with a name, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// ReuseIndex shares the lookup tables of a view with the same Document instead of
// building them again.
func (v *View) ReuseIndex(from *View) {
	v.routes, v.customers, v.services = from.routes, from.customers, from.services
}
