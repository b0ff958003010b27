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

// Entry is the newest record of a key and its offset in the topic.
type Entry struct {
	Key    string
	Value  []byte
	Offset int64
}

// Keyed is a topic that retains the newest record of each key.
type Keyed interface {
	// Newest returns the newest record of each key and the offset of the
	// topic's end.
	Newest(ctx context.Context, topic string) ([]Entry, int64, error)
	// Put writes a record of a key. With an offset at of 0 or more the write
	// takes effect only while the topic ends there; with AnyOffset it always
	// does. It returns the topic's new end.
	Put(ctx context.Context, topic, key string, value []byte, at int64) (int64, error)
}

// AnyOffset makes Put write regardless of where the topic ends.
const AnyOffset int64 = -1
