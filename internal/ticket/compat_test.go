package ticket_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testcompat"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

func TestReadsFormerData(t *testing.T) {
	former := strings.TrimSpace(string(testcompat.Read(t, "ticket.txt")))
	require.True(t, ticket.Is(former))
	issuer, err := ticket.NewIssuer([]byte("secret"), "entry-1", "abc")
	require.NoError(t, err)
	got, err := issuer.Check(former)
	require.NoError(t, err)
	want := ticket.Ticket{Host: "entry-1", Incarnation: "abc", Expires: testcompat.Start.Add(15 * time.Minute)}
	require.True(t, want.Expires.Equal(got.Expires))
	got.Expires = want.Expires
	require.Equal(t, want, got)
	// The nonce is random, and the authentication code depends on it.
	fields, again := strings.Split(former, "."), strings.Split(issuer.Issue(testcompat.Start), ".")
	require.Len(t, again, len(fields))
	require.Equal(t, fields[:4], again[:4])
	require.Len(t, again[4], len(fields[4]))
	require.Len(t, again[5], len(fields[5]))
}
