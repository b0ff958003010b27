// Package relay lets a few hosts read the log on behalf of all. A reader caches
// what it read; the other hosts, its followers, request from it what they lack. A
// response includes the time since the reader's own request to the log, so that a
// follower's view ages as if the follower had read the log.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// Request is a follower's request to a reader.
type Request struct {
	// Operator and Upstreams are the offsets up to which the follower has read,
	// -1 if it has read nothing.
	Operator, Upstreams int64
	// OperatorEpoch and UpstreamsEpoch are the epochs of these offsets.
	OperatorEpoch  int64 `msgpack:",omitempty"`
	UpstreamsEpoch int64 `msgpack:",omitempty"`
	// Wait is how long the reader may wait for changes before it responds.
	Wait time.Duration
}

func (r Request) operator() topic.Position {
	return topic.Position{Epoch: r.OperatorEpoch, Offset: r.Operator}
}

func (r Request) upstreams() topic.Position {
	return topic.Position{Epoch: r.UpstreamsEpoch, Offset: r.Upstreams}
}

// Response holds the changes that a follower lacks.
type Response struct {
	Operator  catalog.OperatorUpdate
	Upstreams catalog.UpstreamUpdate
	// OperatorAge and UpstreamsAge are the times from the reader's newest
	// successful request to the log until it received the follower's request;
	// they are negative if the request to the log was sent later.
	OperatorAge, UpstreamsAge time.Duration
	// OperatorLag is the time from the newest request whose response is known to be the
	// newest configuration to the newest one at all.
	OperatorLag time.Duration `msgpack:",omitempty"`
	// ProvenEpoch is the latest epoch of the log in which the reader could tell that its
	// configuration is the newest.
	ProvenEpoch int64 `msgpack:",omitempty"`
	// ProvenVersion is the version of that configuration.
	ProvenVersion int64 `msgpack:",omitempty"`
}

// cachedTopic is what a host last read of one topic.
type cachedTopic[C any] struct {
	table *table[C]
	// confirmedAt is the boot time at which the request was sent whose response
	// last confirmed the table, and readAt is that of the last response at all.
	confirmedAt, readAt time.Duration
	// provenEpoch is the epoch of the last update if that confirmed the table, else 0, and
	// provenVersion the version that it confirmed.
	provenEpoch, provenVersion int64
}

// applyUpdate applies the response to a request that was sent at a boot time. It
// reports whether the update was applied, and whether followers must be notified.
func (t *cachedTopic[C]) applyUpdate(u catalog.Update[C], requestedAt time.Duration) (applied, changed bool) {
	if !t.table.accepts(u) {
		return false, false
	}
	t.readAt = max(t.readAt, requestedAt)
	t.provenEpoch, t.provenVersion = 0, 0
	if !u.Unproven {
		t.confirmedAt = max(t.confirmedAt, requestedAt)
		t.provenEpoch, t.provenVersion = u.Epoch, u.ProvenVersion
	}
	return true, t.table.apply(u)
}

// Cache is what a host last read of the log. It is safe for concurrent use.
type Cache struct {
	mu        sync.Mutex
	operator  cachedTopic[catalog.OperatorChange]
	upstreams cachedTopic[catalog.UpstreamChange]
	// changed is closed and replaced when followers must be notified.
	changed chan struct{}
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{changed: make(chan struct{})}
	c.operator.table = newTable(operatorKind)
	c.operator.confirmedAt = catalog.NeverConfirmed
	c.upstreams.table = newTable(upstreamKind)
	return c
}

// ApplyOperator applies operator changes from the response to a request that was
// sent at a boot time. It reports whether they are at least as new as the cached
// ones; older ones are ignored.
func (c *Cache) ApplyOperator(u catalog.OperatorUpdate, requestedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify(c.operator.applyUpdate(u, requestedAt))
}

// ApplyUpstreams does the same with upstream reports.
func (c *Cache) ApplyUpstreams(u catalog.UpstreamUpdate, requestedAt time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify(c.upstreams.applyUpdate(u, requestedAt))
}

// notify wakes the waiting followers if something changed. It returns applied.
func (c *Cache) notify(applied, changed bool) bool {
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	return applied
}

// AcceptsOperator reports whether operator changes are at least as new as the cached ones
// and can be applied to them.
func (c *Cache) AcceptsOperator(u catalog.OperatorUpdate) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operator.table.accepts(u)
}

// AcceptsUpstreams does the same with upstream reports.
func (c *Cache) AcceptsUpstreams(u catalog.UpstreamUpdate) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams.table.accepts(u)
}

// Positions returns the positions from which to read next, topic.Unread before the first
// read.
func (c *Cache) Positions() (operator, upstreams topic.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.operator.table.position(), c.upstreams.table.position()
}

// Respond returns the response to a follower's request that was received at a
// boot time. It waits until there are changes for the follower, r.Wait has passed
// or the context is done.
func (c *Cache) Respond(ctx context.Context, r Request, receivedAt time.Duration) Response {
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.changed
		due := c.operator.table.hasChanges(r.operator()) || c.upstreams.table.hasChanges(r.upstreams())
		c.mu.Unlock()
		if due {
			return c.response(r, receivedAt)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.response(r, receivedAt)
		case <-ctx.Done():
			return c.response(r, receivedAt)
		}
	}
}

func (c *Cache) response(r Request, receivedAt time.Duration) Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Response{
		Operator:    c.operator.table.updateSince(r.operator()),
		Upstreams:   c.upstreams.table.updateSince(r.upstreams()),
		OperatorAge: receivedAt - c.operator.confirmedAt, UpstreamsAge: receivedAt - c.upstreams.confirmedAt,
		OperatorLag: c.operator.readAt - c.operator.confirmedAt, ProvenEpoch: c.operator.provenEpoch, ProvenVersion: c.operator.provenVersion,
	}
}
