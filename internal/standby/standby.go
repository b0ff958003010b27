// Package standby stores copies of accepted requests that can wait at other hosts,
// so that another host runs a request if the host that accepted it dies without
// notice. A copy is stored at the first of handoff.Receivers that accepts it; their
// order follows handoff.Rank, by which other hosts look for the request then.
package standby

import (
	"context"
	"sync"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/handoff"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// copyTimeout bounds how long the acceptance of a request waits for its copy.
	copyTimeout = 250 * time.Millisecond
	// checkInterval is the time between two checks whether the hosts of copied
	// requests are live.
	checkInterval = 500 * time.Millisecond
	// gracePeriod is how long a host must be missing before its requests are run
	// here.
	gracePeriod = 2 * time.Second
	// maxCopies is the maximum number of copies on one host.
	maxCopies = 20000
)

// Standby stores copies for other hosts and sends copies of this host's requests.
type Standby struct {
	Snapshot func() *control.Snapshot
	Dialer   dial.Dialer
	// Adopt takes over a request and reports whether this host could.
	Adopt func(dispatch.Transfer) bool

	mu     sync.Mutex
	copies map[string]*entry
}

// entry is a stored copy of a request.
type entry struct {
	request *request.Request
	// from and incarnation identify the process that accepted the request.
	from        string
	incarnation string
	// missingSince is when the host of the request was first seen not to be live;
	// zero while it is live.
	missingSince time.Time
}

var _ dispatch.Copier = (*Standby)(nil)

// Copy implements dispatch.Copier. It reports whether a peer stored the copy in
// time; otherwise the request is accepted without one.
func (s *Standby) Copy(ctx context.Context, req *request.Request) bool {
	snapshot := s.Snapshot()
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	for _, to := range handoff.Receivers(snapshot, req.ID) {
		_, err := s.Dialer.Peer(to.Address).Keep(ctx, &peerv1.KeepRequest{
			From: snapshot.Self.ID, Incarnation: snapshot.Self.Incarnation,
			Accepted: []*peerv1.Accepted{req.ToPeer()},
		})
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			break
		}
	}
	return false
}

// Receive stores copies for another host. Copies beyond maxCopies are dropped.
func (s *Standby) Receive(req *peerv1.KeepRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copies == nil {
		s.copies = map[string]*entry{}
	}
	for _, accepted := range req.GetAccepted() {
		if len(s.copies) < maxCopies {
			s.copies[accepted.GetId()] = &entry{
				request: request.FromPeer(accepted), from: req.GetFrom(), incarnation: req.GetIncarnation(),
			}
		}
	}
}

// Run takes over the requests of dead hosts until ctx is done.
func (s *Standby) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, req := range s.orphans(now) {
				s.Adopt(dispatch.Transfer{Request: req})
			}
		}
	}
}

// orphans removes and returns the requests whose host died. It drops copies of
// requests past their deadline and of hosts that are leaving, since these hand
// over their requests themselves.
func (s *Standby) orphans(now time.Time) []*request.Request {
	hosts := s.Snapshot().Hosts
	s.mu.Lock()
	defer s.mu.Unlock()
	var orphans []*request.Request
	for id, e := range s.copies {
		host, live := hosts[e.from]
		sameProcess := host.Incarnation == "" || host.Incarnation == e.incarnation
		switch {
		case now.After(e.request.Deadline), live && sameProcess && host.Leaving:
			delete(s.copies, id)
		case live && sameProcess:
			e.missingSince = time.Time{}
		case e.missingSince.IsZero():
			e.missingSince = now
		case now.Sub(e.missingSince) >= gracePeriod:
			delete(s.copies, id)
			orphans = append(orphans, e.request)
		}
	}
	return orphans
}
