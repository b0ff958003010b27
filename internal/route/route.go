// Package route assigns requests to upstreams.
package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

// ErrDeadline is returned if no upstream was free before the deadline.
var ErrDeadline = errors.New("no upstream free before the deadline")

// retryInterval is the longest time between two attempts to choose an upstream.
const retryInterval = 50 * time.Millisecond

// Query describes a request that needs an upstream.
type Query struct {
	Service, Route, Customer string
	Class                    document.Class
	Deadline                 time.Time
	// Prefix is the hash of the prompt's prefix; 0 if there is none.
	Prefix uint64
	// Cost is the estimated work of the request, in tokens.
	Cost int
	// Version pins the request to a version; empty leaves the choice open.
	Version string
	// Exclude holds the IDs of upstreams that must not be chosen.
	Exclude map[string]bool
}

// Lease is the right to send one request to an upstream.
type Lease struct {
	Upstream *control.Upstream
	release  func()
	once     sync.Once
}

// Release returns the lease. Further calls do nothing.
func (l *Lease) Release() { l.once.Do(l.release) }

// Router assigns requests to upstreams.
type Router interface {
	// Acquire waits for an upstream that may take the request. Its errors are
	// ErrDeadline, *OverloadError and the context's.
	Acquire(ctx context.Context, q Query) (*Lease, error)
}

// LeastLoaded is a Router that chooses the upstream with the lowest share of its
// limit in use.
type LeastLoaded struct {
	snapshot func() *control.Snapshot

	mu       sync.Mutex
	inFlight map[string]int
	freed    chan struct{}
	rand     *rand.Rand
}

var _ Router = (*LeastLoaded)(nil)

// NewLeastLoaded returns a router that uses the newest snapshot. Its random
// choices are determined by seed.
func NewLeastLoaded(snapshot func() *control.Snapshot, seed uint64) *LeastLoaded {
	return &LeastLoaded{
		snapshot: snapshot,
		inFlight: map[string]int{},
		freed:    make(chan struct{}),
		rand:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Acquire implements Router.
func (r *LeastLoaded) Acquire(ctx context.Context, q Query) (*Lease, error) {
	for {
		lease, freed := r.try(q)
		if lease != nil {
			return lease, nil
		}
		if !time.Now().Before(q.Deadline) {
			return nil, ErrDeadline
		}
		timer := time.NewTimer(min(retryInterval, time.Until(q.Deadline)))
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
		timer.Stop()
	}
}

func (r *LeastLoaded) try(q Query) (*Lease, <-chan struct{}) {
	snapshot := r.snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	version := q.Version
	if version == "" {
		version = r.drawVersion(snapshot.Shares[control.RouteKey{Service: q.Service, Route: q.Route}])
	}
	var best *control.Upstream
	for _, u := range snapshot.Upstreams[q.Service] {
		if !u.Available || u.Version != version || q.Exclude[u.ID] || r.inFlight[u.ID] >= u.LimitAt(time.Now()) {
			continue
		}
		if best == nil || r.utilization(u) < r.utilization(best) {
			best = u
		}
	}
	if best == nil {
		return nil, r.freed
	}
	r.inFlight[best.ID]++
	return &Lease{Upstream: best, release: func() { r.free(best.ID) }}, nil
}

func (r *LeastLoaded) utilization(u *control.Upstream) float64 {
	return float64(r.inFlight[u.ID]) / float64(u.Limit)
}

func (r *LeastLoaded) drawVersion(shares []control.VersionShare) string {
	draw := r.rand.Float64()
	for _, s := range shares {
		if draw -= s.Share; draw < 0 {
			return s.Version
		}
	}
	return ""
}

func (r *LeastLoaded) free(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[id]--
	close(r.freed)
	r.freed = make(chan struct{})
}
