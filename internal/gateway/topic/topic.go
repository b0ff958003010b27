// Package topic defines the interface that the gateway needs of an append-only log.
package topic

import (
	"context"

	"github.com/rotisserie/eris"
)

// The errors of a Keyed topic.
var (
	// ErrUnavailable is returned when the log cannot be reached and the call had
	// no effect.
	ErrUnavailable = eris.New("log unavailable")
	// ErrConflict is returned when nothing was appended since the topic no longer
	// ended at the given offset.
	ErrConflict = eris.New("topic does not end at the expected offset")
	// ErrOutcomeUnknown is returned when an append may have taken effect or may
	// still do so later.
	ErrOutcomeUnknown = eris.New("outcome of the append unknown")
)

// Position is a position in a topic.
type Position struct {
	// Epoch rises each time that the log comes back from a copy: offsets go back then and
	// are given out again, so that one offset names different records in two epochs.
	Epoch int64
	// Offset is the number of records before the position.
	Offset int64
}

// Unread is the position of a reader that has read nothing.
var Unread = Position{Offset: -1}

// Anywhere makes Put write regardless of where the topic ends.
var Anywhere = Position{Offset: -1}

// Before reports whether a position is in an earlier epoch, or at a smaller offset of the
// same one.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch {
		return p.Epoch < other.Epoch
	}
	return p.Offset < other.Offset
}

// Entry is the newest record of a key and its offset in the topic.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Keyed is a topic that retains the newest record of each key.
type Keyed interface {
	// Newest returns the newest record of each key and the topic's end.
	Newest(ctx context.Context, topic string) ([]Entry, Position, error)
	// Put writes a record of a key. With a position at the write takes effect only
	// while the topic ends at its offset; with Anywhere it always does. In another epoch than
	// the position's the outcome is unknown: the offset may have been given out again. It
	// returns the topic's new end.
	Put(ctx context.Context, topic, key string, value []byte, at Position) (Position, error)
}
