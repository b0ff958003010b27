package fleet

import (
	"encoding/json"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

const (
	// leaseTime is how long a lease lasts after the record that took or
	// renewed it, by the clock of the log service.
	leaseTime = 30 * time.Second
	// clockMargin separates the end of a lease at its holder from the moment
	// at which another host may take it. It covers the difference in the rate
	// of clocks and the longest call that a holder may have under way.
	clockMargin = 5 * time.Second
	// retiredKeep is how long a retired host's ID is remembered.
	retiredKeep = 6 * time.Hour
)

// Host is a host that the fleet wants to run. Its ID is never used again.
type Host struct {
	ID      string             `json:"id"`
	Version string             `json:"version"`
	Zone    string             `json:"availabilityZone"`
	Class   document.HostClass `json:"class"`
	// Loaded tells that the engine carried out the order to load its weights.
	Loaded bool `json:"loaded,omitempty"`
}

// Lease is the right to control the fleet of a service.
type Lease struct {
	// Host and Incarnation name the holder's process.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Fence is the offset of the record that took the lease: the fencing token.
	Fence int64 `json:"fence"`
	// Renewed is the log service's time of the newest record of the holder.
	Renewed time.Time `json:"renewed"`
}

// free reports whether another process may take the lease at a time.
func (l Lease) free(at time.Time) bool {
	return l.Incarnation == "" || at.Sub(l.Renewed) > leaseTime+clockMargin
}

// Service is the state of one service's fleet.
type Service struct {
	Lease Lease `json:"lease"`
	// Wanted holds the hosts to be running by ID.
	Wanted map[string]Host `json:"wanted"`
	// Retired holds when hosts ceased to be wanted, by ID.
	Retired map[string]time.Time `json:"retired"`
}

// State is the fold of the stream.
type State struct {
	Services map[string]Service `json:"services"`
}

// Entry is the log entry of a holder of a lease or of a host that takes it.
type Entry struct {
	Service     string `json:"service"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Take asks for the lease, if it is free; else the entry needs the fencing
	// token Fence of the lease in force.
	Take  bool  `json:"take,omitempty"`
	Fence int64 `json:"fence"`
	// Want adds hosts or replaces them, Retire removes them.
	Want   []Host   `json:"want,omitempty"`
	Retire []string `json:"retire,omitempty"`
}

// Apply folds an Entry.
func Apply(state *State, rec logsvc.Record, data json.RawMessage) {
	var e Entry
	if json.Unmarshal(data, &e) != nil || e.Service == "" || e.Incarnation == "" {
		return
	}
	s := state.Services[e.Service]
	switch {
	case e.Take && s.Lease.free(rec.Time):
		s.Lease = Lease{Host: e.Host, Incarnation: e.Incarnation, Fence: rec.Offset}
	case e.Take, e.Incarnation != s.Lease.Incarnation, e.Fence != s.Lease.Fence:
		return
	}
	s.Lease.Renewed = rec.Time
	s.change(&e, rec.Time)
	if state.Services == nil {
		state.Services = map[string]Service{}
	}
	state.Services[e.Service] = s
}

func (s *Service) change(e *Entry, at time.Time) {
	if s.Wanted == nil {
		s.Wanted = map[string]Host{}
		s.Retired = map[string]time.Time{}
	}
	for _, host := range e.Want {
		if _, retired := s.Retired[host.ID]; !retired {
			s.Wanted[host.ID] = host
		}
	}
	for _, id := range e.Retire {
		delete(s.Wanted, id)
		if _, known := s.Retired[id]; !known {
			s.Retired[id] = at
		}
	}
	for id, retired := range s.Retired {
		if at.Sub(retired) > retiredKeep {
			delete(s.Retired, id)
		}
	}
}
