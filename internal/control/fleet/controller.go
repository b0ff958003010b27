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
	// startRetry is the time between two tries of one start; startTimeout is
	// how long a started host may take to be listed.
	startRetry = 10 * time.Second
	// settleTime is how long a new holder listens to the host list and to the
	// demand before it plans; a lagging list may still be empty.
	settleTime   = 10 * time.Second
	startTimeout = 3 * time.Minute
	stopRetry    = 10 * time.Second
	// maxDrain bounds the time between a host's retirement and its stop.
	maxDrain = 5 * time.Minute
	// refusedBackoff is the time for which a slot is closed after a refused
	// start; it doubles with each refusal up to maxBackoff.
	refusedBackoff = 10 * time.Second
	maxBackoff     = 5 * time.Minute
	orderRetry     = 5 * time.Second
	changeRetry    = 3 * time.Second
	// verifyInterval is the time between two checks of what an engine serves,
	// verifyPerSecond bounds the checks of one controller.
	verifyInterval  = 30 * time.Second
	verifyPerSecond = 10
)

// controller is what a host knows of a service's fleet beside the log.
type controller struct {
	name    string
	service *document.Service
	// own is this host's demand; demand holds that of every host.
	own    int
	told   time.Time
	demand demandPeak
	// asked is when this process last asked for the lease or renewed it, and
	// renewed when it sent the newest record that took effect.
	asked    time.Time
	sent     map[string]time.Time
	renewed  time.Time
	fence    int64
	sequence int
	// held is when this process got the lease.
	held    time.Time
	planned time.Time
	changed time.Time
	surplus time.Time
	hosts   map[string]*progress
	closed  map[plan.Slot]*closing
	// replaced holds hosts started while the log was down, by ID.
	replaced map[string]Host
	limited  time.Time
	// outSince holds when zones were first seen to be out.
	outSince map[string]time.Time
	solved   map[string]solved
}

// progress is how far one host has come.
type progress struct {
	tried     time.Time
	first     time.Time
	listed    bool
	up        time.Time
	gone      bool
	refused   bool
	stopped   time.Time
	reserved  bool
	asked     time.Time
	orders    int
	ordered   time.Time
	loaded    bool
	verified  time.Time
	unmatched bool
}

type closing struct {
	until   time.Time
	backoff time.Duration
}

func newController(name string) *controller {
	return &controller{
		name: name, demand: newDemandPeak(), sent: map[string]time.Time{}, fence: -1,
		hosts: map[string]*progress{}, closed: map[plan.Slot]*closing{}, replaced: map[string]Host{},
		outSince: map[string]time.Time{}, solved: map[string]solved{},
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

// listed notes which hosts have come up and which have gone.
func (c *controller) listed(_ time.Time, hosts map[string]hostlist.Host) {
	for id, p := range c.hosts {
		_, up := hosts[id]
		p.gone = p.listed && !up
		p.listed = p.listed || up
	}
	for id, host := range hosts {
		if host.Service == c.name {
			c.progress(id).listed = true
		}
	}
}

func (c *controller) hear(now time.Time, from string, requests int) {
	c.demand.set(now, from, requests)
}

// tickService takes, renews or uses the lease of a service.
func (m *Machine) tickService(now time.Time, c *controller) []control.Output {
	state := m.state(c.name)
	if state.Lease.Incarnation != m.self.Incarnation {
		c.fence = -1
		return m.take(now, c, state)
	}
	c.hold(now, state.Lease)
	if now.Sub(c.renewed) >= leaseTime-clockMargin {
		return m.lapsed(now, c, state)
	}
	outs := m.plan(now, c, state)
	if len(outs) == 0 && m.logUp && now.Sub(c.asked) >= renewInterval {
		outs = m.append(now, c, Entry{Fence: c.fence})
	}
	return append(outs, m.reconcile(now, c, state)...)
}

// take asks for a lease that is free, if this host is the one to have it.
func (m *Machine) take(now time.Time, c *controller, state Service) []control.Output {
	mine := m.candidate(c.name) == m.self.ID
	if !mine || !m.logUp || !state.Lease.free(now) || now.Sub(c.asked) < takeRetry {
		return nil
	}
	return m.append(now, c, Entry{Take: true})
}

// hold notes the newest record of this process that took effect. What the
// process may do ends a margin before the lease does, counted from the moment
// at which that record was sent.
func (c *controller) hold(now time.Time, lease Lease) {
	if c.fence != lease.Fence {
		c.held = now
		c.fence = lease.Fence
		c.sequence = 0
		c.replaced = map[string]Host{}
	}
	for id, at := range c.sent {
		if at.Before(c.asked.Add(-leaseTime)) {
			delete(c.sent, id)
		}
	}
}

// lapsed is what a holder does that could not renew its lease in time. While
// the log is down nobody else can take the lease, so lost hosts are replaced.
func (m *Machine) lapsed(now time.Time, c *controller, state Service) []control.Output {
	if m.logUp {
		if now.Sub(c.asked) < takeRetry {
			return nil
		}
		return m.append(now, c, Entry{Fence: c.fence})
	}
	return m.replace(now, c, state)
}

// append adds an entry of this process to the stream.
func (m *Machine) append(now time.Time, c *controller, e Entry) []control.Output {
	e.Service, e.Host, e.Incarnation = c.name, m.self.ID, m.self.Incarnation
	data, err := logfold.EncodeEntry(e)
	if err != nil {
		return nil
	}
	c.asked = now
	id := fmt.Sprintf("%s/%s/%d", m.self.Incarnation, c.name, now.UnixNano())
	c.sent[id] = now
	return []control.Output{control.Append{Stream: logsvc.StreamFleet, ID: id, Data: data}}
}

// noteRecord notes that a record of this process was read back.
func (m *Machine) noteRecord(rec logsvc.Record) {
	for _, c := range m.services {
		if at, own := c.sent[rec.ID]; own {
			delete(c.sent, rec.ID)
			if at.After(c.renewed) {
				c.renewed = at
			}
		}
	}
}

// reconcile brings the platform to what the log says: it starts wanted hosts,
// stops retired ones and has weights loaded.
func (m *Machine) reconcile(now time.Time, c *controller, state Service) []control.Output {
	if !m.logUp {
		return m.replace(now, c, state)
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

// start starts a wanted host; its ID makes a repeated start harmless.
func (m *Machine) start(now time.Time, c *controller, host Host) []control.Output {
	p := c.progress(host.ID)
	if p.listed || p.refused || now.Sub(p.tried) < startRetry {
		return nil
	}
	if p.first.IsZero() {
		p.first = now
	}
	p.tried = now
	return []control.Output{control.StartHost{StartRequest: cloud.StartRequest{
		ID: host.ID, Service: c.name, Version: host.Version, Zone: host.Zone, Class: host.Class,
	}}}
}

// stop stops a retired host once it had time to finish its requests. Hosts
// that were not started here are never in the log, so they are never stopped.
func (m *Machine) stop(now time.Time, c *controller, id string, retired time.Time) []control.Output {
	p := c.progress(id)
	_, listed := m.listed[id]
	stray := !p.stopped.IsZero() && !listed
	if stray || now.Sub(p.stopped) < stopRetry || now.Sub(retired) < drainTime(c.service) {
		return nil
	}
	p.stopped = now
	return []control.Output{control.StopHost{ID: id}}
}

// drainTime is how long a request may still run on a retired host.
func drainTime(service *document.Service) time.Duration {
	longest := time.Duration(0)
	for _, route := range service.Routes {
		longest = max(longest, route.Deadline.D())
	}
	return min(longest, maxDrain)
}

// loadWeights books one download at a time, for the version that has the
// smallest share of its hosts loaded, and then orders the engine to load.
func (m *Machine) loadWeights(now time.Time, c *controller, state Service) []control.Output {
	if c.service.Kind != document.KindEngine {
		return nil
	}
	var outs []control.Output
	for _, host := range byNeed(state, m.listed) {
		p := c.progress(host.ID)
		switch {
		case p.reserved && now.Sub(p.ordered) >= orderRetry:
			p.ordered = now
			outs = append(outs, m.order(c, host, p))
		case !p.reserved && now.Sub(p.asked) >= orderRetry && !now.Before(c.limited):
			p.asked = now
			c.limited = now.Add(control.TickInterval)
			outs = append(outs, control.ReserveWeights{HostID: host.ID, Artifact: artifact(c.name, host.Version)})
		}
	}
	return outs
}

func artifact(service, version string) string { return service + "/" + version }

// order tells an engine which version to serve. The fencing token is that of
// the lease; the ID makes a repeated order harmless.
func (m *Machine) order(c *controller, host Host, p *progress) control.Output {
	return control.OrderEngine{
		Upstream: host.ID, Address: m.listed[host.ID].Address,
		Order: engine.Order{
			ID: fmt.Sprintf("load/%s/%s/%d/%d", host.ID, host.Version, c.fence, p.orders), Fence: c.fence,
			Kind: engine.OrderLoad, Target: host.Version,
		},
	}
}

// byNeed returns the listed hosts whose weights are not loaded, those of the
// version with the smallest loaded share first.
func byNeed(state Service, listed map[string]hostlist.Host) []Host {
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

// verify asks engines what they serve. One that took a late order of an old
// controller, which engines without token checks do, is ordered anew.
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
		if p.unmatched && now.Sub(p.ordered) >= orderRetry {
			p.ordered = now
			outs = append(outs, m.order(c, state.Wanted[id], p))
		}
		if now.Sub(p.verified) >= interval {
			p.verified = now
			outs = append(outs, control.PollUpstream{Upstream: id, Address: host.Address, CacheAfter: -1})
		}
	}
	return outs
}

// answered takes the answers to outputs.
func (m *Machine) answered(now time.Time, in control.Input) {
	switch in := in.(type) {
	case control.HostStarted:
		m.started(now, in)
	case control.WeightsReserved:
		m.weightsReserved(now, in)
	case control.OrderDone:
		if c, _ := m.owner(in.Upstream); c != nil && (in.Err == nil || errors.Is(in.Err, engine.ErrStaleFence)) {
			p := c.progress(in.Upstream)
			p.loaded = in.Err == nil
			p.unmatched = false
		}
	case control.LoadReported:
		c, host := m.owner(in.Upstream)
		if c == nil || in.Err != nil || !host.Loaded || in.Load.Version == "" {
			return
		}
		p := c.progress(in.Upstream)
		if in.Load.Version != host.Version && !p.unmatched {
			p.unmatched = true
			p.orders++
		}
	}
}

func (m *Machine) weightsReserved(now time.Time, in control.WeightsReserved) {
	c, _ := m.owner(in.HostID)
	switch {
	case c == nil:
	case in.Err == nil:
		c.progress(in.HostID).reserved = true
	case in.RetryAfter > 0:
		c.limited = now.Add(in.RetryAfter)
	}
}

// started notes a refusal, which closes the slot for a while.
func (m *Machine) started(now time.Time, in control.HostStarted) {
	c, host := m.owner(in.ID)
	if c == nil || !in.Refused {
		return
	}
	c.progress(in.ID).refused = true
	slot := plan.Slot{Zone: host.Zone, Class: host.Class}
	closed := c.closed[slot]
	if closed == nil || now.Sub(closed.until) > maxBackoff {
		closed = &closing{backoff: refusedBackoff}
		c.closed[slot] = closed
	} else if !now.Before(closed.until) {
		closed.backoff = min(2*closed.backoff, maxBackoff)
	}
	closed.until = now.Add(closed.backoff)
}

// owner returns the controller of a host that the fleet wants.
func (m *Machine) owner(id string) (*controller, Host) {
	for name, c := range m.services {
		if host, wanted := m.state(name).Wanted[id]; wanted {
			return c, host
		}
		if host, replaced := c.replaced[id]; replaced {
			return c, host
		}
	}
	return nil, Host{}
}

// ours reports whether an ID is one that a controller of a service made up.
func ours(service, id string) bool { return strings.HasPrefix(id, service+"-f") }
