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

// entry holds this host's state of one upstream to which it may send.
type entry struct {
	host  hostlist.Host
	kind  document.Kind
	price float64
	// zoneServing is set when new requests may go to the upstream's zone.
	zoneServing bool
	// retired is set when the upstream's host is to be stopped.
	retired    bool
	rampParams slowstart.Params
	// cellHosts is the number of hosts in the upstream's cell; coordinator is the
	// upstream's coordinator in this host's view.
	cellHosts   int
	coordinator string
	// guest is set when this host owns no share and requests credits only while
	// it has requests for the upstream; lastUsed is when it last had one in flight.
	guest    bool
	lastUsed time.Time

	holder   credit.Holder
	inFlight int
	outcomes slowstart.Outcomes
	breaker  breaker
	// suspect is set when this host's own attempts went badly and no new grant
	// has arrived since.
	suspect bool
	// cold, load and loadVersion are taken from grants.
	cold        bool
	load        float64
	loadVersion uint64

	// The fields from pool to reportCount are in use while this host is the
	// coordinator.
	pool        *credit.Pool
	ramp        *slowstart.Ramp
	cache       prefix.Set
	prefixes    map[uint64]struct{}
	lastPoll    time.Time
	polls       int
	running     int
	reportCount uint64

	published *control.Upstream
	key       publishKey
}

// group identifies a set of interchangeable upstreams.
type group struct {
	service, version string
}

// placement assigns an upstream to a cell of hosts.
type placement struct {
	host hostlist.Host
	cell int
}

// rebuild recomputes to which upstreams this host may send and which of them it
// coordinates.
func (m *Machine) rebuild(now time.Time) {
	if m.document == nil {
		return
	}
	m.changed = true
	hosts, groups := m.regionHosts()
	m.cells = subset.Cells(subset.Ring(hosts))
	own := m.ownCell()
	m.placements = map[string][]placement{}
	rank, total := 0, 0
	for _, list := range groups {
		total += len(list)
	}
	m.owned = total / len(m.cells)
	inCell := make([][]string, len(m.cells))
	var reachable []placement
	for _, g := range sortedGroups(groups) {
		for _, host := range ringOrder(groups[g]) {
			p := placement{host, subset.Cell(len(m.cells), rank, total)}
			rank++
			m.placements[g.service] = append(m.placements[g.service], p)
			inCell[p.cell] = append(inCell[p.cell], host.ID)
			if e := m.entries[host.ID]; p.cell == own || (e != nil && e.guest) {
				reachable = append(reachable, p)
			}
		}
	}
	m.coordinators = make([]map[string]string, len(m.cells))
	m.cellUpstreams = inCell
	entries := map[string]*entry{}
	for _, p := range reachable {
		entries[p.host.ID] = m.entryFor(now, p, p.cell != own)
	}
	m.entries = entries
	m.sortEntries()
	m.updateServiceHosts()
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

// ringOrder orders upstreams so that neighbours are in different zones where
// possible.
func ringOrder(list []hostlist.Host) []hostlist.Host {
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

// sortEntries rebuilds the list of entries, sorted by service and ID.
func (m *Machine) sortEntries() {
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

// updateServiceHosts recomputes the hosts that own shares of each service's
// upstreams; with a single cell all hosts do, and the map is empty.
func (m *Machine) updateServiceHosts() {
	m.serviceHosts = map[string][]string{}
	if len(m.cells) == 1 {
		return
	}
	for service, places := range m.placements {
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

// regionHosts returns the entry hosts and the upstreams of this host's region.
func (m *Machine) regionHosts() ([]subset.Member, map[group][]hostlist.Host) {
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

// entryFor returns the updated entry of an upstream to which this host may send,
// or a new one.
func (m *Machine) entryFor(now time.Time, p placement, guest bool) *entry {
	cell := m.cells[p.cell]
	e := m.entries[p.host.ID]
	if e == nil {
		e = &entry{zoneServing: true, cold: true, lastUsed: now, holder: credit.NewHolder(m.timing().lease)}
	}
	e.guest = guest
	m.updateEntry(now, e, p.host, m.document.Service(p.host.Service))
	e.cellHosts = len(cell)
	m.setCoordinator(now, e, m.coordinatorsOf(p.cell)[p.host.ID])
	return e
}

// coordinatorsOf returns the coordinators of a cell's upstreams.
func (m *Machine) coordinatorsOf(cell int) map[string]string {
	if m.coordinators[cell] == nil {
		m.coordinators[cell] = subset.Coordinators(m.cellUpstreams[cell], m.cells[cell], func(id string) bool { return m.live[id] })
	}
	return m.coordinators[cell]
}

const (
	// maxGuestUpstreams is the maximum number of upstreams of a service from which
	// a host requests credits as a guest.
	maxGuestUpstreams = 2
	// guestTimeout is how long a guest entry without requests is kept.
	guestTimeout = 30 * time.Second
)

// joinAsGuest makes this host a guest at up to maxGuestUpstreams usable upstreams
// of a service for which it has no entries.
func (m *Machine) joinAsGuest(now time.Time, service string) {
	places := append([]placement(nil), m.placements[service]...)
	sort.Slice(places, func(i, j int) bool { return m.guestWeight(places[i]) > m.guestWeight(places[j]) })
	joined := 0
	for _, p := range places {
		if joined == maxGuestUpstreams {
			break
		}
		if p.host.Leaving || !control.ServingZone(m.document, p.host.Zone) {
			continue
		}
		m.entries[p.host.ID] = m.entryFor(now, p, true)
		joined++
	}
	m.sortEntries()
	m.changed = true
}

// guestWeight returns the rendezvous weight of an upstream for this host; it
// spreads the guests over the upstreams.
func (m *Machine) guestWeight(p placement) uint64 {
	return xxhash.Sum64String(m.self.ID + "\x00" + p.host.ID)
}

// expireGuests removes guest entries that had no request in flight for
// guestTimeout.
func (m *Machine) expireGuests(now time.Time) {
	removed := false
	for id, e := range m.entries {
		if e.inFlight > 0 {
			e.lastUsed = now
		}
		if e.guest && now.Sub(e.lastUsed) >= guestTimeout {
			delete(m.entries, id)
			removed = true
		}
	}
	if removed {
		m.sortEntries()
	}
}

func contains(members []subset.Member, id string) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// updateEntry applies the host list and the document to an entry.
func (m *Machine) updateEntry(now time.Time, e *entry, host hostlist.Host, service *document.Service) {
	e.host = host
	e.kind = service.Kind
	e.rampParams = slowstart.Params{
		Cold: service.Upstream.ColdInFlight, Warm: service.Upstream.MaxInFlight,
		ColdStart: service.Upstream.ColdStart.D(),
	}
	e.price = m.document.Zone(host.Zone).Prices[host.Class]
	serving := control.ServingZone(m.document, host.Zone)
	if serving && !e.zoneServing && e.ramp != nil {
		e.ramp.Resume(now)
	}
	e.zoneServing = serving
}

// setCoordinator sets the coordinator of an upstream; this host is the default.
// It creates the pool and the ramp when this host takes over. When another host
// coordinates or this host is a guest, it clears them and the prefixes; the poll
// times and counters stay.
func (m *Machine) setCoordinator(now time.Time, e *entry, coordinator string) {
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
		e.ramp = slowstart.New(now, e.rampParams, e.holder.Level(now))
	}
}
