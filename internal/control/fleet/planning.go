package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/plan"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

const (
	// planInterval is the least time between two plans; surplusDelay is how long
	// a surplus must last before hosts are retired.
	planInterval = 2 * time.Second
	surplusDelay = 5 * time.Minute
	// excludedZoneRetention is how long hosts are kept in an excluded zone.
	excludedZoneRetention = 30 * time.Minute
	// targetUtilization is the share of slots in use up to which an upstream
	// meets its latency target.
	targetUtilization = 0.7
	// maxHostsPerEntry bounds the wanted and the retired hosts of an entry each.
	maxHostsPerEntry = 50
	// recomputeHours is the cost of recomputing tokens after a reclaim, in host
	// hours; switchHorizonHours is the time over which the cost of replacing a
	// running host by another is spread.
	recomputeHours     = 0.02
	switchHorizonHours = 2
)

// plan appends the changes that bring the wanted hosts to the current plan.
func (m *Machine) plan(now time.Time, c *controller, state Service) []control.Output {
	if !m.logUp || now.Sub(c.heldSince) < settleTime || now.Sub(c.plannedAt) < planInterval || now.Sub(c.changedAt) < changeRetryInterval {
		return nil
	}
	c.plannedAt = now
	e := Entry{Fence: c.fence}
	e.Want = append(e.Want, c.adopt(state, m.listed)...)
	e.Want = append(e.Want, m.loadedHosts(c, state)...)
	e.Retire = m.lost(now, c, state)
	lost := map[string]bool{}
	for _, id := range e.Retire {
		lost[id] = true
	}
	want, surplus := m.difference(now, c, state, lost)
	e.Want = append(e.Want, want...)
	surplus = append(c.persistentSurplus(now, surplus), m.hostsInExcludedZones(now, c, state)...)
	e.Retire = append(e.Retire, surplus...)
	if len(e.Want) == 0 && len(e.Retire) == 0 {
		return nil
	}
	e.Want = e.Want[:min(len(e.Want), maxHostsPerEntry)]
	e.Retire = e.Retire[:min(len(e.Retire), maxHostsPerEntry)]
	c.changedAt = now
	return m.append(now, c, e)
}

// hostsInExcludedZones returns the hosts in zones excluded for at least
// excludedZoneRetention. They are kept until then, since most zones return to
// service.
func (m *Machine) hostsInExcludedZones(now time.Time, c *controller, state Service) []string {
	for _, zone := range m.document.AvailabilityZones {
		if zone.State == document.ZoneServing {
			delete(c.excludedSince, zone.Name)
		} else if _, known := c.excludedSince[zone.Name]; !known {
			c.excludedSince[zone.Name] = now
		}
	}
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		since, excluded := c.excludedSince[state.Wanted[id].Zone]
		if excluded && now.Sub(since) >= excludedZoneRetention && !m.isLeaving(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// persistentSurplus returns the surplus hosts once there has been a surplus for
// surplusDelay.
func (c *controller) persistentSurplus(now time.Time, surplus []string) []string {
	switch {
	case len(surplus) == 0:
		c.surplusSince = time.Time{}
	case c.surplusSince.IsZero():
		c.surplusSince = now
	case now.Sub(c.surplusSince) >= surplusDelay:
		c.surplusSince = now
		return surplus
	}
	return nil
}

// adopt returns the hosts that are missing in the log: those planned while the log
// was down and those started by previous controllers.
func (c *controller) adopt(state Service, listed map[string]hostlist.Host) []Host {
	var hosts []Host
	for _, id := range slices.Sorted(maps.Keys(c.unlogged)) {
		hosts = append(hosts, c.unlogged[id])
	}
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		host := listed[id]
		_, wanted := state.Wanted[id]
		_, retired := state.Retired[id]
		_, unlogged := c.unlogged[id]
		if host.Service == c.name && isFleetID(c.name, id) && !wanted && !retired && !unlogged {
			hosts = append(hosts, Host{ID: id, Version: host.Version, Zone: host.Zone, Class: host.Class})
		}
	}
	c.unlogged = map[string]Host{}
	return hosts
}

// loadedHosts returns the hosts that have loaded their weights since the log last
// recorded them.
func (m *Machine) loadedHosts(c *controller, state Service) []Host {
	var hosts []Host
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		host := state.Wanted[id]
		if !host.Loaded && c.progress(id).loaded {
			host.Loaded = true
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// lost returns the wanted hosts that are no longer listed, are leaving or could not
// be started.
func (m *Machine) lost(now time.Time, c *controller, state Service) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		p := c.progress(id)
		late := !p.listed && !p.firstStartedAt.IsZero() && now.Sub(p.firstStartedAt) > startTimeout
		if p.gone || p.refused || late || m.isLeaving(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isLeaving reports whether a host has a reclaim notice or is listed as leaving.
func (m *Machine) isLeaving(id string) bool {
	_, noticed := m.notices[id]
	return noticed || m.listed[id].Leaving
}

// difference plans each version and returns the hosts to add and the surplus hosts.
func (m *Machine) difference(now time.Time, c *controller, state Service, lost map[string]bool) (want []Host, surplus []string) {
	needed := int(math.Ceil(float64(c.demand.peak()) / (targetUtilization * float64(c.service.Upstream.MaxInFlight))))
	for _, demand := range m.splitDemand(c, needed) {
		request, running := m.request(now, c, state, lost, demand)
		fleet := m.solve(c, demand.version, request)
		spare := m.countReady(now, c, state, running) + fixedHosts(request) - fleet.Total()
		var extra []string
		for _, offer := range request.Offers {
			count := fleet.Hosts[offer.Slot] - offer.Fixed
			ids := running[offer.Slot]
			for range max(0, count-len(ids)) {
				want = append(want, c.newHost(demand.version, offer.Slot))
			}
			if count < len(ids) {
				extra = append(extra, ids[max(0, count):]...)
			}
		}
		surplus = append(surplus, m.removable(now, c, state, extra, spare)...)
	}
	return want, surplus
}

func fixedHosts(request plan.Request) int {
	sum := 0
	for _, offer := range request.Offers {
		sum += offer.Fixed
	}
	return sum
}

// countReady counts the hosts that are warm.
func (m *Machine) countReady(now time.Time, c *controller, state Service, running map[plan.Slot][]string) int {
	count := 0
	for _, ids := range running {
		for _, id := range ids {
			if c.isReady(now, state.Wanted[id]) {
				count++
			}
		}
	}
	return count
}

// isReady reports whether a host is past its cold start, counted from the first
// call that found it listed and, if it is an engine, with its weights loaded.
func (c *controller) isReady(now time.Time, host Host) bool {
	p := c.progress(host.ID)
	loaded := p.listed && !p.gone && (host.Loaded || c.service.Kind != document.KindEngine)
	if !loaded {
		return false
	}
	if p.loadedSince.IsZero() {
		p.loadedSince = now
	}
	return now.Sub(p.loadedSince) >= c.service.Upstream.ColdStart.D()
}

// removable returns the extra hosts that may be retired before their replacements
// are warm: all cold ones and at most spare warm ones.
func (m *Machine) removable(now time.Time, c *controller, state Service, extra []string, spare int) []string {
	var ids []string
	for _, id := range extra {
		if c.isReady(now, state.Wanted[id]) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		ids = append(ids, id)
	}
	return ids
}

// cachedPlan is the last plan of a version and the request it was made for.
type cachedPlan struct {
	request plan.Request
	fleet   plan.Fleet
}

// solve plans a version, or returns the last plan if the request is unchanged.
func (m *Machine) solve(c *controller, version string, request plan.Request) plan.Fleet {
	if last, known := c.plans[version]; known && last.request.Equal(&request) {
		return last.fleet
	}
	fleet := m.Plan(request)
	c.plans[version] = cachedPlan{request: request, fleet: fleet}
	return fleet
}

// newHost returns a host with a new ID, which is unique by the fencing token and a
// sequence number.
func (c *controller) newHost(version string, slot plan.Slot) Host {
	c.sequence++
	id := fmt.Sprintf("%s-f%d-%d", c.name, c.fence, c.sequence)
	return Host{ID: id, Version: version, Zone: slot.Zone, Class: slot.Class}
}

// request returns the planning request of a version, and by slot the IDs of the
// hosts that may be retired.
func (m *Machine) request(now time.Time, c *controller, state Service, lost map[string]bool, demand versionDemand) (plan.Request, map[plan.Slot][]string) {
	fixed, running := m.hostsBySlot(c, state, lost, demand.version)
	request := plan.Request{
		Needed: demand.needed, Min: demand.min, Max: demand.max, ReclaimableShare: m.ReclaimableShare,
		ReclaimHours: recomputeHours + c.service.Upstream.ColdStart.D().Hours(),
		SwitchHours:  c.service.Upstream.ColdStart.D().Hours() / switchHorizonHours,
	}
	for _, zone := range m.document.AvailabilityZones {
		if zone.State != document.ZoneServing {
			continue
		}
		for _, class := range []document.HostClass{document.Reclaimable, document.OnDemand} {
			price, offered := zone.Prices[class]
			slot := plan.Slot{Zone: zone.Name, Class: class}
			if !offered && fixed[slot]+len(running[slot]) == 0 {
				continue
			}
			offer := plan.Offer{Slot: slot, Price: price, Fixed: fixed[slot], Running: len(running[slot])}
			if class == document.Reclaimable {
				offer.Reclaims = m.zoneReclaims(zone.Name).rate(now, offer.Fixed+offer.Running)
			}
			backoff := c.backoffs[slot]
			offer.Closed = !offered || backoff != nil && now.Before(backoff.until)
			request.Offers = append(request.Offers, offer)
		}
	}
	return request, running
}

// hostsBySlot returns a version's hosts by slot: the number of those that the fleet
// did not start, and the IDs of those that it wants.
func (m *Machine) hostsBySlot(c *controller, state Service, lost map[string]bool, version string) (map[plan.Slot]int, map[plan.Slot][]string) {
	fixed, running := map[plan.Slot]int{}, map[plan.Slot][]string{}
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		host := state.Wanted[id]
		if host.Version == version && !lost[id] {
			slot := plan.Slot{Zone: host.Zone, Class: host.Class}
			running[slot] = append(running[slot], id)
		}
	}
	for id, host := range m.listed {
		_, retired := state.Retired[id]
		if host.Service != c.name || host.Version != version || isFleetID(c.name, id) || retired || m.isLeaving(id) {
			continue
		}
		fixed[plan.Slot{Zone: host.Zone, Class: host.Class}]++
	}
	return fixed, running
}

// startMissing plans and starts hosts while the log is down, in place of lost ones
// or for higher demand, and retires none. They are recorded when the log is back.
func (m *Machine) startMissing(now time.Time, c *controller, state Service) []control.Output {
	var outs []control.Output
	lost := map[string]bool{}
	for _, id := range m.lost(now, c, state) {
		lost[id] = true
	}
	for id, host := range c.unlogged {
		if c.progress(id).refused || m.isLeaving(id) {
			delete(c.unlogged, id)
			continue
		}
		state.Wanted = withHost(state.Wanted, host)
	}
	if now.Sub(c.plannedAt) >= planInterval && now.Sub(c.heldSince) >= settleTime {
		c.plannedAt = now
		want, _ := m.difference(now, c, state, lost)
		for _, host := range want {
			c.unlogged[host.ID] = host
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.unlogged)) {
		outs = append(outs, m.start(now, c, c.unlogged[id])...)
	}
	return outs
}

func withHost(hosts map[string]Host, host Host) map[string]Host {
	copied := make(map[string]Host, len(hosts)+1)
	for id, known := range hosts {
		copied[id] = known
	}
	copied[host.ID] = host
	return copied
}
