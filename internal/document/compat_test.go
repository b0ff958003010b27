package document_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// formerDocument returns the document stored in testdata/compat.
func formerDocument() *document.Document {
	return &document.Document{
		Services: []document.Service{{
			Name: "chat", Kind: document.KindEngine, Team: "ops",
			Routes: []document.Route{{
				Name: "ask", Idempotent: true, Class: document.ClassInteractive, Deadline: jsonc.Duration(6 * time.Second),
				FirstToken: jsonc.Duration(410 * time.Millisecond), BetweenTokens: jsonc.Duration(51 * time.Millisecond),
				Objective: 0.99, MaxTokens: 120,
			}, {
				Name: "note", Class: document.ClassStandard, Deadline: jsonc.Duration(30 * time.Second),
				FirstToken: jsonc.Duration(time.Second), BetweenTokens: jsonc.Duration(80 * time.Millisecond),
				Objective: 0.97, MaxTokens: 300,
			}},
			Versions: []document.Version{
				{Name: "v1", Goal: 0.25}, {Name: "v2", Goal: 0.75, By: time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)},
			},
			Upstream: document.Traits{MaxInFlight: 16, ColdInFlight: 2, ColdStart: jsonc.Duration(20 * time.Second), ChecksFencing: true},
			Hosts:    &document.FleetBounds{Min: 9, Max: 12},
		}, {
			Name: "book", Kind: document.KindPlain,
			Routes: []document.Route{{
				Name: "all", Idempotent: true, Class: document.ClassBatch, Deadline: jsonc.Duration(10 * time.Minute), Objective: 0.95,
			}},
			Versions: []document.Version{{Name: "v1", Goal: 1}},
			Upstream: document.Traits{MaxInFlight: 32, ColdInFlight: 4, ColdStart: jsonc.Duration(5 * time.Second)},
		}},
		AvailabilityZones: []document.AvailabilityZone{
			{Name: "z-a", Region: "r", State: document.ZoneServing, Prices: map[document.HostClass]float64{document.Reclaimable: 0.7, document.OnDemand: 2.1}},
			{Name: "z-b", Region: "s", State: document.ZoneExcluded, Prices: map[document.HostClass]float64{document.OnDemand: 2.2}},
		},
		Customers: []document.Customer{{Name: "acme", Team: "ops", Share: 1.5, MaxInFlight: 40, TokenHash: strings.Repeat("1", 64)}},
		Teams:     []document.Team{{Name: "ops", TokenHash: strings.Repeat("2", 64)}},
	}
}

func TestReadsFormerData(t *testing.T) {
	// document.jsonc is written by hand; document.json is the same document as an
	// earlier build encoded it.
	written, err := os.ReadFile("testdata/compat/document.json")
	require.NoError(t, err)
	source, err := os.ReadFile("testdata/compat/document.jsonc")
	require.NoError(t, err)
	for _, data := range [][]byte{source, written} {
		got, err := document.Parse(data)
		require.NoError(t, err)
		require.Equal(t, formerDocument(), got)
		again, err := json.Marshal(got)
		require.NoError(t, err)
		require.Equal(t, string(written), string(again))
	}
	for _, name := range deploy.Names() {
		example, err := deploy.Config(name)
		require.NoError(t, err)
		got, err := document.Parse(example)
		require.NoError(t, err)
		data, err := json.Marshal(got)
		require.NoError(t, err)
		again, err := document.Parse(data)
		require.NoError(t, err)
		require.Equal(t, got, again)
	}
}
