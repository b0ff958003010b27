package document_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range deploy.Names() {
		src, err := deploy.Config(name)
		require.NoError(t, err)
		doc, err := document.Parse(src)
		require.NoError(t, err, name)
		assert.Len(t, doc.AvailabilityZones, 4, name)
		assert.Len(t, doc.Customers, 5, name)
	}
}

func TestFaultsHavePathAndLine(t *testing.T) {
	src := `{
  "services": [{
    "name": "Bad Name", "kind": "engine",
    "routes": [{"name": "r", "idempotent": true, "class": "urgent", "deadline": "1s", "objective": 2}],
    "versions": [{"name": "v1", "goal": 0.5}],
    "upstream": {"maxInFlight": 1, "coldInFlight": 2, "coldStart": "1s", "checksFencing": true}
  }],
  "availabilityZones": [],
  "customers": [{"name": "c", "share": 0}]
}`
	_, err := document.Parse([]byte(src))
	var faults jsonc.Faults
	require.ErrorAs(t, err, &faults)
	lines := map[string]int{}
	for _, fault := range faults {
		lines[fault.Path] = fault.Line
	}
	assert.Equal(t, map[string]int{
		"/services/0/name":                   3,
		"/services/0/routes/0/class":         4,
		"/services/0/routes/0/objective":     4,
		"/services/0/routes/0/firstToken":    4,
		"/services/0/routes/0/betweenTokens": 4,
		"/services/0/routes/0/maxTokens":     4,
		"/services/0/versions":               5,
		"/services/0/upstream/coldInFlight":  6,
		"/availabilityZones":                 8,
		"/customers/0/share":                 9,
	}, lines)
}

func TestDecodeReportsWrongTypesAndUnknownFields(t *testing.T) {
	_, err := document.Parse([]byte(`{"services": 3, "colour": "red", "customers": [{"share": "big", "name": 7}]}`))
	var faults jsonc.Faults
	require.ErrorAs(t, err, &faults)
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	assert.ElementsMatch(t, []string{"/services", "/colour", "/customers/0/share", "/customers/0/name"}, paths)
}
