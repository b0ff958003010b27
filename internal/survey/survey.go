// Package survey collects the state of many hosts on demand. A host asks the
// hosts of its own availability zone itself, and one host of each other zone
// and region to do the same there, so that a question over a whole deployment
// costs each host few calls.
package survey

import (
	"context"
	"sort"
	"sync"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/burn"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
)

const (
	// hostTimeout, zoneTimeout and regionTimeout bound the calls for each scope.
	hostTimeout   = 1 * time.Second
	zoneTimeout   = 2 * time.Second
	regionTimeout = 5 * time.Second
	// relayTries is the number of hosts of a zone or region that are tried as relay.
	relayTries = 2
	// maxCalls bounds the calls of one question that run at once.
	maxCalls = 32
)

func init() { kernel.Register(&Surveyor{}) }

// Surveyor answers and asks for the state of hosts.
type Surveyor struct {
	loop     *control.Loop
	dialer   dial.Dialer
	recorder *burn.Recorder
}

var _ kernel.Provisioner = (*Surveyor)(nil)

// ModuleInfo implements kernel.Module.
func (*Surveyor) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "data.survey", New: func() kernel.Module { return new(Surveyor) }}
}

// Provision implements kernel.Provisioner.
func (s *Surveyor) Provision(ctx *kernel.Context) (err error) {
	if s.loop, err = kernel.Lookup[*control.Loop](ctx); err != nil {
		return err
	}
	if s.recorder, err = kernel.Lookup[*burn.Recorder](ctx); err != nil {
		return err
	}
	if s.dialer, err = kernel.Lookup[dial.Dialer](ctx); err != nil {
		return err
	}
	kernel.Provide(ctx, s)
	return nil
}

// Query says what is wanted of the hosts.
type Query struct {
	Scope peerv1.InspectRequest_Scope
	Burn  bool
}

// part collects the state of some hosts.
type part func(ctx context.Context) *peerv1.InspectResponse

// CollectAll collects the state of all hosts that this host knows. Hosts that
// do not answer are listed as not reached.
func (s *Surveyor) CollectAll(ctx context.Context, withBurn bool) *peerv1.InspectResponse {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout+zoneTimeout)
	defer cancel()
	snapshot := s.loop.Snapshot()
	q := Query{peerv1.InspectRequest_SCOPE_REGION, withBurn}
	parts := []part{func(ctx context.Context) *peerv1.InspectResponse { return s.Inspect(ctx, q) }}
	for region, hosts := range groupBy(snapshot, func(h control.EntryHost) string { return regionOf(snapshot, h) }) {
		if region != snapshot.Self.Region {
			parts = append(parts, s.relayed(hosts, q, regionTimeout))
		}
	}
	return gather(ctx, parts)
}

// Inspect answers a question for this host's part of the deployment.
func (s *Surveyor) Inspect(ctx context.Context, q Query) *peerv1.InspectResponse {
	snapshot := s.loop.Snapshot()
	switch q.Scope {
	case peerv1.InspectRequest_SCOPE_REGION:
		return gather(ctx, s.regionParts(snapshot, q.Burn))
	case peerv1.InspectRequest_SCOPE_ZONE:
		return gather(ctx, s.zoneParts(snapshot, q.Burn))
	default:
		return s.own(snapshot, q.Burn)
	}
}

func (s *Surveyor) regionParts(snapshot *control.Snapshot, withBurn bool) []part {
	q := Query{peerv1.InspectRequest_SCOPE_ZONE, withBurn}
	parts := []part{func(ctx context.Context) *peerv1.InspectResponse { return s.Inspect(ctx, q) }}
	for zone, hosts := range groupBy(snapshot, func(h control.EntryHost) string { return h.Zone }) {
		if zone != snapshot.Self.Zone && regionOf(snapshot, hosts[0]) == snapshot.Self.Region {
			parts = append(parts, s.relayed(hosts, q, zoneTimeout))
		}
	}
	return parts
}

func (s *Surveyor) zoneParts(snapshot *control.Snapshot, withBurn bool) []part {
	q := Query{peerv1.InspectRequest_SCOPE_HOST, withBurn}
	parts := []part{func(context.Context) *peerv1.InspectResponse { return s.own(snapshot, withBurn) }}
	for _, host := range snapshot.Hosts {
		if host.Zone == snapshot.Self.Zone && host.ID != snapshot.Self.ID {
			parts = append(parts, s.relayed([]control.EntryHost{host}, q, hostTimeout))
		}
	}
	return parts
}

func (s *Surveyor) own(snapshot *control.Snapshot, withBurn bool) *peerv1.InspectResponse {
	resp := &peerv1.InspectResponse{}
	if withBurn {
		resp = s.recorder.Report(time.Now())
	}
	resp.Hosts = []*peerv1.HostReport{{
		Id: snapshot.Self.ID, Zone: snapshot.Self.Zone, Region: snapshot.Self.Region, Reached: true,
		ConfigOffset: snapshot.Offset, LogUp: snapshot.LogUp, Leaving: snapshot.Leaving,
	}}
	return resp
}

// relayed returns a part that asks one of some hosts; hosts missing from the
// answer are added as not reached.
func (s *Surveyor) relayed(hosts []control.EntryHost, q Query, timeout time.Duration) part {
	return func(ctx context.Context) *peerv1.InspectResponse {
		resp := &peerv1.InspectResponse{}
		for _, host := range hosts[:min(relayTries, len(hosts))] {
			answer, err := s.ask(ctx, host, q, timeout)
			if err == nil {
				resp = answer
				break
			}
		}
		addMissing(resp, hosts)
		return resp
	}
}

func (s *Surveyor) ask(ctx context.Context, host control.EntryHost, q Query, timeout time.Duration) (*peerv1.InspectResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.dialer.Peer(host.Address).Inspect(ctx, &peerv1.InspectRequest{Scope: q.Scope, Burn: q.Burn})
}

func addMissing(resp *peerv1.InspectResponse, hosts []control.EntryHost) {
	listed := map[string]bool{}
	for _, status := range resp.GetHosts() {
		listed[status.GetId()] = true
	}
	for _, host := range hosts {
		if !listed[host.ID] {
			resp.Hosts = append(resp.Hosts, &peerv1.HostReport{Id: host.ID, Zone: host.Zone, Region: host.Region})
		}
	}
}

// gather runs the parts side by side and merges their answers.
func gather(ctx context.Context, parts []part) *peerv1.InspectResponse {
	answers := make([]*peerv1.InspectResponse, len(parts))
	slots := make(chan struct{}, maxCalls)
	var work sync.WaitGroup
	for i, collect := range parts {
		work.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = collect(ctx)
		})
	}
	work.Wait()
	merged := burn.Merge(answers)
	for _, answer := range answers {
		merged.Hosts = append(merged.Hosts, answer.GetHosts()...)
	}
	sort.Slice(merged.Hosts, func(i, j int) bool { return merged.Hosts[i].GetId() < merged.Hosts[j].GetId() })
	return merged
}

// groupBy groups the live hosts, each group in the order of the IDs.
func groupBy(snapshot *control.Snapshot, key func(control.EntryHost) string) map[string][]control.EntryHost {
	groups := map[string][]control.EntryHost{}
	for _, host := range snapshot.Hosts {
		groups[key(host)] = append(groups[key(host)], host)
	}
	for _, hosts := range groups {
		sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	}
	return groups
}

// regionOf returns the region of a host. The host list does not tell it, the
// configuration does.
func regionOf(snapshot *control.Snapshot, host control.EntryHost) string {
	if host.Region != "" || snapshot.Document == nil {
		return host.Region
	}
	if zone := snapshot.Document.Zone(host.Zone); zone != nil {
		return zone.Region
	}
	return ""
}
