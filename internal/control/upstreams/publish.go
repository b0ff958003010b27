package upstreams

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

// publishKey holds the values, except the prefixes, from which a published
// upstream was made. set is true in every computed key, so that a zeroed key
// always differs and the upstream is made again.
type publishKey struct {
	host        hostlist.Host
	price       float64
	available   bool
	limit       int
	limitUntil  time.Time
	capacity    int
	owners      int
	cold        bool
	load        float64
	loadVersion uint64
	set         bool
}

// Publish implements control.Machine. Upstreams that did not change are shared
// with the last snapshot.
func (m *Machine) Publish(now time.Time, next *control.Snapshot) {
	if m.changed {
		m.changed = false
		m.publish(now)
	}
	if m.published != nil {
		next.Upstreams = m.published
	}
	next.ServiceHosts = m.serviceHosts
}

func (m *Machine) publish(now time.Time) {
	changed := len(m.ordered) != m.publishedCount()
	for _, e := range m.ordered {
		key := e.publishKey(now)
		if key != e.key {
			e.key = key
			e.published = key.upstream(e.prefixes)
			changed = true
		}
	}
	if !changed {
		return
	}
	m.published = make(map[string][]*control.Upstream, len(m.published))
	for _, e := range m.ordered {
		m.published[e.host.Service] = append(m.published[e.host.Service], e.published)
	}
}

func (m *Machine) publishedCount() int {
	count := 0
	for _, list := range m.published {
		count += len(list)
	}
	return count
}

func (e *entry) publishKey(now time.Time) publishKey {
	limit, until := e.limit(now)
	capacity := e.holder.Level(now)
	if capacity == 0 {
		// No recent level, or the upstream is ejected: the cold limit, as in Holder.Limit.
		capacity = e.rampParams.Cold
	}
	return publishKey{
		host: e.host, price: e.price,
		available: e.zoneServing && !e.host.Leaving && !e.retired && !now.Before(e.breaker.until),
		limit:     limit, limitUntil: until, capacity: capacity, owners: e.owners(),
		cold: e.cold, load: e.load, loadVersion: e.loadVersion, set: true,
	}
}

func (k publishKey) upstream(prefixes map[uint64]struct{}) *control.Upstream {
	return &control.Upstream{
		ID: k.host.ID, Address: k.host.Address, Zone: k.host.Zone, Class: k.host.Class,
		Service: k.host.Service, Version: k.host.Version,
		Available: k.available, Limit: k.limit, LimitUntil: k.limitUntil, Capacity: k.capacity, Owners: k.owners,
		Cold: k.cold, Load: k.load, LoadVersion: k.loadVersion, Price: k.price, Prefixes: prefixes,
	}
}
