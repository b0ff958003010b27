// Package survey collects the state of many hosts on demand. A host queries the
// hosts of its own availability zone directly and uses one host of each other zone
// and region as relay, which does the same there, so that a query over a whole
// deployment costs each host few calls.
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
	// maxRelays is the maximum number of hosts of a zone or region that are tried as
	// relay.
	maxRelays = 2
	// maxConcurrentCalls bounds the concurrent calls of one query on a host.
	maxConcurrentCalls = 32
)

func init() { kernel.Register(&Surveyor{}) }

// Surveyor queries the state of hosts and responds to the queries of peers.
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

// Query selects the hosts to inspect and the data to collect.
type Query struct {
	Scope peerv1.InspectRequest_Scope
	// Burn is set to include service-level accounts.
	Burn bool
}

// collector collects the state of some hosts.
type collector func(ctx context.Context) *peerv1.InspectResponse

// CollectAll collects the state of all hosts that this host knows, and their
// service-level accounts if withBurn is set. Hosts that do not respond are listed
// as not reached.
func (s *Surveyor) CollectAll(ctx context.Context, withBurn bool) *peerv1.InspectResponse {
	ctx, cancel := context.WithTimeout(ctx, regionTimeout+zoneTimeout)
	defer cancel()
	snapshot := s.loop.Snapshot()
	q := Query{peerv1.InspectRequest_SCOPE_REGION, withBurn}
	collectors := []collector{func(ctx context.Context) *peerv1.InspectResponse { return s.Inspect(ctx, q) }}
	for region, hosts := range groupBy(snapshot, func(h control.EntryHost) string { return regionOf(snapshot, h) }) {
		if region != snapshot.Self.Region {
			collectors = append(collectors, s.relayCollector(hosts, q, regionTimeout))
		}
	}
	return gather(ctx, collectors)
}

// Inspect collects the state of this host, or of all hosts in its zone or region,
// depending on the scope of the query.
func (s *Surveyor) Inspect(ctx context.Context, q Query) *peerv1.InspectResponse {
	snapshot := s.loop.Snapshot()
	switch q.Scope {
	case peerv1.InspectRequest_SCOPE_REGION:
		return gather(ctx, s.regionCollectors(snapshot, q.Burn))
	case peerv1.InspectRequest_SCOPE_ZONE:
		return gather(ctx, s.zoneCollectors(snapshot, q.Burn))
	default:
		return s.ownReport(snapshot, q.Burn)
	}
}

func (s *Surveyor) regionCollectors(snapshot *control.Snapshot, withBurn bool) []collector {
	q := Query{peerv1.InspectRequest_SCOPE_ZONE, withBurn}
	collectors := []collector{func(ctx context.Context) *peerv1.InspectResponse { return s.Inspect(ctx, q) }}
	for zone, hosts := range groupBy(snapshot, func(h control.EntryHost) string { return h.Zone }) {
		if zone != snapshot.Self.Zone && regionOf(snapshot, hosts[0]) == snapshot.Self.Region {
			collectors = append(collectors, s.relayCollector(hosts, q, zoneTimeout))
		}
	}
	return collectors
}

func (s *Surveyor) zoneCollectors(snapshot *control.Snapshot, withBurn bool) []collector {
	q := Query{peerv1.InspectRequest_SCOPE_HOST, withBurn}
	collectors := []collector{func(context.Context) *peerv1.InspectResponse { return s.ownReport(snapshot, withBurn) }}
	for _, host := range snapshot.Hosts {
		if host.Zone == snapshot.Self.Zone && host.ID != snapshot.Self.ID {
			collectors = append(collectors, s.relayCollector([]control.EntryHost{host}, q, hostTimeout))
		}
	}
	return collectors
}

func (s *Surveyor) ownReport(snapshot *control.Snapshot, withBurn bool) *peerv1.InspectResponse {
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

// relayCollector returns a collector that queries the first of the given hosts that
// responds, out of at most maxRelays. Given hosts missing from its response are
// added as not reached.
func (s *Surveyor) relayCollector(hosts []control.EntryHost, q Query, timeout time.Duration) collector {
	return func(ctx context.Context) *peerv1.InspectResponse {
		resp := &peerv1.InspectResponse{}
		for _, host := range hosts[:min(maxRelays, len(hosts))] {
			response, err := s.inspectPeer(ctx, host, q, timeout)
			if err == nil {
				resp = response
				break
			}
		}
		addMissing(resp, hosts)
		return resp
	}
}

func (s *Surveyor) inspectPeer(ctx context.Context, host control.EntryHost, q Query, timeout time.Duration) (*peerv1.InspectResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.dialer.Peer(host.Address).Inspect(ctx, &peerv1.InspectRequest{Scope: q.Scope, Burn: q.Burn})
}

func addMissing(resp *peerv1.InspectResponse, hosts []control.EntryHost) {
	listed := map[string]bool{}
	for _, report := range resp.GetHosts() {
		listed[report.GetId()] = true
	}
	for _, host := range hosts {
		if !listed[host.ID] {
			resp.Hosts = append(resp.Hosts, &peerv1.HostReport{Id: host.ID, Zone: host.Zone, Region: host.Region})
		}
	}
}

// gather runs the collectors concurrently and merges their responses.
func gather(ctx context.Context, collectors []collector) *peerv1.InspectResponse {
	responses := make([]*peerv1.InspectResponse, len(collectors))
	slots := make(chan struct{}, maxConcurrentCalls)
	var work sync.WaitGroup
	for i, collect := range collectors {
		work.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			responses[i] = collect(ctx)
		})
	}
	work.Wait()
	merged := burn.Merge(responses)
	for _, response := range responses {
		merged.Hosts = append(merged.Hosts, response.GetHosts()...)
	}
	sort.Slice(merged.Hosts, func(i, j int) bool { return merged.Hosts[i].GetId() < merged.Hosts[j].GetId() })
	return merged
}

// groupBy groups the live hosts by key, each group sorted by ID.
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

// regionOf returns the region of a host. If the host entry has none, as entries of
// the host list, it takes the region of the host's zone in the configuration.
func regionOf(snapshot *control.Snapshot, host control.EntryHost) string {
	if host.Region != "" || snapshot.Document == nil {
		return host.Region
	}
	if zone := snapshot.Document.Zone(host.Zone); zone != nil {
		return zone.Region
	}
	return ""
}
