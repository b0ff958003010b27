package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/plan"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// startRetryInterval is the time between two attempts to start a host;
	// startTimeout is how long a host may take from the first attempt until it
	// is listed.
	startRetryInterval = 10 * time.Second
	// settleTime is how long a new lease holder collects the host list and the
	// demand before it plans, since a lagging list may still be empty.
	settleTime        = 10 * time.Second
	startTimeout      = 3 * time.Minute
	stopRetryInterval = 10 * time.Second
	// maxDrain bounds the time between a host's retirement and its stop.
	maxDrain = 5 * time.Minute
	// initialBackoff is how long a slot is closed after a refused start. The
	// time doubles with each refusal after the slot reopens, up to maxBackoff,
	// and is reset once the slot has been open for longer than maxBackoff.
	initialBackoff     = 10 * time.Second
	maxBackoff         = 5 * time.Minute
	orderRetryInterval = 5 * time.Second
	// changeRetryInterval is how long planning waits after a change is appended,
	// so that the change can be read back.
	changeRetryInterval = 3 * time.Second
	// verifyInterval is the least time between two checks of the version that
	// an engine serves; verifyPerSecond bounds the checks of one controller.
	verifyInterval  = 30 * time.Second
	verifyPerSecond = 10
)

// controller is a host's state of a service's fleet that is not in the log.
type controller struct {
	name    string
	service *document.Service
	// localDemand is the number of requests that wait or run at this host;
	// demand holds that of every host.
	localDemand  int
	demandSentAt time.Time
	demand       demandPeak
	// appendedAt is when this process last appended an entry, and renewedAt when
	// it appended the newest of its records that were read back. pendingAppends
	// holds when the other records were appended, by record ID.
	appendedAt     time.Time
	pendingAppends map[string]time.Time
	renewedAt      time.Time
	fence          int64
	sequence       int
	// heldSince is when this process first saw that it holds the lease.
	heldSince    time.Time
	plannedAt    time.Time
	changedAt    time.Time
	surplusSince time.Time
	hosts        map[string]*progress
	backoffs     map[plan.Slot]*slotBackoff
	// unlogged holds the hosts planned while the log was down, by ID.
	unlogged map[string]Host
	// reserveAfter is the earliest time of the next weight reservation.
	reserveAfter time.Time
	// excludedSince holds when each excluded zone was first seen as excluded.
	excludedSince map[string]time.Time
	plans         map[string]cachedPlan
}

// progress is the state of one host's start, weight load and stop.
type progress struct {
	startedAt      time.Time
	firstStartedAt time.Time
	// listed is set once the host has been listed, gone while it no longer is.
	listed      bool
	loadedSince time.Time
	gone        bool
	refused     bool
	stoppedAt   time.Time
	// reserved is set once the platform has granted a weight download.
	reserved           bool
	reserveRequestedAt time.Time
	// orderSequence counts the wrong versions found; each gets a new order ID.
	orderSequence int
	orderedAt     time.Time
	loaded        bool
	verifiedAt    time.Time
	wrongVersion  bool
}

// slotBackoff closes a slot to further starts until a time.
type slotBackoff struct {
	until    time.Time
	duration time.Duration
}

func newController(name string) *controller {
	return &controller{
		name: name, demand: newDemandPeak(), pendingAppends: map[string]time.Time{}, fence: -1,
		hosts: map[string]*progress{}, backoffs: map[plan.Slot]*slotBackoff{}, unlogged: map[string]Host{},
		excludedSince: map[string]time.Time{}, plans: map[string]cachedPlan{},
	}
}

func (c *controller) progress(id string) *progress {
	p := c.hosts[id]
	if p == nil {
		p = &progress{}
		c.hosts[id] = p
	}
	return p
}

// updateListed records which hosts are listed and which no longer are.
func (c *controller) updateListed(_ time.Time, hosts map[string]hostlist.Host) {
	for id, p := range c.hosts {
		_, found := hosts[id]
		p.gone = p.listed && !found
		p.listed = p.listed || found
	}
	for id, host := range hosts {
		if host.Service == c.name {
			c.progress(id).listed = true
		}
	}
}

func (c *controller) recordDemand(now time.Time, from string, requests int) {
	c.demand.set(now, from, requests)
}

// tickService acquires or renews the lease of a service; while it holds the lease
// it plans and controls the fleet.
func (m *Machine) tickService(now time.Time, c *controller) []control.Output {
	state := m.state(c.name)
	if state.Lease.Incarnation != m.self.Incarnation {
		c.fence = -1
		return m.acquireLease(now, c, state)
	}
	c.updateLease(now, state.Lease)
	if now.Sub(c.renewedAt) >= leaseDuration-clockMargin {
		return m.handleLapsedLease(now, c, state)
	}
	outs := m.plan(now, c, state)
	if len(outs) == 0 && m.logUp && now.Sub(c.appendedAt) >= renewInterval {
		outs = m.append(now, c, Entry{Fence: c.fence})
	}
	return append(outs, m.reconcile(now, c, state)...)
}

// acquireLease requests a free lease if this host is the candidate.
func (m *Machine) acquireLease(now time.Time, c *controller, state Service) []control.Output {
	isCandidate := m.candidate(c.name) == m.self.ID
	if !isCandidate || !m.logUp || !state.Lease.free(now) || now.Sub(c.appendedAt) < acquireRetryInterval {
		return nil
	}
	return m.append(now, c, Entry{Take: true})
}

// updateLease resets the controller when this process has acquired the lease and
// drops old pending appends. The process may act until clockMargin before the end
// of the lease, counted from when its newest confirmed record was appended.
func (c *controller) updateLease(now time.Time, lease Lease) {
	if c.fence != lease.Fence {
		c.heldSince = now
		c.fence = lease.Fence
		c.sequence = 0
		c.unlogged = map[string]Host{}
	}
	for id, at := range c.pendingAppends {
		if at.Before(c.appendedAt.Add(-leaseDuration)) {
			delete(c.pendingAppends, id)
		}
	}
}

// handleLapsedLease handles a lease that was not renewed in time. While the log is
// down no other host can take the lease, so this one still starts missing hosts.
func (m *Machine) handleLapsedLease(now time.Time, c *controller, state Service) []control.Output {
	if m.logUp {
		if now.Sub(c.appendedAt) < acquireRetryInterval {
			return nil
		}
		return m.append(now, c, Entry{Fence: c.fence})
	}
	return m.startMissing(now, c, state)
}

// append appends an entry of this process to the stream.
func (m *Machine) append(now time.Time, c *controller, e Entry) []control.Output {
	e.Service, e.Host, e.Incarnation = c.name, m.self.ID, m.self.Incarnation
	data, err := logfold.EncodeEntry(e)
	if err != nil {
		return nil
	}
	c.appendedAt = now
	id := fmt.Sprintf("%s/%s/%d", m.self.Incarnation, c.name, now.UnixNano())
	c.pendingAppends[id] = now
	return []control.Output{control.Append{Stream: logsvc.StreamFleet, ID: id, Data: data}}
}

// confirmAppend records that a record of this process was read back.
func (m *Machine) confirmAppend(rec logsvc.Record) {
	for _, c := range m.controllers {
		if at, own := c.pendingAppends[rec.ID]; own {
			delete(c.pendingAppends, rec.ID)
			if at.After(c.renewedAt) {
				c.renewedAt = at
			}
		}
	}
}

// reconcile brings the platform to the state in the log: it starts wanted hosts,
// stops retired ones, has weights loaded and verifies the served versions. While
// the log is down it only starts missing hosts.
func (m *Machine) reconcile(now time.Time, c *controller, state Service) []control.Output {
	if !m.logUp {
		return m.startMissing(now, c, state)
	}
	var outs []control.Output
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		outs = append(outs, m.start(now, c, state.Wanted[id])...)
	}
	for _, id := range slices.Sorted(maps.Keys(state.Retired)) {
		outs = append(outs, m.stop(now, c, id, state.Retired[id])...)
	}
	outs = append(outs, m.loadWeights(now, c, state)...)
	return append(outs, m.verify(now, c, state)...)
}

// start starts a wanted host. Starts are idempotent by host ID.
func (m *Machine) start(now time.Time, c *controller, host Host) []control.Output {
	p := c.progress(host.ID)
	if p.listed || p.refused || now.Sub(p.startedAt) < startRetryInterval {
		return nil
	}
	if p.firstStartedAt.IsZero() {
		p.firstStartedAt = now
	}
	p.startedAt = now
	return []control.Output{control.StartHost{StartRequest: cloud.StartRequest{
		ID: host.ID, Service: c.name, Version: host.Version, Zone: host.Zone, Class: host.Class,
	}}}
}

// stop stops a retired host after its drain time. Hosts that the fleet did not
// start are never in the log and therefore never stopped.
func (m *Machine) stop(now time.Time, c *controller, id string, retired time.Time) []control.Output {
	p := c.progress(id)
	_, listed := m.listed[id]
	done := !p.stoppedAt.IsZero() && !listed
	if done || now.Sub(p.stoppedAt) < stopRetryInterval || now.Sub(retired) < drainTime(c.service) {
		return nil
	}
	p.stoppedAt = now
	return []control.Output{control.StopHost{ID: id}}
}

// drainTime returns how long requests may still run on a retired host: the longest
// deadline of the service's routes, at most maxDrain.
func drainTime(service *document.Service) time.Duration {
	longest := time.Duration(0)
	for _, route := range service.Routes {
		longest = max(longest, route.Deadline.D())
	}
	return min(longest, maxDrain)
}

// loadWeights reserves at most one weight download per tick, for a host of the
// version with the smallest share of loaded hosts, and orders engines with a
// reservation to load.
func (m *Machine) loadWeights(now time.Time, c *controller, state Service) []control.Output {
	if c.service.Kind != document.KindEngine {
		return nil
	}
	var outs []control.Output
	for _, host := range hostsToLoad(state, m.listed) {
		p := c.progress(host.ID)
		switch {
		case p.reserved && now.Sub(p.orderedAt) >= orderRetryInterval:
			p.orderedAt = now
			outs = append(outs, m.loadOrder(c, host, p))
		case !p.reserved && now.Sub(p.reserveRequestedAt) >= orderRetryInterval && !now.Before(c.reserveAfter):
			p.reserveRequestedAt = now
			c.reserveAfter = now.Add(control.TickInterval)
			outs = append(outs, control.ReserveWeights{HostID: host.ID, Artifact: artifact(c.name, host.Version)})
		}
	}
	return outs
}

func artifact(service, version string) string { return service + "/" + version }

// loadOrder returns the order that makes an engine serve the host's version. It
// has the fencing token of the lease; its ID makes it idempotent.
func (m *Machine) loadOrder(c *controller, host Host, p *progress) control.Output {
	return control.OrderEngine{
		Upstream: host.ID, Address: m.listed[host.ID].Address,
		Order: engine.Order{
			ID: fmt.Sprintf("load/%s/%s/%d/%d", host.ID, host.Version, c.fence, p.orderSequence), Fence: c.fence,
			Kind: engine.OrderLoad, Target: host.Version,
		},
	}
}

// hostsToLoad returns the listed hosts whose weights are not loaded, in ascending
// order of their version's share of loaded hosts.
func hostsToLoad(state Service, listed map[string]hostlist.Host) []Host {
	loaded, total := map[string]int{}, map[string]int{}
	var waiting []Host
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		host := state.Wanted[id]
		total[host.Version]++
		if host.Loaded {
			loaded[host.Version]++
		} else if _, up := listed[id]; up {
			waiting = append(waiting, host)
		}
	}
	share := func(h Host) float64 { return float64(loaded[h.Version]) / float64(total[h.Version]) }
	sort.SliceStable(waiting, func(i, j int) bool { return share(waiting[i]) < share(waiting[j]) })
	return waiting
}

// verify polls engines for the version they serve. Engines without fencing checks
// may have accepted a late order of a previous controller; those that serve the
// wrong version are ordered to load again.
func (m *Machine) verify(now time.Time, c *controller, state Service) []control.Output {
	if c.service.Kind != document.KindEngine || c.service.Upstream.ChecksFencing {
		return nil
	}
	interval := max(verifyInterval, time.Duration(len(state.Wanted))*time.Second/verifyPerSecond)
	var outs []control.Output
	for _, id := range slices.Sorted(maps.Keys(state.Wanted)) {
		p := c.progress(id)
		host, up := m.listed[id]
		if !state.Wanted[id].Loaded || !up {
			continue
		}
		if p.wrongVersion && now.Sub(p.orderedAt) >= orderRetryInterval {
			p.orderedAt = now
			outs = append(outs, m.loadOrder(c, state.Wanted[id], p))
		}
		if now.Sub(p.verifiedAt) >= interval {
			p.verifiedAt = now
			outs = append(outs, control.PollUpstream{Upstream: id, Address: host.Address, CacheAfter: -1})
		}
	}
	return outs
}

// handleResult applies the result of an output.
func (m *Machine) handleResult(now time.Time, in control.Input) {
	switch in := in.(type) {
	case control.HostStarted:
		m.handleStart(now, in)
	case control.WeightsReserved:
		m.handleReservation(now, in)
	case control.OrderDone:
		if c, _ := m.owner(in.Upstream); c != nil && (in.Err == nil || errors.Is(in.Err, engine.ErrStaleFence)) {
			p := c.progress(in.Upstream)
			p.loaded = in.Err == nil
			p.wrongVersion = false
		}
	case control.LoadReported:
		c, host := m.owner(in.Upstream)
		if c == nil || in.Err != nil || !host.Loaded || in.Load.Version == "" {
			return
		}
		p := c.progress(in.Upstream)
		if in.Load.Version != host.Version && !p.wrongVersion {
			p.wrongVersion = true
			p.orderSequence++
		}
	}
}

func (m *Machine) handleReservation(now time.Time, in control.WeightsReserved) {
	c, _ := m.owner(in.HostID)
	switch {
	case c == nil:
	case in.Err == nil:
		c.progress(in.HostID).reserved = true
	case in.RetryAfter > 0:
		c.reserveAfter = now.Add(in.RetryAfter)
	}
}

// handleStart handles a refused start, which closes the slot for a backoff time.
func (m *Machine) handleStart(now time.Time, in control.HostStarted) {
	c, host := m.owner(in.ID)
	if c == nil || !in.Refused {
		return
	}
	c.progress(in.ID).refused = true
	slot := plan.Slot{Zone: host.Zone, Class: host.Class}
	b := c.backoffs[slot]
	if b == nil || now.Sub(b.until) > maxBackoff {
		b = &slotBackoff{duration: initialBackoff}
		c.backoffs[slot] = b
	} else if !now.Before(b.until) {
		b.duration = min(2*b.duration, maxBackoff)
	}
	b.until = now.Add(b.duration)
}

// owner returns the controller and the record of a host that is wanted or not yet
// in the log, or a nil controller.
func (m *Machine) owner(id string) (*controller, Host) {
	for name, c := range m.controllers {
		if host, wanted := m.state(name).Wanted[id]; wanted {
			return c, host
		}
		if host, unlogged := c.unlogged[id]; unlogged {
			return c, host
		}
	}
	return nil, Host{}
}

// isFleetID reports whether a host ID was generated by newHost for a service.
func isFleetID(service, id string) bool { return strings.HasPrefix(id, service+"-f") }
