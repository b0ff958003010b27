// Package membership decides which entry hosts are live.
package membership

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of membership.
type Machine struct {
	self     control.Self
	hosts    map[string]control.EntryHost
	leaving  bool
	deadline time.Time
}

var (
	_ control.Machine    = (*Machine)(nil)
	_ kernel.Provisioner = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.membership", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.hosts = map[string]control.EntryHost{self.ID: m.own()}
}

func (m *Machine) own() control.EntryHost {
	return control.EntryHost{
		ID: m.self.ID, Incarnation: m.self.Incarnation, Address: m.self.Address,
		Zone: m.self.Zone, Region: m.self.Region, Leaving: m.leaving,
	}
}

// Step implements control.Machine.
func (m *Machine) Step(_ time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.HostsListed:
		return m.listed(in.List)
	case control.Leaving:
		m.leaving = true
		m.deadline = in.Deadline
		m.hosts[m.self.ID] = m.own()
	}
	return nil
}

func (m *Machine) listed(list hostlist.List) []control.Output {
	hosts := map[string]control.EntryHost{m.self.ID: m.own()}
	for _, host := range list.Hosts {
		if host.Role != hostlist.RoleEntry || host.ID == m.self.ID {
			continue
		}
		hosts[host.ID] = control.EntryHost{
			ID: host.ID, Address: host.Address, Zone: host.Zone, Leaving: host.Leaving,
		}
	}
	m.hosts = hosts
	changed := control.MembersChanged{}
	for _, host := range hosts {
		changed.Hosts = append(changed.Hosts, host)
	}
	return []control.Output{control.Raise{Input: changed}}
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	for id, host := range m.hosts {
		next.Hosts[id] = host
	}
	next.Leaving = m.leaving
	next.Deadline = m.deadline
}
