package fleet

import (
	"encoding/json"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

const (
	// leaseDuration is how long a lease lasts after the record that took or
	// renewed it, by the clock of the log service.
	leaseDuration = 30 * time.Second
	// clockMargin is the time between the end of a lease at its holder and the
	// moment at which another host may take it. It covers the difference in
	// clock rates and the longest call that the holder may still be making.
	clockMargin = 5 * time.Second
	// retiredRetention is how long a retired host's ID is remembered.
	retiredRetention = 6 * time.Hour
)

// Host is a host that should run. Its ID is never reused.
type Host struct {
	ID      string             `json:"id"`
	Version string             `json:"version"`
	Zone    string             `json:"availabilityZone"`
	Class   document.HostClass `json:"class"`
	// Loaded is set when the engine has loaded the weights of Version.
	Loaded bool `json:"loaded,omitempty"`
}

// Lease is the right to control the fleet of a service.
type Lease struct {
	// Host and Incarnation identify the holder's process.
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Fence is the offset of the record that took the lease: the fencing token.
	Fence int64 `json:"fence"`
	// Renewed is the log service's time of the holder's newest record.
	Renewed time.Time `json:"renewed"`
}

// free reports whether another process may take the lease at the given time.
func (l Lease) free(at time.Time) bool {
	return l.Incarnation == "" || at.Sub(l.Renewed) > leaseDuration+clockMargin
}

// Service is the state of one service's fleet.
type Service struct {
	Lease Lease `json:"lease"`
	// Wanted holds the hosts that should run, by ID.
	Wanted map[string]Host `json:"wanted"`
	// Retired holds the time at which each host was retired, by ID.
	Retired map[string]time.Time `json:"retired"`
}

// State is the state folded from the stream.
type State struct {
	Services map[string]Service `json:"services"`
}

// Entry is a log entry of a lease holder or of a host that requests the lease.
type Entry struct {
	Service     string `json:"service"`
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	// Take requests the lease; the entry has no effect if the lease is not
	// free. Any other entry needs the fencing token of the current lease in
	// Fence.
	Take  bool  `json:"take,omitempty"`
	Fence int64 `json:"fence"`
	// Want adds or updates hosts, except retired ones; Retire removes hosts by ID.
	Want   []Host   `json:"want,omitempty"`
	Retire []string `json:"retire,omitempty"`
}

// Apply applies an Entry to the state. Entries that are malformed or lack the
// current fencing token change nothing.
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
	s.applyChange(&e, rec.Time)
	if state.Services == nil {
		state.Services = map[string]Service{}
	}
	state.Services[e.Service] = s
}

func (s *Service) applyChange(e *Entry, at time.Time) {
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
		if at.Sub(retired) > retiredRetention {
			delete(s.Retired, id)
		}
	}
}
