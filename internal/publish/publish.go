// Package publish puts documents into effect through the log service and
// determines the outcome.
package publish

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Status is the outcome of publishing a document.
type Status string

// Values of Status.
const (
	// Accepted means that the document was read back from the log as accepted.
	Accepted Status = "accepted"
	// LostRace means that another document was accepted first; this one has no
	// effect.
	LostRace Status = "lost race"
	// NotAccepted means that it is certain that the document was not accepted.
	NotAccepted Status = "not accepted"
	// Unknown means that the document may still take effect; check again later.
	Unknown Status = "unknown"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// readBackTimeout bounds the wait for an entry to be read back after an append.
	readBackTimeout = 3 * time.Second
	// maxAppends is the maximum number of appends of one entry. A repeat is
	// harmless, because only the first entry with an ID counts.
	maxAppends = 3
	// readBackInterval is the interval at which the snapshot is polled.
	readBackInterval = 20 * time.Millisecond
	idBytes          = 12
)

// Result is the outcome of publishing a document.
type Result struct {
	// ID identifies the entry in the log, so that it can be looked up later.
	ID     string
	Status Status
	// Offset is the log offset of the document if it was accepted.
	Offset int64
	// Detail explains a status other than Accepted.
	Detail string
}

// Publisher publishes documents.
type Publisher struct {
	Log      logsvc.Log
	Snapshot func() *control.Snapshot
}

// Put publishes a valid document that replaces the one at log offset base.
func (p *Publisher) Put(ctx context.Context, base int64, author, text string) Result {
	result := Result{ID: newID()}
	snapshot := p.Snapshot()
	if snapshot.Offset != base {
		result.Status = LostRace
		result.Detail = "another document came first; nothing was accepted"
		return result
	}
	data, err := encode(result.ID, base, author, snapshot.Text, text)
	if err != nil {
		result.Status = NotAccepted
		result.Detail = err.Error()
		return result
	}
	p.appendAndAwait(ctx, &result, data)
	return result
}

// encode returns the log entry of a document: a patch if that is shorter and
// reproduces the author's text byte for byte, else the text.
func encode(id string, base int64, author, from, to string) ([]byte, error) {
	put, err := config.NewPut(id, base, author, from, to)
	if err != nil {
		return nil, err
	}
	if len(put.Patch) > 0 {
		patched, err := jsonc.Patch([]byte(from), put.Patch)
		if err != nil || !bytes.Equal(patched, []byte(to)) {
			put.Document, put.Patch = to, nil
		}
	}
	return logfold.EncodeEntry(put)
}

// appendAndAwait appends an entry, repeatedly if necessary, until its outcome is
// read back, and sets it in result.
func (p *Publisher) appendAndAwait(ctx context.Context, result *Result, data []byte) {
	mayBeStored := false
	for range maxAppends {
		err := p.append(ctx, result.ID, data)
		mayBeStored = mayBeStored || !errors.Is(err, logsvc.ErrUnavailable)
		if !mayBeStored {
			result.Status = NotAccepted
			result.Detail = "the log service is down; nothing was accepted"
			return
		}
		if outcome, ok := p.await(ctx, result.ID); ok {
			setOutcome(result, outcome)
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	result.Status = Unknown
	result.Detail = "the log service took or may have taken the document and does not give it back; look again before you repeat"
}

func (p *Publisher) append(ctx context.Context, id string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.Log.Append(ctx, logsvc.StreamConfig, id, data)
	return err
}

// await waits at most readBackTimeout for the outcome of an entry to be read back,
// and reports whether it was.
func (p *Publisher) await(ctx context.Context, id string) (control.PutOutcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	ticker := time.NewTicker(readBackInterval)
	defer ticker.Stop()
	for {
		if outcome, ok := p.Snapshot().Put(id); ok {
			return outcome, true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return control.PutOutcome{}, false
		}
	}
}

// setOutcome sets a result from the outcome in the log.
func setOutcome(result *Result, outcome control.PutOutcome) {
	switch outcome.Verdict {
	case control.PutAccepted:
		result.Status = Accepted
		result.Offset = outcome.Offset
	case control.PutStale:
		result.Status = LostRace
		result.Detail = "another document came first; nothing was accepted"
	default:
		result.Status = NotAccepted
		result.Detail = "the document is not valid; nothing was accepted"
	}
}

func newID() string {
	buf := make([]byte, idBytes)
	_, _ = rand.Read(buf)
	return hex.EncodeToString(buf)
}
