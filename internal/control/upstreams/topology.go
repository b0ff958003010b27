package upstreams

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

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
	traits  slowstart.Params
	// members is the number of hosts that may send here; coordinator is the one
	// that this host takes for the upstream's coordinator.
	members     int
	coordinator string
	// guest tells that this host owns no share and asks only while it has
	// requests for the upstream; used is when it last had one.
	guest bool
	used  time.Time

	holder   credit.Holder
	inFlight int
	evidence slowstart.Outcomes
	breaker  breaker
	// suspect tells that this host's own attempts went badly and that the
	// coordinator has not answered since.
	suspect bool
	// cold, load and report come with grants.
	cold   bool
	load   float64
	report uint64

	// The rest is in use while this host is the coordinator.
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

// place is where an upstream stands among the cells.
type place struct {
	host hostlist.Host
	cell int
}

// rebuild works out anew which upstreams this host may send to and which of
// them it keeps.
func (m *Machine) rebuild(now time.Time) {
	if m.document == nil {
		return
	}
	m.changed = true
	hosts, groups := m.region()
	m.cells = subset.Cells(subset.Ring(hosts))
	own := m.ownCell()
	m.places = map[string][]place{}
	rank, total := 0, 0
	for _, list := range groups {
		total += len(list)
	}
	m.owned = total / len(m.cells)
	inCell := make([][]string, len(m.cells))
	var near []place
	for _, g := range sortedGroups(groups) {
		for _, host := range ringOf(groups[g]) {
			p := place{host, subset.Cell(len(m.cells), rank, total)}
			rank++
			m.places[g.service] = append(m.places[g.service], p)
			inCell[p.cell] = append(inCell[p.cell], host.ID)
			if e := m.entries[host.ID]; p.cell == own || (e != nil && e.guest) {
				near = append(near, p)
			}
		}
	}
	m.coordinators = make([]map[string]string, len(m.cells))
	m.inCell = inCell
	kept := map[string]*entry{}
	for _, p := range near {
		kept[p.host.ID] = m.join(now, p, p.cell != own)
	}
	m.entries = kept
	m.order()
	m.nameHosts()
}

func (m *Machine) ownCell() int {
	for i, cell := range m.cells {
		if contains(cell, m.self.ID) {
			return i
		}
	}
	return 0
}

func sortedGroups(groups map[group][]hostlist.Host) []group {
	sorted := make([]group, 0, len(groups))
	for g := range groups {
		sorted = append(sorted, g)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].service != sorted[j].service {
			return sorted[i].service < sorted[j].service
		}
		return sorted[i].version < sorted[j].version
	})
	return sorted
}

// ringOf orders upstreams so that neighbours are in different zones.
func ringOf(list []hostlist.Host) []hostlist.Host {
	byID := make(map[string]hostlist.Host, len(list))
	members := make([]subset.Member, 0, len(list))
	for _, host := range list {
		byID[host.ID] = host
		members = append(members, subset.Member{ID: host.ID, Zone: host.Zone})
	}
	ordered := make([]hostlist.Host, 0, len(list))
	for _, member := range subset.Ring(members) {
		ordered = append(ordered, byID[member.ID])
	}
	return ordered
}

// order sorts the entries by service.
func (m *Machine) order() {
	m.ordered = m.ordered[:0]
	for _, e := range m.entries {
		m.ordered = append(m.ordered, e)
	}
	sort.Slice(m.ordered, func(i, j int) bool {
		a, b := m.ordered[i].host, m.ordered[j].host
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.ID < b.ID
	})
}

// nameHosts lists the hosts that own shares of each service's upstreams.
func (m *Machine) nameHosts() {
	m.serviceHosts = map[string][]string{}
	if len(m.cells) == 1 {
		return
	}
	for service, places := range m.places {
		seen := map[int]bool{}
		for _, p := range places {
			if seen[p.cell] {
				continue
			}
			seen[p.cell] = true
			for _, member := range m.cells[p.cell] {
				m.serviceHosts[service] = append(m.serviceHosts[service], member.ID)
			}
		}
	}
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

// join returns the entry of an upstream to which this host may send.
func (m *Machine) join(now time.Time, p place, guest bool) *entry {
	cell := m.cells[p.cell]
	e := m.entries[p.host.ID]
	if e == nil {
		e = &entry{zoneIn: true, cold: true, used: now, holder: credit.NewHolder(m.pace().lease)}
	}
	e.guest = guest
	m.describe(now, e, p.host, m.document.Service(p.host.Service))
	e.members = len(cell)
	m.keep(now, e, m.coordinatorsOf(p.cell)[p.host.ID])
	return e
}

// coordinatorsOf returns the coordinators of a cell's upstreams.
func (m *Machine) coordinatorsOf(cell int) map[string]string {
	if m.coordinators[cell] == nil {
		m.coordinators[cell] = subset.Coordinators(m.inCell[cell], m.cells[cell], func(id string) bool { return m.live[id] })
	}
	return m.coordinators[cell]
}

const (
	// guestUpstreams is the number of upstreams of a service that a host asks
	// for credits as a guest.
	guestUpstreams = 2
	// guestTime is how long a guest stays without requests.
	guestTime = 30 * time.Second
)

// visit makes this host a guest at upstreams of a service that it has none of.
func (m *Machine) visit(now time.Time, service string) {
	places := append([]place(nil), m.places[service]...)
	sort.Slice(places, func(i, j int) bool { return m.guestWeight(places[i]) > m.guestWeight(places[j]) })
	joined := 0
	for _, p := range places {
		if joined == guestUpstreams {
			break
		}
		if p.host.Leaving || !control.ServingZone(m.document, p.host.Zone) {
			continue
		}
		m.entries[p.host.ID] = m.join(now, p, true)
		joined++
	}
	m.order()
	m.changed = true
}

func (m *Machine) guestWeight(p place) uint64 {
	return xxhash.Sum64String(m.self.ID + "\x00" + p.host.ID)
}

// leave ends the stays of guests without requests.
func (m *Machine) leave(now time.Time) {
	left := false
	for id, e := range m.entries {
		if e.inFlight > 0 {
			e.used = now
		}
		if e.guest && now.Sub(e.used) >= guestTime {
			delete(m.entries, id)
			left = true
		}
	}
	if left {
		m.order()
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
	e.traits = slowstart.Params{
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

// keep takes an upstream over or leaves it to another coordinator.
func (m *Machine) keep(now time.Time, e *entry, coordinator string) {
	if coordinator == "" {
		coordinator = m.self.ID
	}
	e.coordinator = coordinator
	if coordinator != m.self.ID || e.guest {
		e.pool, e.ramp, e.prefixes = nil, nil, nil
		e.cache.Clear()
		return
	}
	if e.pool == nil {
		e.pool = credit.NewPool(e.host.ID, now, m.longestLease(), e.kind == document.KindEngine)
		e.ramp = slowstart.New(now, e.traits, e.holder.Level(now))
	}
}
