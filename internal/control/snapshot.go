package control

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Snapshot is an immutable copy of the control state at a time. It and all that
// it points to are never changed after it was published.
type Snapshot struct {
	At   time.Time
	Self Self
	// Document is the active configuration, nil before the first; Offset is its
	// offset in the log.
	Document *document.Document
	Offset   int64
	// Text is the text of Document as its author wrote it.
	Text string
	// Puts holds the outcomes of the newest documents put to the log, oldest first.
	Puts []PutOutcome
	// LogUp is set when the last request to the log service succeeded.
	LogUp bool
	// Leaving is set when this host is stopping; Deadline is the time by which
	// it must have stopped.
	Leaving  bool
	Deadline time.Time
	// Hosts holds the live entry hosts, this one included, by ID. Hosts of
	// other regions are taken from the host list.
	Hosts map[string]EntryHost
	// Reclaims holds the hosts, of any role, that have a reclaim notice or are
	// listed as leaving, with the time until which each may be used; the zero
	// time if that is not known.
	Reclaims map[string]time.Time
	// Upstreams holds the listed upstreams of each service.
	Upstreams map[string][]*Upstream
	// ServiceHosts holds the IDs of the hosts that own shares of the limits of
	// each service's upstreams, in regions where not all hosts do.
	ServiceHosts map[string][]string
	// Shares holds each version's share of new requests, by service and route.
	Shares map[RouteKey][]VersionShare
	// Holds holds the fingerprints of requests that must not be dispatched,
	// with the time until which each is held.
	Holds map[uint64]time.Time
	// ActiveOffsets holds the offset of the active configuration of each entry host.
	ActiveOffsets map[string]int64
	Rollouts      []Rollout
}

// EntryHost is a live entry host.
type EntryHost struct {
	ID          string
	Incarnation string
	Address     string
	Zone        string
	Region      string
	// Leaving is set when the host accepts no new callers.
	Leaving bool
}

// Upstream is an upstream with the limits under which this host may use it.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Class   document.HostClass
	Service string
	Version string
	// Available is set when the upstream may get new requests: its zone is not
	// excluded, it is neither leaving nor retired and its circuit breaker is not
	// open.
	Available bool
	// Limit is the number of requests that this host may have in flight there
	// until LimitUntil; after that the number is Floor. With a zero LimitUntil,
	// Limit does not expire.
	Limit      int
	LimitUntil time.Time
	Floor      int
	// Capacity is the estimated number of requests in flight that the upstream
	// can handle from all entry hosts together.
	Capacity int
	// Owners is the number of hosts that own equal shares of Capacity, 0 if
	// this host is not one of them.
	Owners int
	// Cold is set when the upstream is in cold start.
	Cold bool
	// Load estimates the share of the upstream's slots in use over all entry
	// hosts, from 0. LoadVersion changes with each new report.
	Load        float64
	LoadVersion uint64
	// Price is the price of the host per hour.
	Price float64
	// Prefixes holds the hashes of the prompt prefixes in its cache; nil if unknown.
	Prefixes map[uint64]struct{}
}

// LimitAt returns the number of requests that this host may have in flight at
// the upstream at the time now.
func (u *Upstream) LimitAt(now time.Time) int {
	if u.LimitUntil.IsZero() || now.Before(u.LimitUntil) {
		return u.Limit
	}
	return u.Floor
}

// RouteKey identifies a route of a service.
type RouteKey struct {
	Service, Route string
}

// VersionShare is the share of new requests that goes to a version.
type VersionShare struct {
	Version string
	Share   float64
}

// PutVerdict is the verdict on a document that was put to the log.
type PutVerdict string

// The verdicts on a document.
const (
	// PutAccepted means that the document became active.
	PutAccepted PutVerdict = "accepted"
	// PutStale means that its base was not the active document.
	PutStale PutVerdict = "stale"
	// PutInvalid means that the document, or the patch that gives it, is not valid.
	PutInvalid PutVerdict = "invalid"
)

// PutOutcome is the outcome of one document that was put to the log.
type PutOutcome struct {
	// ID is the unique ID that the writer gave the entry.
	ID     string `json:"id"`
	Author string `json:"author,omitempty"`
	// Offset is the entry's offset; Base is the offset of the document that it
	// was to replace.
	Offset  int64      `json:"offset"`
	Base    int64      `json:"base"`
	Verdict PutVerdict `json:"verdict"`
}

// Put returns the outcome of the entry with an ID.
func (s *Snapshot) Put(id string) (PutOutcome, bool) {
	for _, put := range s.Puts {
		if put.ID == id {
			return put, true
		}
	}
	return PutOutcome{}, false
}

// RolloutPhase is the phase of a rollout.
type RolloutPhase string

// The phases of a rollout.
const (
	RolloutInProgress RolloutPhase = "moving"
	RolloutDone       RolloutPhase = "done"
	RolloutRolledBack RolloutPhase = "taken back"
)

// Rollout is the state of the move of a service's traffic to a target version.
type Rollout struct {
	Service, Version string
	// ConfigOffset is the log offset of the configuration that started the rollout.
	ConfigOffset int64
	Phase        RolloutPhase
	// By is the time by which the rollout is to be done.
	By time.Time
	// Reason is the reason of the rollback.
	Reason string
	// Share is the share of new requests that the rollout allows the version, Next
	// the largest share that it may allow at the next step.
	Share, Next float64
}

// Upstream returns the upstream with an ID, or nil.
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

// Held reports whether a request with the fingerprint must not be dispatched.
func (s *Snapshot) Held(fingerprint uint64, now time.Time) bool {
	until, held := s.Holds[fingerprint]
	return held && now.Before(until)
}

// Rank returns the number of hosts with a lower ID. Where any host may perform
// an action, each delays it in proportion to its rank, so that usually only the
// first host performs it.
func Rank(id string, hosts []EntryHost) int {
	rank := 0
	for _, host := range hosts {
		if host.ID < id {
			rank++
		}
	}
	return rank
}
