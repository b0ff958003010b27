package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/route"
)

// fixedLimits divides the limit of each upstream equally among the live hosts.
type fixedLimits struct {
	document *document.Document
	listed   []hostlist.Host
	members  int
}

// Step implements limiter.
func (l *fixedLimits) Step(_ time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		l.document = in.Document
	case control.HostsListed:
		l.listed = in.List.Hosts
	case control.MembersChanged:
		l.members = len(in.Hosts)
	}
	return nil
}

// Publish implements limiter.
func (l *fixedLimits) Publish(_ time.Time, next *control.Snapshot) {
	next.Upstreams = map[string][]*control.Upstream{}
	members := max(1, l.members)
	for _, host := range l.listed {
		s := l.document.Service(host.Service)
		if host.Role != hostlist.RoleUpstream || s == nil {
			continue
		}
		next.Upstreams[host.Service] = append(next.Upstreams[host.Service], &control.Upstream{
			ID: host.ID, Zone: host.Zone, Service: host.Service, Version: host.Version,
			Available: !host.Leaving && control.ServingZone(l.document, host.Zone),
			Limit:     (s.Upstream.MaxInFlight + members - 1) / members,
		})
	}
}

// fifo serves requests in order of arrival.
type fifo struct {
	policy   Policy
	rand     *rand.Rand
	snapshot *control.Snapshot
	inFlight map[string]int
	queue    []queuedRequest
	next     int
}

type queuedRequest struct {
	id    uint64
	query route.Query
}

func newFIFO(policy Policy, seed uint64) *fifo {
	return &fifo{
		policy: policy, rand: rand.New(rand.NewPCG(seed, 0)),
		snapshot: &control.Snapshot{}, inFlight: map[string]int{},
	}
}

// Update implements router.
func (f *fifo) Update(now time.Time, snapshot *control.Snapshot) []route.Assignment {
	f.snapshot = snapshot
	return f.Tick(now)
}

// Arrive implements router.
func (f *fifo) Arrive(now time.Time, id uint64, q route.Query) []route.Assignment {
	f.queue = append(f.queue, queuedRequest{id, q})
	return f.Tick(now)
}

// Release implements router.
func (f *fifo) Release(now time.Time, e route.Ended) []route.Assignment {
	f.inFlight[e.Upstream]--
	return f.Tick(now)
}

// Demand implements router.
func (f *fifo) Demand() []control.Demand { return nil }

// Tick implements router.
func (f *fifo) Tick(now time.Time) []route.Assignment {
	var out []route.Assignment
	kept := f.queue[:0]
	for i, w := range f.queue {
		if !now.Before(w.query.Deadline) {
			out = append(out, route.Assignment{ID: w.id, Err: route.ErrDeadline})
			continue
		}
		u := f.choose(w.query)
		if u == nil {
			if len(w.query.Exclude) > 0 {
				kept = append(kept, w)
				continue
			}
			kept = append(kept, f.queue[i:]...)
			break
		}
		f.inFlight[u.ID]++
		out = append(out, route.Assignment{ID: w.id, Upstream: u})
	}
	f.queue = kept
	return out
}

func (f *fifo) choose(q route.Query) *control.Upstream {
	list := f.snapshot.Upstreams[service]
	var best *control.Upstream
	if len(list) == 0 {
		return nil
	}
	offset := f.rand.IntN(len(list))
	if f.policy == RoundRobin {
		offset = f.next
	}
	for i := range list {
		u := list[(offset+i)%len(list)]
		if !u.Available || q.Exclude[u.ID] || f.inFlight[u.ID] >= u.Limit {
			continue
		}
		if f.policy == RoundRobin {
			f.next = (offset + i + 1) % len(list)
			return u
		}
		if best == nil || f.inFlight[u.ID] < f.inFlight[best.ID] {
			best = u
		}
	}
	return best
}
