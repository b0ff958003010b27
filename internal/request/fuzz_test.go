package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// FuzzParseID checks that an ID that is read names the same request when it is
// written and read again.
func FuzzParseID(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		id, err := request.ParseID(text)
		if err != nil {
			require.ErrorIs(t, err, request.ErrID)
			return
		}
		again, err := request.ParseID(id.String())
		require.NoError(t, err)
		require.Equal(t, id, again)
	})
}
