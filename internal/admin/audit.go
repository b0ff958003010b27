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
	maxAuditDiff = 4 << 10
	auditPage    = 256
)

// AuditEntry tells of one attempt to change the configuration.
type AuditEntry struct {
	Time time.Time `json:"time"`
	// Host is the entry host through which the caller came.
	Host   string         `json:"host"`
	Who    string         `json:"who"`
	Role   access.Role    `json:"role"`
	Note   string         `json:"note,omitempty"`
	Base   int64          `json:"base"`
	ID     string         `json:"id,omitempty"`
	Status publish.Status `json:"status"`
	// Offset is the offset of an accepted document.
	Offset int64 `json:"offset"`
	// Diff is the start of the difference from the document in force.
	Diff string `json:"diff"`
}

func newAuditEntry(id access.Identity, change Change, before string, answer PutResponse) AuditEntry {
	diff := textdiff.Unified(before, change.Document, "before", "after")
	return AuditEntry{
		Time: time.Now(), Who: id.Name, Role: id.Role, Note: change.Note, Base: change.Base,
		ID: answer.ID, Status: answer.Status, Offset: answer.Offset, Diff: diff[:min(len(diff), maxAuditDiff)],
	}
}

// trail is the audit trail in the log service.
type trail struct {
	log    logsvc.Log
	host   string
	events *event.Logger
}

// append keeps an entry. While the log is out the entry is only in the
// structured log of the host.
func (t *trail) append(ctx context.Context, entry AuditEntry) {
	entry.Host = t.host
	data, err := json.Marshal(entry)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, auditTimeout)
		defer cancel()
		_, err = t.log.Append(ctx, logsvc.StreamAudit, "audit/"+entry.ID, data)
	}
	if err != nil {
		t.events.Emit(eventAuditLost, zap.String("who", entry.Who), zap.String("diff", entry.Diff), zap.Error(err))
	}
}

// newest returns the newest entries that are retained, oldest first.
func (t *trail) newest(ctx context.Context, limit int) ([]AuditEntry, error) {
	entries := []AuditEntry{}
	var next int64
	for {
		page, err := t.log.Read(ctx, logsvc.StreamAudit, next, auditPage, 0)
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
