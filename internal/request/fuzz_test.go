package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// FuzzParseID checks that formatting and parsing a valid ID gives the same ID.
func FuzzParseID(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		id, err := request.ParseID(text)
		if err != nil {
			require.ErrorIs(t, err, request.ErrID)
			return
		}
		reparsed, err := request.ParseID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, reparsed)
	})
}
