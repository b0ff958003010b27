package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control/fleet"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerEntries are the entries in testdata/compat/records.jsonl.
func formerEntries() []fleet.Entry {
	return []fleet.Entry{
		{Service: "embed", Host: "entry-b", Incarnation: "inc-2", Take: true},
		{Service: "chat", Host: "entry-a", Incarnation: "inc-1", Take: true},
		{Service: "chat", Host: "entry-a", Incarnation: "inc-1", Fence: 1, Want: []fleet.Host{
			{ID: "chat-1", Version: "v1", Zone: "z-a", Class: document.Reclaimable, Loaded: true},
			{ID: "chat-2", Version: "v2", Zone: "z-b", Class: document.OnDemand},
		}},
		{Service: "chat", Host: "entry-a", Incarnation: "inc-1", Fence: 1, Retire: []string{"chat-2", "chat-0"}},
	}
}

func TestReadsFormerData(t *testing.T) {
	entries := formerEntries()
	state := testcompat.Fold(t, fleet.Apply, entries)
	at := func(offset int) time.Time { return testcompat.Start.Add(time.Duration(offset) * time.Second) }
	require.Equal(t, map[string]fleet.Service{
		"embed": {
			Lease:  fleet.Lease{Host: "entry-b", Incarnation: "inc-2", Fence: 0, Renewed: at(0)},
			Wanted: map[string]fleet.Host{}, Retired: map[string]time.Time{},
		},
		"chat": {
			Lease:   fleet.Lease{Host: "entry-a", Incarnation: "inc-1", Fence: 1, Renewed: at(3)},
			Wanted:  map[string]fleet.Host{"chat-1": entries[2].Want[0]},
			Retired: map[string]time.Time{"chat-2": at(3), "chat-0": at(3)},
		},
	}, state.Services)
}
