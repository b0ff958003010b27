package admin_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerAudit holds the entries in testdata/compat/audit.jsonl; every role and
// status occurs.
func formerAudit() []admin.AuditEntry {
	at := testcompat.Start.Add(time.Millisecond)
	return []admin.AuditEntry{
		{
			Time: at, Host: "entry-a", Who: "ana", Role: access.RoleOperator, Note: "more cakes", Base: 1, ID: "put-2",
			Status: publish.Accepted, Offset: 3, Diff: "-old\n+<new> & more\n",
		},
		{Time: at, Host: "entry-b", Who: "bo", Role: access.RoleTeam, Base: 4, ID: "put-5", Status: publish.LostRace, Offset: -1},
		{Time: at, Host: "entry-c", Who: "cy", Role: access.RoleViewer, Base: 6, Status: publish.NotAccepted, Offset: -1},
		{Time: at, Host: "entry-d", Who: "di", Role: access.RoleOperator, Base: 7, ID: "put-8", Status: publish.Unknown, Offset: -1},
	}
}

func TestReadsFormerData(t *testing.T) {
	want := formerAudit()
	lines := bytes.Split(bytes.TrimSuffix(testcompat.Read(t, "audit.jsonl"), []byte("\n")), []byte("\n"))
	require.Len(t, lines, len(want))
	for i, line := range lines {
		var got admin.AuditEntry
		require.NoError(t, json.Unmarshal(line, &got))
		require.Equal(t, want[i], got)
		again, err := json.Marshal(got)
		require.NoError(t, err)
		require.Equal(t, string(line), string(again))
	}
}
