package document_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// FuzzParse checks that a valid document stays the same when encoded and parsed
// again, and that the faults of an invalid one lie at existing lines.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, src []byte) {
		doc, err := document.Parse(src)
		if err != nil {
			var faults jsonc.Faults
			require.True(t, errors.As(err, &faults))
			for _, fault := range faults {
				require.LessOrEqual(t, fault.Line, 1+bytes.Count(src, []byte("\n")))
			}
			return
		}
		text, err := json.Marshal(doc)
		require.NoError(t, err)
		again, err := document.Parse(text)
		require.NoError(t, err)
		second, err := json.Marshal(again)
		require.NoError(t, err)
		require.JSONEq(t, string(text), string(second))
	})
}
