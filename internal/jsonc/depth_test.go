package jsonc_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

func TestParseRejectsDeepNesting(t *testing.T) {
	for _, open := range []string{"[", `{"a":`, "[/* ] */", "[\"]\",", "[// ]\n"} {
		_, err := jsonc.Parse([]byte("\n" + strings.Repeat(open, 1_000_000)))
		require.ErrorContains(t, err, "nested more than 200 levels", open)
		require.ErrorContains(t, err, "line ")
	}
}

func TestDepthIgnoresStringsAndComments(t *testing.T) {
	text := `{"a": "` + strings.Repeat("[", 1000) + `\"[", /* ` + strings.Repeat("{", 1000) + ` */ "b": 1 // ` + strings.Repeat("[", 1000) + "\n}"
	_, err := jsonc.Parse([]byte(text))
	require.NoError(t, err)
	_, err = jsonc.Parse([]byte(strings.Repeat("[", 200) + strings.Repeat("]", 200)))
	require.NoError(t, err)
}

func TestDocumentFaultOmitsPath(t *testing.T) {
	require.Equal(t, "line 1: want an object", jsonc.Fault{Line: 1, Message: "want an object"}.String())
}
