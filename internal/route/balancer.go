package route

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

const (
	// tickInterval is the time between two looks at the waiting requests when
	// nothing else happens.
	tickInterval = 10 * time.Millisecond
	// demandInterval is the shortest time between two reports of demand.
	demandInterval = 50 * time.Millisecond
)

// OverloadError says that a request would have to wait too long to be
// finished before its deadline. It was not run.
type OverloadError struct {
	// RetryAfter estimates how long the queue is.
	RetryAfter time.Duration
}

// Error gives the length of the queue.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("overload: the queue takes %v", e.RetryAfter.Round(time.Millisecond))
}

// Balancer is the Router that puts Core's decisions in force.
type Balancer struct {
	snapshot func() *control.Snapshot
	report   func(control.Input)

	mu       sync.Mutex
	core     *Core
	seen     *control.Snapshot
	nextID   uint64
	waiters  map[uint64]chan Assignment
	inFlight int
	ticking  bool
	reported time.Time
}

var _ Router = (*Balancer)(nil)

// NewBalancer returns a router over the newest snapshot. It reports the demand
// at this host; report must not block.
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
	id, answer := b.arrive(q)
	select {
	case a := <-answer:
		return b.lease(q, a)
	case <-ctx.Done():
	}
	if b.cancel(q.Service, id) {
		return nil, ctx.Err()
	}
	// The request was assigned at the same time.
	lease, err := b.lease(q, <-answer)
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
	answer := make(chan Assignment, 1)
	b.waiters[id] = answer
	b.deliver(b.core.Arrive(now, id, q))
	b.keepTicking()
	return id, answer
}

func (b *Balancer) cancel(service string, id uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, waits := b.waiters[id]; !waits {
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

// refresh takes the newest snapshot if there is a newer one.
func (b *Balancer) refresh(now time.Time) {
	if newest := b.snapshot(); newest != b.seen {
		b.seen = newest
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

// keepTicking ticks for as long as requests wait or run, and once more.
func (b *Balancer) keepTicking() {
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
	if idle || now.Sub(b.reported) >= demandInterval {
		b.reported = now
		for _, demand := range b.core.Demand() {
			b.report(demand)
		}
	}
	b.ticking = !idle
	if b.ticking {
		time.AfterFunc(tickInterval, b.tick)
	}
}
