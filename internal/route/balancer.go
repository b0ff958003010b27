package route

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

const (
	// tickInterval is the time between two checks of the waiting requests when no
	// other event triggers one.
	tickInterval = 10 * time.Millisecond
	// demandInterval is the shortest time between two reports of demand.
	demandInterval = 50 * time.Millisecond
)

// OverloadError is returned for a request that would have to wait too long to
// finish before its deadline. The request was not sent.
type OverloadError struct {
	// RetryAfter is the estimated waiting time in the queue.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("overload: the queue takes %v", e.RetryAfter.Round(time.Millisecond))
}

// Balancer is a Router that carries out the decisions of a Core.
type Balancer struct {
	snapshot func() *control.Snapshot
	report   func(control.Input)

	mu           sync.Mutex
	core         *Core
	lastSnapshot *control.Snapshot
	nextID       uint64
	waiters      map[uint64]chan Assignment
	inFlight     int
	ticking      bool
	reportedAt   time.Time
}

var _ Router = (*Balancer)(nil)

// NewBalancer returns a router that uses the newest snapshot and passes the
// demand at this host to report, which must not block.
func NewBalancer(snapshot func() *control.Snapshot, report func(control.Input), seed uint64) *Balancer {
	return &Balancer{
		snapshot: snapshot,
		report:   report,
		core:     NewCore(seed),
		waiters:  map[uint64]chan Assignment{},
	}
}

// Acquire implements Router.
func (b *Balancer) Acquire(ctx context.Context, q Query) (*Lease, error) {
	id, assigned := b.arrive(q)
	select {
	case a := <-assigned:
		return b.lease(q, a)
	case <-ctx.Done():
	}
	if b.cancel(q.Service, id) {
		return nil, ctx.Err()
	}
	// The request was assigned concurrently with the cancellation.
	lease, err := b.lease(q, <-assigned)
	if lease != nil {
		lease.Release()
		err = ctx.Err()
	}
	return nil, err
}

func (b *Balancer) arrive(q Query) (uint64, chan Assignment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	b.nextID++
	id := b.nextID
	assigned := make(chan Assignment, 1)
	b.waiters[id] = assigned
	b.deliver(b.core.Arrive(now, id, q))
	b.startTicking()
	return id, assigned
}

func (b *Balancer) cancel(service string, id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, waiting := b.waiters[id]; !waiting {
		return false
	}
	delete(b.waiters, id)
	b.core.Cancel(service, id)
	return true
}

func (b *Balancer) lease(q Query, a Assignment) (*Lease, error) {
	if a.Err != nil {
		return nil, a.Err
	}
	ended := Ended{Service: q.Service, Upstream: a.Upstream.ID, Customer: q.Customer, Class: q.Class, Cost: q.Cost, Started: time.Now()}
	return &Lease{Upstream: a.Upstream, release: func() { b.free(ended) }}, nil
}

func (b *Balancer) free(ended Ended) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	b.inFlight--
	b.deliver(b.core.Release(now, ended))
}

// refresh updates the core if there is a newer snapshot.
func (b *Balancer) refresh(now time.Time) {
	if newest := b.snapshot(); newest != b.lastSnapshot {
		b.lastSnapshot = newest
		b.deliver(b.core.Update(now, newest))
	}
}

func (b *Balancer) deliver(assignments []Assignment) {
	for _, a := range assignments {
		if a.Err == nil {
			b.inFlight++
		}
		b.waiters[a.ID] <- a
		delete(b.waiters, a.ID)
	}
}

// startTicking starts ticks, which continue while requests wait or run and end
// after one more.
func (b *Balancer) startTicking() {
	if !b.ticking {
		b.ticking = true
		time.AfterFunc(tickInterval, b.tick)
	}
}

func (b *Balancer) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.refresh(now)
	b.deliver(b.core.Tick(now))
	idle := len(b.waiters)+b.inFlight == 0
	if idle || now.Sub(b.reportedAt) >= demandInterval {
		b.reportedAt = now
		for _, demand := range b.core.Demand() {
			b.report(demand)
		}
	}
	b.ticking = !idle
	if b.ticking {
		time.AfterFunc(tickInterval, b.tick)
	}
}
