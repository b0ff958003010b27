package control

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Snapshot is what the control state looked like at a time. It and all that it
// points to are never changed after it was published.
type Snapshot struct {
	At   time.Time
	Self Self
	// Document is the configuration in force, nil before the first; Offset is
	// its offset in the log.
	Document *document.Document
	Offset   int64
	// Text is the text of Document as its author wrote it.
	Text string
	// Puts holds what became of the newest documents put to the log, oldest first.
	Puts []PutOutcome
	// LogUp tells whether the last call of the log service succeeded.
	LogUp bool
	// Leaving tells that this host is stopping; Deadline is when it must be gone.
	Leaving  bool
	Deadline time.Time
	// Hosts holds the live entry hosts, this one included, by ID. Hosts of
	// other regions are taken from the host list.
	Hosts map[string]EntryHost
	// Reclaims holds the hosts that are to go, of any role, with the time until
	// which each may be used; the zero time where that is not known.
	Reclaims map[string]time.Time
	// Upstreams holds the listed upstreams of each service.
	Upstreams map[string][]*Upstream
	// ServiceHosts holds the IDs of the hosts that own shares of the limits of
	// each service's upstreams, in regions where not all hosts do.
	ServiceHosts map[string][]string
	// Shares holds the share of new requests of each version, by service and route.
	Shares map[RouteKey][]VersionShare
	// Holds holds the fingerprints of requests that must not be dispatched,
	// with the time until which each is held.
	Holds map[uint64]time.Time
	// ActiveOffsets holds the offset of the configuration in force at each entry host.
	ActiveOffsets map[string]int64
	// Rollouts holds the state of each move to a new version.
	Rollouts []Rollout
}

// EntryHost is a live entry host.
type EntryHost struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Region      string
	// Leaving tells that the host takes no new callers.
	Leaving bool
}

// Upstream is one upstream with the limits under which this host may use it.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Class   document.HostClass
	Service string
	Version string
	// Available tells that the upstream may get new work: its zone is in, it is not
	// leaving and it is believed to be alive.
	Available bool
	// Limit is the number of requests that this host may have in flight there
	// until LimitUntil; after it the number is Floor. A zero LimitUntil sets no
	// end.
	Limit      int
	LimitUntil time.Time
	Floor      int
	// Capacity is the number of requests that the upstream is believed to bear
	// from all entry hosts together.
	Capacity int
	// Owners is the number of hosts that own equal shares of Capacity, 0 when
	// this host is none of them.
	Owners int
	// Cold tells that the upstream is in cold start.
	Cold bool
	// Load estimates the share of the upstream's slots in use over all entry
	// hosts, from 0. LoadSeen changes with each new report.
	Load        float64
	LoadVersion uint64
	// Price is the price of the host for an hour.
	Price float64
	// Prefixes holds the hashes of prompt prefixes in its cache; nil if unknown.
	Prefixes map[uint64]struct{}
}

// LimitAt returns the number of requests that this host may have in flight at
// the upstream at a time.
func (u *Upstream) LimitAt(now time.Time) int {
	if u.LimitUntil.IsZero() || now.Before(u.LimitUntil) {
		return u.Limit
	}
	return u.Floor
}

// RouteKey names a route of a service.
type RouteKey struct {
	Service, Route string
}

// VersionShare is the share of new requests that goes to a version.
type VersionShare struct {
	Version string
	Share   float64
}

// PutVerdict says what became of a document that was put to the log.
type PutVerdict string

// The verdicts.
const (
	// PutAccepted means that the document came in force.
	PutAccepted PutVerdict = "accepted"
	// PutStale means that another document had replaced its base.
	PutStale PutVerdict = "stale"
	// PutInvalid means that the document has faults.
	PutInvalid PutVerdict = "invalid"
)

// PutOutcome is the outcome of one document that was put to the log.
type PutOutcome struct {
	// ID is the writer's unique name for the entry.
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	// Offset is the entry's offset; Base is the offset that it built on.
	Offset  int64      `json:"offset"`
	Base    int64      `json:"base"`
	Verdict PutVerdict `json:"verdict"`
}

// Put returns the outcome of the entry of an ID.
func (s *Snapshot) Put(id string) (PutOutcome, bool) {
	for _, put := range s.Puts {
		if put.ID == id {
			return put, true
		}
	}
	return PutOutcome{}, false
}

// RolloutPhase says how far a move to a new version is.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutInProgress RolloutPhase = "moving"
	RolloutDone       RolloutPhase = "done"
	RolloutRolledBack RolloutPhase = "taken back"
)

// Rollout is the state of a move to a new version.
type Rollout struct {
	Service, Version string
	// Offset is the offset of the configuration that started the move.
	Offset int64
	Phase  RolloutPhase
	By     time.Time
	// Reason says why the version was taken back.
	Reason string
	// Share is the version's share of new requests, Next the largest that it
	// may get at the next step.
	Share, Next float64
}

// Upstream returns the upstream of an ID, or nil.
func (s *Snapshot) Upstream(id string) *Upstream {
	for _, list := range s.Upstreams {
		for _, u := range list {
			if u.ID == id {
				return u
			}
		}
	}
	return nil
}

// Held reports whether a fingerprint must not be dispatched at a time.
func (s *Snapshot) Held(fingerprint uint64, now time.Time) bool {
	until, held := s.Holds[fingerprint]
	return held && now.Before(until)
}

// Rank returns the number of hosts with a lower ID. Hosts that all may do a
// thing wait by their rank, so that usually the first does it alone.
func Rank(id string, hosts []EntryHost) int {
	rank := 0
	for _, host := range hosts {
		if host.ID < id {
			rank++
		}
	}
	return rank
}
