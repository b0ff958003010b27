package claim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// Window is the age up to which a key may be claimed. Entries are kept
	// longer than that, so that no key is claimed after its entry is gone.
	Window = time.Hour
	// Skew bounds the difference between a caller's clock and the log's.
	Skew = 5 * time.Minute
	// keep is how long an entry stays after its first record.
	keep = Window + 2*Skew
	// keepUndated is how long the entry of a key without a birth time stays.
	// Such a key can be claimed again afterwards.
	keepUndated = 24 * time.Hour
	// sweepInterval is the least time between two removals of old entries.
	sweepInterval = time.Minute
)

// Holder names one claim of one process. Numbers are never used twice by an
// incarnation.
type Holder struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Number      uint64 `json:"number"`
}

// Batch is the content of a record: changes that take effect in order.
type Batch struct {
	Ops []Op `json:"ops"`
}

// Op is one change; exactly one field is set.
type Op struct {
	Acquire *AcquireOp `json:"acquire,omitempty"`
	Release *ReleaseOp `json:"release,omitempty"`
	Result  *ResultOp  `json:"result,omitempty"`
	Retire  *RetireOp  `json:"retire,omitempty"`
}

// mayLinger reports whether the append of a change is not urgent.
func (o Op) mayLinger() bool { return o.Result != nil && o.Result.Ticket }

// AcquireOp asks for the right to dispatch a key.
type AcquireOp struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Holder      Holder `json:"holder"`
}

// ReleaseOp gives a claim up that was certainly not dispatched. It holds also
// for copies of the claim that arrive later.
type ReleaseOp struct {
	Key    string `json:"key"`
	Holder Holder `json:"holder"`
}

// ResultOp records how a dispatched call ended.
type ResultOp struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fingerprint"`
	Holder      Holder `json:"holder"`
	// Ticket tells that the key itself names the holder, so that no claim
	// comes before the result.
	Ticket bool           `json:"ticket,omitempty"`
	Result request.Result `json:"result"`
}

// RetireOp tells that an incarnation has ended: of its claims and tickets in
// this shard, those without a result never ran and never will.
type RetireOp struct {
	Incarnation string `json:"incarnation"`
}

// State is what the records of one shard amount to.
type State struct {
	Entries map[string]*Entry `json:"entries"`
	// Retired holds the ended incarnations with the time of their record.
	Retired map[string]time.Time `json:"retired"`
	Swept   time.Time            `json:"swept"`
	// Since is the time of the earliest record that the state covers; zero if
	// it covers all. Nothing is known of keys made before it.
	Since time.Time `json:"since,omitzero"`
}

// Entry is what is known of a key.
type Entry struct {
	// Seen is the time of the first record of the key.
	Seen time.Time `json:"seen"`
	// Holder is the claim that holds the right; zero if none does.
	Holder      Holder          `json:"holder"`
	Fingerprint uint64          `json:"fingerprint"`
	Result      *request.Result `json:"result,omitempty"`
	// Released holds the claims that were given up.
	Released []Holder `json:"released,omitempty"`
}

// Held reports whether a claim holds the right.
func (e *Entry) Held() bool { return e != nil && e.Holder != Holder{} }

// Apply folds a record into a shard's state. Folding a copy of a record that
// was folded before changes nothing.
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

// sweep removes what no later record can concern any more.
func (s *State) sweep(at time.Time) {
	if at.Sub(s.Swept) < sweepInterval {
		return
	}
	s.Swept = at
	horizon := at.Add(-keep)
	for key, e := range s.Entries {
		if e.Seen.Before(at.Add(-keepOf(key))) {
			delete(s.Entries, key)
		}
	}
	for incarnation, retired := range s.Retired {
		if retired.Before(horizon) {
			delete(s.Retired, incarnation)
		}
	}
}

// keepOf returns how long the entry of a key stays after its first record.
func keepOf(key string) time.Duration {
	if _, err := CreatedAt(key); err != nil {
		return keepUndated
	}
	return keep
}
