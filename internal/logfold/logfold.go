// Package logfold folds a stream of the log service into a state that is the
// same on every host, also on one that starts after early records expired.
//
// A checkpoint is a record that holds the state after all records before an
// offset. That statement stays true whatever is appended between, so a reader
// that starts late takes any retained checkpoint and folds the records from
// its offset on.
//
// Invariant: entries are idempotent; folding a copy of an entry that took
// effect changes nothing. An append that is tried again needs no other care.
package logfold

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Apply folds one entry into a state. Entries that do not apply are ignored;
// it must depend on nothing but its arguments.
type Apply[S any] func(state *S, rec logsvc.Record, entry json.RawMessage)

// envelope is the content of a record: an entry or a checkpoint.
type envelope struct {
	Entry      json.RawMessage `json:"entry,omitempty"`
	Checkpoint *checkpoint     `json:"checkpoint,omitempty"`
}

type checkpoint struct {
	// Through is the offset before which all records are in State.
	Through int64           `json:"through"`
	State   json.RawMessage `json:"state"`
}

// EncodeEntry returns the content of a record that holds an entry.
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
	// known is false until the fold saw the stream's start or a checkpoint.
	known   bool
	pending []logsvc.Record
	// lastCheckpoint is the time of the newest checkpoint seen, or of the
	// first entry where there is none.
	lastCheckpoint time.Time
}

// New returns a fold at the start of a stream.
func New[S any](apply Apply[S]) *Fold[S] {
	return &Fold[S]{apply: apply, known: true}
}

// State returns the state. It is valid only when Complete.
func (f *Fold[S]) State() *S { return &f.state }

// Complete reports whether the state covers all records before Next.
func (f *Fold[S]) Complete() bool { return f.known }

// Next returns the offset of the next record to fold.
func (f *Fold[S]) Next() int64 { return f.next }

// Truncate tells that records before an offset expired unread.
func (f *Fold[S]) Truncate(oldest int64) {
	if oldest <= f.next {
		return
	}
	f.next = oldest
	f.known = false
	f.pending = nil
}

// SetState sets a state that was learnt elsewhere, through an offset. An older
// state than the fold's own is ignored.
func (f *Fold[S]) SetState(state S, through int64) {
	if f.known && through <= f.next {
		return
	}
	f.state = state
	f.known = true
	f.resume(through)
}

// resume folds the pending records from an offset on.
func (f *Fold[S]) resume(through int64) {
	f.next = max(f.next, through)
	pending := f.pending
	f.pending = nil
	for _, rec := range pending {
		if rec.Offset >= through {
			f.fold(rec)
		}
	}
}

// ApplyRecord folds a record. Records before Next are ignored.
func (f *Fold[S]) ApplyRecord(rec logsvc.Record) {
	if rec.Offset < f.next {
		return
	}
	f.next = rec.Offset + 1
	if !f.known {
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

// tryCheckpoint makes the state known if a record is a checkpoint through an
// offset from which on all records are at hand.
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
	f.known = true
	f.resume(e.Checkpoint.Through)
}

// Due reports whether a checkpoint should be appended because the newest is
// older than an age.
func (f *Fold[S]) Due(now time.Time, age time.Duration) bool {
	return f.known && f.next > 0 && now.Sub(f.lastCheckpoint) >= age
}

// Checkpoint returns the content of a checkpoint record of the present state.
func (f *Fold[S]) Checkpoint() ([]byte, error) {
	state, err := json.Marshal(f.state)
	if err != nil {
		return nil, fmt.Errorf("encode checkpoint: %w", err)
	}
	return json.Marshal(envelope{Checkpoint: &checkpoint{Through: f.next, State: state}})
}
