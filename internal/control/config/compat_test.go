package config_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerDocument is a small document, formerPatch a change of it.
const (
	formerDocument = `{
  // The only service.
  "services": [{"name": "book", "kind": "plain",
    "routes": [{"name": "all", "idempotent": true, "class": "batch", "deadline": "10m", "objective": 0.95}],
    "versions": [{"name": "v1", "goal": 1}],
    "upstream": {"maxInFlight": 32, "coldInFlight": 4, "coldStart": "5s", "checksFencing": false}}],
  "availabilityZones": [{"name": "z-a", "region": "r", "state": "in", "prices": {"on-demand": 2.1}}],
  "customers": [{"name": "acme", "share": 1}]
}`
	formerPatch = `[{"op":"replace","path":"/customers/0/share","value":3}]`
)

// formerPuts are the entries in testdata/compat/records.jsonl; each verdict is
// the outcome of one of them.
func formerPuts() []config.Put {
	return []config.Put{
		{ID: "first", Base: config.NoBase, Author: "ann", Document: formerDocument},
		{ID: "patch", Base: 0, Author: "bob", Patch: json.RawMessage(formerPatch)},
		{ID: "stale", Base: 0, Author: "cy", Document: formerDocument},
		{ID: "invalid", Base: 1, Document: "{}"},
	}
}

func TestReadsFormerData(t *testing.T) {
	state := testcompat.Fold(t, config.Apply, formerPuts())
	require.EqualValues(t, 1, state.Offset)
	require.Equal(t, "bob", state.Put.Author)
	require.Contains(t, state.Put.Document, `"share": 3`)
	require.Equal(t, []control.PutOutcome{
		{ID: "first", Author: "ann", Offset: 0, Base: -1, Verdict: control.PutAccepted},
		{ID: "patch", Author: "bob", Offset: 1, Base: 0, Verdict: control.PutAccepted},
		{ID: "stale", Author: "cy", Offset: 2, Base: 0, Verdict: control.PutStale},
		{ID: "invalid", Offset: 3, Base: 1, Verdict: control.PutInvalid},
	}, state.Recent)
}
