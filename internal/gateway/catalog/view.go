package catalog

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Member is an upstream as a host believes in it.
type Member struct {
	Upstream
	// ColdUntil is the boot time until which the upstream is cold.
	ColdUntil time.Duration
}

// View is what a host believes at one moment. It is immutable.
type View struct {
	// Document is nil until a configuration was read.
	Document *Document
	// ConfirmedAt is the boot time at which the question was sent whose answer
	// last proved Document to be the newest.
	ConfirmedAt time.Duration
	// ListedAt is the boot time at which the question was sent whose answer
	// last brought the upstreams.
	ListedAt time.Duration
	// Members holds the upstreams of each service, by ID.
	Members map[string][]*Member
	// ExcludedZones holds the availability zones that get no new work.
	ExcludedZones map[string]bool
	// Rollouts holds the moves to new versions by service.
	Rollouts map[string]Rollout

	routes    map[string][]*Route
	customers map[string]*Customer
	services  map[string]*Service
}

// Index prepares the lookups of a view whose Document has changed.
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

// Route returns the route of a host name and path, or nil.
func (v *View) Route(hostName, path string) *Route {
	if host, _, err := net.SplitHostPort(hostName); err == nil {
		hostName = host
	}
	for _, route := range v.routes[hostName] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Customer returns the customer that holds a key, or nil.
func (v *View) Customer(key string) *Customer { return v.customers[key] }

// Service returns a service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// ReuseIndex takes over the lookups of a view with the same Document.
func (v *View) ReuseIndex(from *View) {
	v.routes, v.customers, v.services = from.routes, from.customers, from.services
}
