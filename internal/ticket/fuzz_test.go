package ticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// FuzzParse checks that Parse does not panic and that a parsed ticket has a host
// and an expiry.
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
