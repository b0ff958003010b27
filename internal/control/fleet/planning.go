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
	// planInterval is the time between two plans, surplusTime how long hosts
	// must be too many before they are retired.
	planInterval = 2 * time.Second
	surplusTime  = 5 * time.Minute
	// zoneHold is how long hosts are kept in a zone that was taken out.
	zoneHold = 30 * time.Minute
	// targetUse is the share of an upstream's slots in use at which it still
	// meets its latency target.
	targetUse = 0.7
	// maxChange bounds the hosts in one entry.
	maxChange = 50
	// recomputeHours prices the tokens computed again after a reclaim, in hours
	// of a host; horizonHours is the time over which a switch of hosts pays.
	recomputeHours = 0.02
	horizonHours   = 2
	// demandWindow is the time over which the peak of the demand counts.
	demandWindow = 10 * time.Minute
	// demandStale is the age from which a host's demand no longer counts.
	demandStale = time.Minute
	// priorReclaims and priorHours are the reclaims in hours of a host that
	// are assumed before any are seen; reclaimWindow is how long one counts.
	priorReclaims = 1.0
	priorHours    = 24.0
	reclaimWindow = 6 * time.Hour
)

// demandPeak keeps the highest demand of all hosts in a window.
type demandPeak struct {
	hosts map[string]hostDemand
	// buckets holds the peak of each minute.
	buckets map[int64]int
}

type hostDemand struct {
	requests int
	at       time.Time
}

func newDemandPeak() demandPeak {
	return demandPeak{hosts: map[string]hostDemand{}, buckets: map[int64]int{}}
}

func (d *demandPeak) set(now time.Time, host string, requests int) {
	d.hosts[host] = hostDemand{requests: requests, at: now}
	sum := 0
	for id, demand := range d.hosts {
		if now.Sub(demand.at) > demandStale {
			delete(d.hosts, id)
			continue
		}
		sum += demand.requests
	}
	minute := now.Unix() / 60
	d.buckets[minute] = max(d.buckets[minute], sum)
	for at := range d.buckets {
		if time.Duration(minute-at)*time.Minute > demandWindow {
			delete(d.buckets, at)
		}
	}
}

func (d *demandPeak) peak() int {
	highest := 0
	for _, sum := range d.buckets {
		highest = max(highest, sum)
	}
	return highest
}

// reclaimRate estimates how often hosts of a zone are reclaimed.
type reclaimRate struct {
	events []time.Time
}

func (r *reclaimRate) add(now time.Time) { r.events = append(r.events, now) }

// rate returns the reclaims of a host in an hour, given the number of hosts.
func (r *reclaimRate) rate(now time.Time, hosts int) float64 {
	kept := r.events[:0]
	for _, at := range r.events {
		if now.Sub(at) < reclaimWindow {
			kept = append(kept, at)
		}
	}
	r.events = kept
	return (priorReclaims + float64(len(kept))) / (priorHours + float64(max(1, hosts))*reclaimWindow.Hours())
}

// plan compares what is wanted with what should be, and appends the change.
func (m *Machine) plan(now time.Time, c *controller, state Service) []control.Output {
	if !m.logUp || now.Sub(c.held) < settleTime || now.Sub(c.planned) < planInterval || now.Sub(c.changed) < changeRetry {
		return nil
	}
	c.planned = now
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
	surplus = append(c.lasting(now, surplus), m.inZonesLeft(now, c, state)...)
	e.Retire = append(e.Retire, surplus...)
	if len(e.Want) == 0 && len(e.Retire) == 0 {
		return nil
	}
	e.Want = e.Want[:min(len(e.Want), maxChange)]
	e.Retire = e.Retire[:min(len(e.Retire), maxChange)]
	c.changed = now
	return m.append(now, c, e)
}

// inZonesLeft returns hosts in zones that were taken out long ago. Until then
// they are kept, as most zones come back.
func (m *Machine) inZonesLeft(now time.Time, c *controller, state Service) []string {
	for _, zone := range m.document.AvailabilityZones {
		if zone.State == document.ZoneIn {
			delete(c.outSince, zone.Name)
		} else if _, known := c.outSince[zone.Name]; !known {
			c.outSince[zone.Name] = now
		}
	}
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		since, out := c.outSince[state.Wanted[id].Zone]
		if out && now.Sub(since) >= zoneHold && !m.goes(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// lasting returns surplus hosts once there has been a surplus for a while.
func (c *controller) lasting(now time.Time, surplus []string) []string {
	switch {
	case len(surplus) == 0:
		c.surplus = time.Time{}
	case c.surplus.IsZero():
		c.surplus = now
	case now.Sub(c.surplus) >= surplusTime:
		c.surplus = now
		return surplus
	}
	return nil
}

// adopt returns hosts that were started while the log was down, and hosts of
// earlier controllers of which the log does not know.
func (c *controller) adopt(state Service, listed map[string]hostlist.Host) []Host {
	var hosts []Host
	for _, id := range slices.Sorted(maps.Keys(c.replaced)) {
		hosts = append(hosts, c.replaced[id])
	}
	for _, id := range slices.Sorted(maps.Keys(listed)) {
		host := listed[id]
		_, wanted := state.Wanted[id]
		_, retired := state.Retired[id]
		_, replaced := c.replaced[id]
		if host.Service == c.name && ours(c.name, id) && !wanted && !retired && !replaced {
			hosts = append(hosts, Host{ID: id, Version: host.Version, Zone: host.Zone, Class: host.Class})
		}
	}
	c.replaced = map[string]Host{}
	return hosts
}

// loadedHosts returns the hosts whose order to load was carried out.
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

// lost returns wanted hosts that are gone, leave, or could not be started.
func (m *Machine) lost(now time.Time, c *controller, state Service) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		p := c.progress(id)
		late := !p.listed && !p.first.IsZero() && now.Sub(p.first) > startTimeout
		if p.gone || p.refused || late || m.goes(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// goes reports whether a host has a reclaim notice or is listed as leaving.
func (m *Machine) goes(id string) bool {
	_, noticed := m.noticed[id]
	return noticed || m.listed[id].Leaving
}

// difference plans each version and returns the hosts to add and those that
// are too many.
func (m *Machine) difference(now time.Time, c *controller, state Service, lost map[string]bool) (want []Host, surplus []string) {
	needed := int(math.Ceil(float64(c.demand.peak()) / (targetUse * float64(c.service.Upstream.MaxInFlight))))
	for _, part := range m.parts(c, needed) {
		request, running := m.request(now, c, state, lost, part)
		fleet := m.solve(c, part.version, request)
		spare := m.ready(now, c, state, running) + fixedHosts(request) - fleet.Total()
		var extra []string
		for _, offer := range request.Offers {
			count := fleet.Hosts[offer.Slot] - offer.Fixed
			ids := running[offer.Slot]
			for range max(0, count-len(ids)) {
				want = append(want, c.newHost(part.version, offer.Slot))
			}
			if count < len(ids) {
				extra = append(extra, ids[max(0, count):]...)
			}
		}
		surplus = append(surplus, m.spareOf(now, c, state, extra, spare)...)
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

// ready counts the hosts that are warm.
func (m *Machine) ready(now time.Time, c *controller, state Service, running map[plan.Slot][]string) int {
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

// isReady reports whether a host had the time of a cold start since it was
// listed and, if it is an engine, since its weights were ordered.
func (c *controller) isReady(now time.Time, host Host) bool {
	p := c.progress(host.ID)
	up := p.listed && !p.gone && (host.Loaded || c.service.Kind != document.KindEngine)
	if !up {
		return false
	}
	if p.up.IsZero() {
		p.up = now
	}
	return now.Sub(p.up) >= c.service.Upstream.ColdStart.D()
}

// spareOf returns those of the extra hosts that may go while the hosts that
// are to take their place are not warm: the cold ones and as many warm ones as
// there are to spare.
func (m *Machine) spareOf(now time.Time, c *controller, state Service, extra []string, spare int) []string {
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

// solved is the newest plan of a version.
type solved struct {
	request plan.Request
	fleet   plan.Fleet
}

// solve plans a version, or returns the last plan if nothing has changed.
func (m *Machine) solve(c *controller, version string, request plan.Request) plan.Fleet {
	if last, known := c.solved[version]; known && last.request.Equal(&request) {
		return last.fleet
	}
	fleet := m.Plan(request)
	c.solved[version] = solved{request: request, fleet: fleet}
	return fleet
}

// newHost names a host. The fencing token and a number make its ID unique.
func (c *controller) newHost(version string, slot plan.Slot) Host {
	c.sequence++
	id := fmt.Sprintf("%s-f%d-%d", c.name, c.fence, c.sequence)
	return Host{ID: id, Version: version, Zone: slot.Zone, Class: slot.Class}
}

// part is the part of a service's demand that one version carries.
type part struct {
	version          string
	needed, min, max int
}

// parts splits the demand and the bounds over the versions by the largest
// share that each may get before the next plan can act on it.
func (m *Machine) parts(c *controller, needed int) []part {
	moving := map[string]control.Rollout{}
	for _, r := range m.rollouts {
		if r.Service == c.name {
			moving[r.Version] = r
		}
	}
	rest, goals := 1.0, 0.0
	for _, r := range moving {
		rest -= r.Share
	}
	for _, v := range c.service.Versions {
		if _, found := moving[v.Name]; !found {
			goals += v.Goal
		}
	}
	var list []part
	base := c.baseVersion(moving)
	for _, v := range c.service.Versions {
		share := 0.0
		r, found := moving[v.Name]
		switch {
		case found:
			share = r.Next
		case goals > 0:
			share = rest * v.Goal / goals
		case v.Name == base:
			share = rest
		}
		list = append(list, c.part(v.Name, share, needed))
	}
	return list
}

// baseVersion returns the proved version that has all the rest when the
// configuration gives no proved version a goal.
func (c *controller) baseVersion(moving map[string]control.Rollout) string {
	base := ""
	for _, v := range c.service.Versions {
		if _, found := moving[v.Name]; !found {
			base = v.Name
		}
	}
	return base
}

func (c *controller) part(version string, share float64, needed int) part {
	if share < 1e-9 {
		return part{version: version}
	}
	scale := func(n int) int { return int(math.Ceil(share*float64(n) - 1e-9)) }
	return part{version: version, needed: max(1, scale(needed)), min: scale(c.service.Hosts.Min), max: scale(c.service.Hosts.Max)}
}

// request describes a version's hosts and offers to the planner. It returns
// the IDs of the running hosts that may be retired as well.
func (m *Machine) request(now time.Time, c *controller, state Service, lost map[string]bool, p part) (plan.Request, map[plan.Slot][]string) {
	fixed, running := m.present(c, state, lost, p.version)
	request := plan.Request{
		Needed: p.needed, Min: p.min, Max: p.max, ReclaimableShare: m.ReclaimableShare,
		ReclaimHours: recomputeHours + c.service.Upstream.ColdStart.D().Hours(),
		SwitchHours:  c.service.Upstream.ColdStart.D().Hours() / horizonHours,
	}
	for _, zone := range m.document.AvailabilityZones {
		if zone.State != document.ZoneIn {
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
				offer.Reclaims = m.reclaim(zone.Name).rate(now, offer.Fixed+offer.Running)
			}
			closed := c.closed[slot]
			offer.Closed = !offered || closed != nil && now.Before(closed.until)
			request.Offers = append(request.Offers, offer)
		}
	}
	return request, running
}

// present counts a version's hosts by slot: those of others, and the IDs of
// those that this fleet started or is starting.
func (m *Machine) present(c *controller, state Service, lost map[string]bool, version string) (map[plan.Slot]int, map[plan.Slot][]string) {
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
		if host.Service != c.name || host.Version != version || ours(c.name, id) || retired || m.goes(id) {
			continue
		}
		fixed[plan.Slot{Zone: host.Zone, Class: host.Class}]++
	}
	return fixed, running
}

// replace starts a host for each one that is lost while the log is down, in
// another slot of the plan. The log learns of them when it is back.
func (m *Machine) replace(now time.Time, c *controller, state Service) []control.Output {
	var outs []control.Output
	lost := map[string]bool{}
	for _, id := range m.lost(now, c, state) {
		lost[id] = true
	}
	for id, host := range c.replaced {
		if c.progress(id).refused || m.goes(id) {
			delete(c.replaced, id)
			continue
		}
		state.Wanted = withHost(state.Wanted, host)
	}
	if now.Sub(c.planned) >= planInterval && now.Sub(c.held) >= settleTime {
		c.planned = now
		want, _ := m.difference(now, c, state, lost)
		for _, host := range want {
			c.replaced[host.ID] = host
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.replaced)) {
		outs = append(outs, m.start(now, c, c.replaced[id])...)
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
