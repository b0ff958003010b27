package ticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

func TestIssueAndCheck(t *testing.T) {
	issuer, err := ticket.NewIssuer([]byte("secret"), "entry-1", "abc")
	require.NoError(t, err)
	now := time.UnixMilli(1764806400000)
	text := issuer.Issue(now)
	require.True(t, ticket.Is(text))
	require.NotEqual(t, text, issuer.Issue(now))

	other, err := ticket.NewIssuer([]byte("secret"), "entry-2", "def")
	require.NoError(t, err)
	got, err := other.Check(text)
	require.NoError(t, err)
	require.Equal(t, ticket.Ticket{Host: "entry-1", Incarnation: "abc", Expires: now.Add(ticket.Lifetime)}, got)

	stranger, err := ticket.NewIssuer(nil, "entry-1", "abc")
	require.NoError(t, err)
	_, err = stranger.Check(text)
	require.ErrorIs(t, err, ticket.ErrForged)
}

// TestModifiedTicketIsRejected modifies one byte of a ticket at any position.
func TestModifiedTicketIsRejected(t *testing.T) {
	issuer, err := ticket.NewIssuer([]byte("secret"), "entry-1", "abc")
	require.NoError(t, err)
	text := issuer.Issue(time.UnixMilli(1764806400000))
	rapid.Check(t, func(t *rapid.T) {
		changed := []byte(text)
		at := rapid.IntRange(0, len(changed)-1).Draw(t, "at")
		changed[at] ^= rapid.Byte().Filter(func(b byte) bool { return b != 0 }).Draw(t, "change")
		_, err := issuer.Check(string(changed))
		require.Error(t, err)
	})
}
