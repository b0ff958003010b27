package claim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// MaxKeyAge is the age up to which a key may be claimed. Entries are retained
	// longer, so that no key is claimed after its entry was removed.
	MaxKeyAge = time.Hour
	// MaxClockSkew bounds the difference between a caller's clock and the log's.
	MaxClockSkew = 5 * time.Minute
	// entryRetention is how long an entry is retained after its first record.
	entryRetention = MaxKeyAge + 2*MaxClockSkew
	// undatedRetention is how long the entry of a key without a creation time is
	// retained. Such a key can be claimed again afterwards.
	undatedRetention = 24 * time.Hour
	// sweepInterval is the minimum time between two removals of old entries.
	sweepInterval = time.Minute
)

// Holder identifies one claim of one process. An incarnation never reuses a
// Number.
type Holder struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Number      uint64 `json:"number"`
}

// Batch is the entry in a record: operations that are applied in order.
type Batch struct {
	Ops []Op `json:"ops"`
}

// Op is one operation; exactly one field is set.
type Op struct {
	Acquire *AcquireOp `json:"acquire,omitempty"`
	Release *ReleaseOp `json:"release,omitempty"`
	Result  *ResultOp  `json:"result,omitempty"`
	Retire  *RetireOp  `json:"retire,omitempty"`
}

// deferrable reports whether the append of an operation may be delayed.
func (o Op) deferrable() bool { return o.Result != nil && o.Result.Ticket }

// AcquireOp claims the right to dispatch a key.
type AcquireOp struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Holder      Holder `json:"holder"`
}

// ReleaseOp gives up a claim whose call was certainly not dispatched. It also
// voids copies of the claim that arrive later.
type ReleaseOp struct {
	Key    string `json:"key"`
	Holder Holder `json:"holder"`
}

// ResultOp records how a dispatched call ended.
type ResultOp struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Holder      Holder `json:"holder"`
	// Ticket is set when the key is a ticket; it names its holder itself, so no
	// claim precedes the result.
	Ticket bool           `json:"ticket,omitempty"`
	Result request.Result `json:"result"`
}

// RetireOp records that an incarnation has ended: its claims and tickets in this
// shard that have no result never ran and never will.
type RetireOp struct {
	Incarnation string `json:"incarnation"`
}

// State is the state folded from the records of one shard.
type State struct {
	Entries map[string]*Entry `json:"entries"`
	// Retired maps the ended incarnations to the times of their records.
	Retired map[string]time.Time `json:"retired"`
	// Swept is the time of the last removal of old entries.
	Swept time.Time `json:"swept"`
	// Since is the time of the earliest record that the state includes; zero if
	// it includes all. Keys created before it may have records that are missing.
	Since time.Time `json:"since,omitzero"`
}

// Entry is the state of a key.
type Entry struct {
	// Seen is the time of the first record of the key.
	Seen time.Time `json:"seen"`
	// Holder is the claim that holds the right to dispatch; zero if none does.
	Holder      Holder          `json:"holder"`
	Fingerprint uint64          `json:"fingerprint"`
	Result      *request.Result `json:"result,omitempty"`
	// Released holds the claims that were given up.
	Released []Holder `json:"released,omitempty"`
}

// Held reports whether a claim holds the right to dispatch.
func (e *Entry) Held() bool { return e != nil && e.Holder != Holder{} }

// Apply folds a record into a shard's state. It is idempotent: applying a copy of
// an earlier record changes nothing.
func Apply(state *State, rec logsvc.Record, entry json.RawMessage) {
	var batch Batch
	if json.Unmarshal(entry, &batch) != nil {
		return
	}
	if state.Entries == nil {
		state.Entries = map[string]*Entry{}
	}
	if state.Retired == nil {
		state.Retired = map[string]time.Time{}
	}
	for _, op := range batch.Ops {
		state.apply(rec.Time, op)
	}
	state.sweep(rec.Time)
}

func (s *State) apply(at time.Time, op Op) {
	switch {
	case op.Acquire != nil:
		s.claim(at, op.Acquire)
	case op.Release != nil:
		s.release(at, op.Release)
	case op.Result != nil:
		s.result(at, op.Result)
	case op.Retire != nil:
		s.retire(at, op.Retire)
	}
}

func (s *State) entry(at time.Time, key string) *Entry {
	e := s.Entries[key]
	if e == nil {
		e = &Entry{Seen: at}
		s.Entries[key] = e
	}
	return e
}

func (s *State) claim(at time.Time, op *AcquireOp) {
	if _, retired := s.Retired[op.Holder.Incarnation]; retired || CheckAge(op.Key, at) != nil {
		return
	}
	e := s.entry(at, op.Key)
	if e.Held() || e.Result != nil || slices.Contains(e.Released, op.Holder) {
		return
	}
	e.Holder = op.Holder
	e.Fingerprint = op.Fingerprint
}

func (s *State) release(at time.Time, op *ReleaseOp) {
	e := s.entry(at, op.Key)
	if !slices.Contains(e.Released, op.Holder) {
		e.Released = append(e.Released, op.Holder)
	}
	if e.Holder == op.Holder && e.Result == nil {
		e.Holder = Holder{}
	}
}

func (s *State) result(at time.Time, op *ResultOp) {
	e := s.entry(at, op.Key)
	if e.Result != nil || (e.Holder != op.Holder && !op.Ticket) {
		return
	}
	e.Holder = op.Holder
	e.Fingerprint = op.Fingerprint
	result := op.Result
	e.Result = &result
}

func (s *State) retire(at time.Time, op *RetireOp) {
	if _, known := s.Retired[op.Incarnation]; known {
		return
	}
	s.Retired[op.Incarnation] = at
	for _, e := range s.Entries {
		if e.Holder.Incarnation == op.Incarnation && e.Result == nil {
			e.Holder = Holder{}
		}
	}
}

// sweep removes the entries and retired incarnations whose retention has expired.
func (s *State) sweep(at time.Time) {
	if at.Sub(s.Swept) < sweepInterval {
		return
	}
	s.Swept = at
	horizon := at.Add(-entryRetention)
	for key, e := range s.Entries {
		if e.Seen.Before(at.Add(-retentionOf(key))) {
			delete(s.Entries, key)
		}
	}
	for incarnation, retired := range s.Retired {
		if retired.Before(horizon) {
			delete(s.Retired, incarnation)
		}
	}
}

// retentionOf returns how long the entry of a key is retained after its first
// record.
func retentionOf(key string) time.Duration {
	if _, err := CreatedAt(key); err != nil {
		return undatedRetention
	}
	return entryRetention
}
