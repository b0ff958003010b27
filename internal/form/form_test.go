package form_test

import (
	"encoding/json"
	"net/url"
	"reflect"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/form"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

var schema = form.Schema{Options: map[reflect.Type][]string{
	reflect.TypeFor[document.Kind]():      {"engine", "plain"},
	reflect.TypeFor[document.Class]():     {"interactive", "standard", "batch"},
	reflect.TypeFor[document.ZoneState](): {"in", "out"},
	reflect.TypeFor[document.HostClass](): {"reclaimable", "on-demand"},
}}

// submit adds to values what a browser sends for an unchanged form, and returns
// them.
func submit(g *form.Group, values url.Values) url.Values {
	for _, f := range g.Fields {
		if f.Kind != form.KindCheckbox || f.Checked {
			value := f.Value
			if f.Kind == form.KindCheckbox {
				value = "on"
			}
			values.Set(f.Pointer, value)
		}
	}
	if g.List {
		values.Set(form.CountName(g.Pointer), strconv.Itoa(len(g.Groups)))
	}
	for _, child := range g.Groups {
		submit(child, values)
	}
	return values
}

func TestFormRoundTripKeepsDocument(t *testing.T) {
	for _, name := range deploy.Names() {
		src, err := deploy.Config(name)
		require.NoError(t, err)
		doc, err := document.Parse(src)
		require.NoError(t, err)
		text, err := json.Marshal(doc)
		require.NoError(t, err)
		group := schema.Build(reflect.TypeFor[document.Document](), "", "", text)
		again, err := document.Parse(schema.Decode(reflect.TypeFor[document.Document](), "", submit(group, url.Values{})))
		require.NoError(t, err)
		require.Equal(t, doc, again)
	}
}

// TestFormKeepsInput submits arbitrary text in the fields of a service and checks
// that the form built from the decoded value shows the same text.
func TestFormKeepsInput(t *testing.T) {
	typ := reflect.TypeFor[document.Service]()
	rapid.Check(t, func(t *rapid.T) {
		values := url.Values{form.CountName("/services/0/routes"): {"1"}, form.CountName("/services/0/versions"): {"0"}}
		names := []string{"name", "team", "routes/0/deadline", "routes/0/objective", "routes/0/maxTokens", "hosts/min", "upstream/coldStart"}
		for _, name := range names {
			values.Set("/services/0/"+name, rapid.OneOf(rapid.StringMatching(`[0-9.e-]{0,4}`), rapid.StringMatching(`[ -~]{0,6}`)).Draw(t, name))
		}
		shown := submit(schema.Build(typ, "/services/0", "", schema.Decode(typ, "/services/0", values)), url.Values{})
		for _, name := range names {
			require.Equal(t, values.Get("/services/0/"+name), shown.Get("/services/0/"+name))
		}
	})
}

func TestMarkAssignsFaultsToFields(t *testing.T) {
	typ := reflect.TypeFor[document.Service]()
	group := schema.Build(typ, "/services/2", "", []byte(`{"name": "X", "routes": [{"name": "a"}], "versions": []}`))
	rest := group.Mark(jsonc.Faults{
		{Path: "/services/2/name", Message: "bad name"},
		{Path: "/services/2/routes/0/deadline", Message: "bad deadline"},
		{Path: "/services/2/versions", Message: "bad sum"},
		{Path: "/services/20/name", Message: "elsewhere"},
	})
	require.Equal(t, jsonc.Faults{{Path: "/services/20/name", Message: "elsewhere"}}, rest)
	require.Equal(t, []string{"bad name"}, group.Fields[0].Faults)
	require.Equal(t, []string{"bad deadline"}, group.Groups[0].Groups[0].Fields[3].Faults)
	require.Equal(t, []string{"bad sum"}, group.Groups[1].Faults)
}
