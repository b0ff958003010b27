// Package publish puts documents in force through the log service and settles
// what became of each.
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

// Status says what became of a document.
type Status string

// The statuses.
const (
	// Accepted means that the document was read back from the log as the winner.
	Accepted Status = "accepted"
	// LostRace means that another document came first; nothing was put in force.
	LostRace Status = "lost race"
	// NotAccepted means that it is certain that nothing was accepted.
	NotAccepted Status = "not accepted"
	// Unknown means that the document may come in force yet; look again.
	Unknown Status = "unknown"
)

const (
	// appendTimeout bounds one append.
	appendTimeout = 5 * time.Second
	// settleTimeout bounds the wait for an entry to be read back after an append.
	settleTimeout = 3 * time.Second
	// maxAppends bounds the appends of one entry. A repeat is harmless, because
	// only the first copy of an ID counts.
	maxAppends = 3
	// settlePoll is the time between two looks at the snapshot.
	settlePoll = 20 * time.Millisecond
	idBytes    = 12
)

// Result is what became of a document.
type Result struct {
	// ID is the entry's name in the log, by which it can be looked up later.
	ID     string
	Status Status
	// Offset is the offset of the accepted document.
	Offset int64
	// Detail explains a status other than Accepted.
	Detail string
}

// Publisher puts documents in force.
type Publisher struct {
	Log      logsvc.Log
	Snapshot func() *control.Snapshot
}

// Put puts a valid document in force in place of the one at an offset.
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
	p.settle(ctx, &result, data)
	return result
}

// encode returns the log entry of a document, as a patch where that is shorter
// and keeps the text as its author wrote it.
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

// settle appends an entry until its outcome is read back.
func (p *Publisher) settle(ctx context.Context, result *Result, data []byte) {
	mayBeThere := false
	for range maxAppends {
		err := p.append(ctx, result.ID, data)
		mayBeThere = mayBeThere || !errors.Is(err, logsvc.ErrUnavailable)
		if !mayBeThere {
			result.Status = NotAccepted
			result.Detail = "the log service is down; nothing was accepted"
			return
		}
		if outcome, ok := p.await(ctx, result.ID); ok {
			conclude(result, outcome)
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

// await waits until the outcome of an entry is read back.
func (p *Publisher) await(ctx context.Context, id string) (control.PutOutcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(settlePoll)
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

// conclude turns the outcome in the log into a result.
func conclude(result *Result, outcome control.PutOutcome) {
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
