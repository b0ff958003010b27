// Package standby keeps copies of accepted requests that may wait, so that
// another host runs them when the host that accepted them dies without notice.
// The copy of a request is at the host at which others look for it then.
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
	// copyTimeout bounds how long an acceptance waits for its copy.
	copyTimeout = 250 * time.Millisecond
	// checkInterval is the time between two looks at the hosts of the copies.
	checkInterval = 500 * time.Millisecond
	// graceTime is how long a host must be gone before its requests are run.
	graceTime = 2 * time.Second
	// maxCopies bounds the copies on one host.
	maxCopies = 20000
)

// Standby holds the copies for other hosts and sends those of this one.
type Standby struct {
	Snapshot func() *control.Snapshot
	Dialer   dial.Dialer
	// Adopt takes a request over; it reports false where this host cannot.
	Adopt func(dispatch.Transfer) bool

	mu     sync.Mutex
	copies map[string]*entry
}

// entry is one copy.
type entry struct {
	request     *request.Request
	from        string
	incarnation string
	// gone is since when the host of the request is not live.
	gone time.Time
}

var _ dispatch.Copier = (*Standby)(nil)

// Copy implements dispatch.Copier. Without a peer that takes the copy in time
// the request is accepted without one; Copy then reports false.
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

// Receive stores copies for another host.
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

// Run takes over the requests of dead hosts until the context ends.
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

// orphans removes and returns the requests whose host died. Copies for hosts
// that leave as planned are dropped: those hand their requests over.
func (s *Standby) orphans(now time.Time) []*request.Request {
	hosts := s.Snapshot().Hosts
	s.mu.Lock()
	defer s.mu.Unlock()
	var orphans []*request.Request
	for id, e := range s.copies {
		host, live := hosts[e.from]
		same := host.Incarnation == "" || host.Incarnation == e.incarnation
		switch {
		case now.After(e.request.Deadline), live && same && host.Leaving:
			delete(s.copies, id)
		case live && same:
			e.gone = time.Time{}
		case e.gone.IsZero():
			e.gone = now
		case now.Sub(e.gone) >= graceTime:
			delete(s.copies, id)
			orphans = append(orphans, e.request)
		}
	}
	return orphans
}
