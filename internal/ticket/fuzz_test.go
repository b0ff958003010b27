package ticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// FuzzParse checks that reading a ticket does not fail in any other way than
// by an error, and that a ticket has no fields that a name may not have.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil {
			require.True(t, ticket.Is(text))
			require.NotEmpty(t, parsed.Host)
			require.False(t, parsed.Expires.Equal(time.Time{}))
		}
	})
}
