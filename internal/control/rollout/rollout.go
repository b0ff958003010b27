// Package rollout decides the share of new requests of each version.
package rollout

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
)

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of rollouts.
type Machine struct {
	document *document.Document
}

var _ control.Machine = (*Machine)(nil)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.rollout", New: func() kernel.Module { return new(Machine) }}
}

// Step implements control.Machine.
func (m *Machine) Step(_ time.Time, in control.Input) []control.Output {
	if configured, ok := in.(control.Configured); ok {
		m.document = configured.Document
	}
	return nil
}

// Publish implements control.Machine.
func (m *Machine) Publish(_ time.Time, next *control.Snapshot) {
	if m.document == nil {
		return
	}
	for _, service := range m.document.Services {
		for _, route := range service.Routes {
			key := control.RouteKey{Service: service.Name, Route: route.Name}
			for _, version := range service.Versions {
				next.Shares[key] = append(next.Shares[key], control.VersionShare{Version: version.Name, Share: version.Goal})
			}
		}
	}
}
