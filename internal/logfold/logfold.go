// Package logfold folds a stream of the log service into a state that is the
// same on every host, also on one that starts after early records expired.
//
// A checkpoint is a record that contains the state after all records before an
// offset. It is valid whatever is appended between that offset and the checkpoint,
// so a reader that starts late loads any retained checkpoint and folds the records
// from its offset on.
//
// Invariant: entries are idempotent; folding a copy of an entry that took
// effect changes nothing. Appends can therefore be retried.
package logfold

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Apply folds one entry into a state and ignores entries that do not apply. It
// must depend only on its arguments.
type Apply[S any] func(state *S, rec logsvc.Record, entry json.RawMessage)

// envelope is the content of a record: either an entry or a checkpoint.
type envelope struct {
	Entry      json.RawMessage `json:"entry,omitempty"`
	Checkpoint *checkpoint     `json:"checkpoint,omitempty"`
}

type checkpoint struct {
	// Through is the offset before which State includes all records.
	Through int64           `json:"through"`
	State   json.RawMessage `json:"state"`
}

// EncodeEntry returns the content of a record with an entry.
func EncodeEntry(entry any) ([]byte, error) {
	data, err := json.Marshal(entry)
	if err != nil {
		return nil, fmt.Errorf("encode entry: %w", err)
	}
	return json.Marshal(envelope{Entry: data})
}

// Fold is the state of one stream.
type Fold[S any] struct {
	apply Apply[S]
	state S
	// next is the offset of the next record to fold.
	next int64
	// complete is set when the state includes all records before next: from the
	// start of the stream or through a loaded checkpoint.
	complete bool
	// pending holds the records read while complete is not set.
	pending []logsvc.Record
	// lastCheckpoint is the time of the newest checkpoint that was read, or of the
	// first entry if there is none.
	lastCheckpoint time.Time
}

// New returns a fold at the start of a stream.
func New[S any](apply Apply[S]) *Fold[S] {
	return &Fold[S]{apply: apply, complete: true}
}

// State returns the state. It is valid only if Complete reports true.
func (f *Fold[S]) State() *S { return &f.state }

// Complete reports whether the state includes all records before Next.
func (f *Fold[S]) Complete() bool { return f.complete }

// Next returns the offset of the next record to fold.
func (f *Fold[S]) Next() int64 { return f.next }

// Truncate records that the records before an offset expired. If some of them were
// not folded, the state is no longer complete.
func (f *Fold[S]) Truncate(oldest int64) {
	if oldest <= f.next {
		return
	}
	f.next = oldest
	f.complete = false
	f.pending = nil
}

// SetState sets a state from another source that includes the records before
// through, and folds the pending records after it. A complete fold ignores a state
// that is not newer than its own.
func (f *Fold[S]) SetState(state S, through int64) {
	if f.complete && through <= f.next {
		return
	}
	f.state = state
	f.complete = true
	f.applyPending(through)
}

// applyPending folds the pending records from an offset on.
func (f *Fold[S]) applyPending(through int64) {
	f.next = max(f.next, through)
	pending := f.pending
	f.pending = nil
	for _, rec := range pending {
		if rec.Offset >= through {
			f.fold(rec)
		}
	}
}

// ApplyRecord folds a record or, if the state is not complete, keeps it until a
// checkpoint is read. Records before Next are ignored.
func (f *Fold[S]) ApplyRecord(rec logsvc.Record) {
	if rec.Offset < f.next {
		return
	}
	f.next = rec.Offset + 1
	if !f.complete {
		f.pending = append(f.pending, rec)
		f.tryCheckpoint(rec)
		return
	}
	f.fold(rec)
}

func (f *Fold[S]) fold(rec logsvc.Record) {
	var e envelope
	if json.Unmarshal(rec.Data, &e) != nil {
		return
	}
	if e.Checkpoint != nil {
		f.lastCheckpoint = rec.Time
		return
	}
	if f.lastCheckpoint.IsZero() {
		f.lastCheckpoint = rec.Time
	}
	f.apply(&f.state, rec, e.Entry)
}

// tryCheckpoint loads the state from a record if it is a checkpoint and all
// records from the checkpoint's offset on are pending.
func (f *Fold[S]) tryCheckpoint(rec logsvc.Record) {
	var e envelope
	if json.Unmarshal(rec.Data, &e) != nil || e.Checkpoint == nil {
		return
	}
	if e.Checkpoint.Through < f.pending[0].Offset {
		return
	}
	var state S
	if json.Unmarshal(e.Checkpoint.State, &state) != nil {
		return
	}
	f.state = state
	f.complete = true
	f.applyPending(e.Checkpoint.Through)
}

// Due reports whether a checkpoint should be appended: the state is complete, has
// records, and the newest checkpoint is at least as old as age.
func (f *Fold[S]) Due(now time.Time, age time.Duration) bool {
	return f.complete && f.next > 0 && now.Sub(f.lastCheckpoint) >= age
}

// Checkpoint returns the content of a checkpoint record of the current state.
func (f *Fold[S]) Checkpoint() ([]byte, error) {
	state, err := json.Marshal(f.state)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return json.Marshal(envelope{Checkpoint: &checkpoint{Through: f.next, State: state}})
}
