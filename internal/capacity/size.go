// Package capacity measures what control costs an entry host as a deployment
// grows. It drives the control state machines of every host directly, with a
// stepped clock, and counts their messages, bytes, processor time and memory.
package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

// Size is the size of a deployment.
type Size struct {
	Hosts, Upstreams, Regions, Zones int
	// Requests is the number of requests a second over all hosts.
	Requests float64
}

// Target is the size to design for: 710 hosts in front of 1,900 upstreams in 5
// regions with 12 availability zones, and 18,000 requests a second.
var Target = Size{Hosts: 710, Upstreams: 1900, Regions: 5, Zones: 12, Requests: 18000}

const (
	// upstreamsPerService and hostsPerCustomer determine the number of services
	// and customers in the configuration.
	upstreamsPerService = 32
	hostsPerCustomer    = 4
	maxInFlight         = 16
	coldInFlight        = 2
)

// Scaled returns the target scaled down to a number of hosts. Up to 30 hosts
// are in one region of four zones.
func Scaled(hosts int) Size {
	share := float64(hosts) / float64(Target.Hosts)
	size := Size{
		Hosts: hosts, Upstreams: max(4, int(share*float64(Target.Upstreams))),
		Regions: 1, Zones: 4, Requests: share * Target.Requests,
	}
	if hosts > maxOneRegionHosts {
		size.Regions, size.Zones = Target.Regions, Target.Zones
	}
	return size
}

const maxOneRegionHosts = 30

func (s Size) region(zone int) string { return fmt.Sprintf("region-%d", zone%s.Regions) }

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

func hostName(i int) string { return fmt.Sprintf("entry-%04d", i) }

func (s Size) serviceCount() int { return max(1, s.Upstreams/upstreamsPerService) }

// document returns a configuration for a deployment of this size.
func (s Size) document() *document.Document {
	doc := &document.Document{}
	for i := range s.serviceCount() {
		service := document.Service{
			Name: fmt.Sprintf("service-%02d", i), Kind: document.KindEngine,
			Versions: []document.Version{{Name: "v1", Goal: 1}},
			Upstream: document.Traits{
				MaxInFlight: maxInFlight, ColdInFlight: coldInFlight, ColdStart: jsonc.Duration(20 * time.Second),
			},
		}
		for _, route := range [...]document.Route{
			{Name: "question", Class: document.ClassInteractive, Deadline: jsonc.Duration(8 * time.Second)},
			{Name: "checklist", Class: document.ClassStandard, Deadline: jsonc.Duration(30 * time.Second)},
			{Name: "dossier", Class: document.ClassBatch, Deadline: jsonc.Duration(10 * time.Minute)},
		} {
			route.Idempotent = true
			route.FirstToken = jsonc.Duration(410 * time.Millisecond)
			route.BetweenTokens = jsonc.Duration(51 * time.Millisecond)
			route.Objective = 0.99
			route.MaxTokens = 400
			service.Routes = append(service.Routes, route)
		}
		doc.Services = append(doc.Services, service)
	}
	for i := range s.Zones {
		doc.AvailabilityZones = append(doc.AvailabilityZones, document.AvailabilityZone{
			Name: zoneName(i), Region: s.region(i), State: document.ZoneServing,
			Prices: map[document.HostClass]float64{document.Reclaimable: 1, document.OnDemand: 2.5},
		})
	}
	for i := range 5 + s.Hosts/hostsPerCustomer {
		doc.Customers = append(doc.Customers, document.Customer{Name: fmt.Sprintf("customer-%03d", i), Share: 1})
	}
	return doc
}

// text returns the configuration in the form in which operators publish it.
func (s Size) text() ([]byte, error) { return json.MarshalIndent(s.document(), "", "  ") }

// hostList returns the platform's host list for a deployment of this size.
func (s Size) hostList(asOf time.Time) hostlist.List {
	list := hostlist.List{AsOf: asOf}
	for i := range s.Hosts {
		list.Hosts = append(list.Hosts, hostlist.Host{
			ID: hostName(i), Role: hostlist.RoleEntry, Address: address(i),
			Zone: zoneName(i % s.Zones), Class: document.Reclaimable,
		})
	}
	for i := range s.Upstreams {
		list.Hosts = append(list.Hosts, hostlist.Host{
			ID: fmt.Sprintf("upstream-%04d", i), Role: hostlist.RoleUpstream, Address: address(s.Hosts + i),
			Zone: zoneName(i % s.Zones), Class: document.Reclaimable,
			Service: fmt.Sprintf("service-%02d", (i/s.Zones)%s.serviceCount()), Version: "v1",
		})
	}
	return list
}

func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&0xff, i&0xff) }
