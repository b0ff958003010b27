package upstreams

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/credit"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/slowstart"
	"github.com/marigoldmux/marigoldmux/internal/subset"
)

// entry is one upstream to which this host may send.
type entry struct {
	host  hostlist.Host
	kind  document.Kind
	price float64
	// zoneIn tells that the upstream's zone takes new work.
	zoneIn bool
	// retired tells that the upstream's host is to be stopped.
	retired bool
	traits  slowstart.Traits
	// members is the number of hosts that may send here; keeper is the one
	// that this host takes for the upstream's keeper.
	members int
	keeper  string

	holder   credit.Holder
	inFlight int
	evidence slowstart.Evidence
	breaker  breaker
	// cold, load and report come with grants.
	cold   bool
	load   float64
	report uint64

	// The rest is in use while this host is the keeper.
	pool     *credit.Pool
	ramp     *slowstart.Ramp
	cache    prefix.Set
	prefixes map[uint64]struct{}
	polled   time.Time
	polls    int
	running  int
	reports  uint64

	published *control.Upstream
	key       publishKey
}

// group names upstreams that may stand in for each other.
type group struct {
	service, version string
}

// rebuild works out anew which upstreams this host may send to and which of
// them it keeps.
func (m *Machine) rebuild(now time.Time) {
	if m.document == nil {
		return
	}
	m.changed = true
	hosts, groups := m.region()
	ring := subset.Ring(hosts)
	kept := map[string]*entry{}
	for g, list := range groups {
		m.joinGroup(now, ring, g, list, kept)
	}
	m.entries = kept
	m.ordered = m.ordered[:0]
	for _, e := range kept {
		m.ordered = append(m.ordered, e)
	}
	sort.Slice(m.ordered, func(i, j int) bool {
		a, b := m.ordered[i].host, m.ordered[j].host
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.ID < b.ID
	})
	m.markRetired()
}

// region returns the entry hosts and the upstreams of this host's region.
func (m *Machine) region() ([]subset.Member, map[group][]hostlist.Host) {
	hosts := []subset.Member{{ID: m.self.ID, Zone: m.self.Zone}}
	groups := map[group][]hostlist.Host{}
	for _, host := range m.listed {
		zone := m.document.Zone(host.Zone)
		if zone == nil || zone.Region != m.self.Region {
			continue
		}
		switch {
		case host.Role == hostlist.RoleEntry && host.ID != m.self.ID:
			hosts = append(hosts, subset.Member{ID: host.ID, Zone: host.Zone})
		case host.Role == hostlist.RoleUpstream && m.document.Service(host.Service) != nil:
			g := group{host.Service, host.Version}
			groups[g] = append(groups[g], host)
		}
	}
	return hosts, groups
}

// joinGroup adds the upstreams of one group to which this host may send.
func (m *Machine) joinGroup(now time.Time, ring []subset.Member, g group, list []hostlist.Host, kept map[string]*entry) {
	byID := make(map[string]hostlist.Host, len(list))
	members := make([]subset.Member, 0, len(list))
	for _, host := range list {
		byID[host.ID] = host
		members = append(members, subset.Member{ID: host.ID, Zone: host.Zone})
	}
	service := m.document.Service(g.service)
	for rank, member := range subset.Ring(members) {
		window := subset.Window(ring, rank, len(members))
		if !contains(window, m.self.ID) {
			continue
		}
		e := m.entries[member.ID]
		if e == nil {
			e = &entry{zoneIn: true, cold: true}
		}
		kept[member.ID] = e
		m.describe(now, e, byID[member.ID], service)
		e.members = len(window)
		m.keep(now, e, subset.Keeper(member.ID, window, func(id string) bool { return m.live[id] }))
	}
}

func contains(window []subset.Member, id string) bool {
	for _, member := range window {
		if member.ID == id {
			return true
		}
	}
	return false
}

// describe takes over what the list and the document say of an upstream.
func (m *Machine) describe(now time.Time, e *entry, host hostlist.Host, service *document.Service) {
	e.host = host
	e.kind = service.Kind
	e.traits = slowstart.Traits{
		Cold: service.Upstream.ColdInFlight, Warm: service.Upstream.MaxInFlight,
		ColdStart: service.Upstream.ColdStart.D(),
	}
	e.price = m.document.Zone(host.Zone).Prices[host.Class]
	zoneIn := control.ServingZone(m.document, host.Zone)
	if zoneIn && !e.zoneIn && e.ramp != nil {
		e.ramp.Return(now)
	}
	e.zoneIn = zoneIn
}

// keep takes an upstream over or leaves it to another keeper.
func (m *Machine) keep(now time.Time, e *entry, keeper string) {
	if keeper == "" {
		keeper = m.self.ID
	}
	e.keeper = keeper
	if keeper != m.self.ID {
		e.pool, e.ramp, e.prefixes = nil, nil, nil
		e.cache.Clear()
		return
	}
	if e.pool == nil {
		e.pool = credit.NewPool(e.host.ID, now, e.kind == document.KindEngine)
		e.ramp = slowstart.New(now, e.traits, e.holder.Level(now))
	}
}
