// Package checkpoint decides when a host appends a checkpoint of a stream that
// all hosts fold, so that the state outlives the retention of its records and
// usually only one host appends.
package checkpoint

import (
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
)

const (
	// maxAge is the age of the newest checkpoint at which the host with the
	// lowest ID appends another; stagger is added for each live host with a
	// lower ID.
	maxAge  = 10 * time.Minute
	stagger = 20 * time.Second
	// retryInterval is the least time between two appends by one host.
	retryInterval = time.Minute
)

// Fold is the folded state of a stream; logfold.Fold implements it.
type Fold interface {
	Due(now time.Time, age time.Duration) bool
	Checkpoint() ([]byte, error)
	Next() int64
}

// Writer appends the checkpoints of one stream for one host.
type Writer struct {
	self       control.Self
	stream     string
	rank       int
	appendedAt time.Time
}

// NewWriter returns a writer for a stream.
func NewWriter(self control.Self, stream string) Writer {
	return Writer{self: self, stream: stream}
}

// SetMembers sets the live hosts, which determine when this host appends.
func (w *Writer) SetMembers(hosts []control.EntryHost) { w.rank = control.Rank(w.self.ID, hosts) }

// Tick returns the append of a checkpoint if one is due.
func (w *Writer) Tick(now time.Time, fold Fold) []control.Output {
	if now.Sub(w.appendedAt) < retryInterval || !fold.Due(now, maxAge+time.Duration(w.rank)*stagger) {
		return nil
	}
	data, err := fold.Checkpoint()
	if err != nil {
		return nil
	}
	w.appendedAt = now
	id := fmt.Sprintf("checkpoint/%s/%d", w.self.Incarnation, fold.Next())
	return []control.Output{control.Append{Stream: w.stream, ID: id, Data: data}}
}
