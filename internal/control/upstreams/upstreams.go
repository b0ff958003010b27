// Package upstreams keeps the listed upstreams and the limits under which this
// host may use each.
package upstreams

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of the upstreams.
type Machine struct {
	document *document.Document
	listed   []hostlist.Host
	members  int
}

var _ control.Machine = (*Machine)(nil)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.upstreams", New: func() kernel.Module { return new(Machine) }}
}

// Step implements control.Machine.
func (m *Machine) Step(_ time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		m.document = in.Document
	case control.HostsListed:
		m.listed = in.List.Hosts
	case control.MembersChanged:
		m.members = len(in.Hosts)
	}
	return nil
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	if m.document == nil {
		return
	}
	for _, host := range m.listed {
		service := m.document.Service(host.Service)
		if host.Role != hostlist.RoleUpstream || service == nil {
			continue
		}
		next.Upstreams[host.Service] = append(next.Upstreams[host.Service], &control.Upstream{
			ID: host.ID, Address: host.Address, Zone: host.Zone, Class: host.Class,
			Service: host.Service, Version: host.Version,
			Open:  !host.Leaving && control.ServingZone(m.document, host.Zone),
			Limit: max(1, service.Upstream.MaxInFlight/max(1, m.members)),
		})
	}
}
