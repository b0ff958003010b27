package admin

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/textdiff"
)

const (
	auditTimeout = 2 * time.Second
	// maxAuditDiff bounds the diff in an audit entry, in bytes.
	maxAuditDiff  = 4 << 10
	auditPageSize = 256
)

// AuditEntry records one attempt to change the configuration.
type AuditEntry struct {
	Time time.Time `json:"time"`
	// Host is the entry host that received the change.
	Host   string         `json:"host"`
	Who    string         `json:"who"`
	Role   access.Role    `json:"role"`
	Note   string         `json:"note,omitempty"`
	Base   int64          `json:"base"`
	ID     string         `json:"id,omitempty"`
	Status publish.Status `json:"status"`
	// Offset is the offset of an accepted document.
	Offset int64 `json:"offset"`
	// Diff is the start of the diff from the document that was active before.
	Diff string `json:"diff"`
}

func newAuditEntry(id access.Identity, change Change, before string, resp PutResponse) AuditEntry {
	diff := textdiff.Unified(before, change.Document, "before", "after")
	return AuditEntry{
		Time: time.Now(), Who: id.Name, Role: id.Role, Note: change.Note, Base: change.Base,
		ID: resp.ID, Status: resp.Status, Offset: resp.Offset, Diff: diff[:min(len(diff), maxAuditDiff)],
	}
}

// auditTrail stores audit entries in a stream of the log service.
type auditTrail struct {
	log    logsvc.Log
	host   string
	events *event.Logger
}

// append adds an entry. If it cannot be stored there, the entry is only in the
// structured log of the host.
func (t *auditTrail) append(ctx context.Context, entry AuditEntry) {
	entry.Host = t.host
	data, err := json.Marshal(entry)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, auditTimeout)
		defer cancel()
		_, err = t.log.Append(ctx, logsvc.StreamAudit, "audit/"+entry.ID, data)
	}
	if err != nil {
		t.events.Emit(eventAuditFailed, zap.String("who", entry.Who), zap.String("diff", entry.Diff), zap.Error(err))
	}
}

// newest returns up to limit of the newest retained entries, oldest first.
func (t *auditTrail) newest(ctx context.Context, limit int) ([]AuditEntry, error) {
	entries := []AuditEntry{}
	var next int64
	for {
		page, err := t.log.Read(ctx, logsvc.StreamAudit, next, auditPageSize, 0)
		var truncated *logsvc.TruncatedError
		if errors.As(err, &truncated) {
			next = truncated.Oldest
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, rec := range page.Records {
			var entry AuditEntry
			if json.Unmarshal(rec.Data, &entry) == nil {
				entries = append(entries, entry)
			}
		}
		entries = entries[max(0, len(entries)-limit):]
		if len(page.Records) == 0 {
			return entries, nil
		}
		next = page.Next
	}
}
