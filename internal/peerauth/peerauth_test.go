package peerauth_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/peerauth"
)

func TestIsPeer(t *testing.T) {
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	secret := peerauth.New([]byte("secret"), false, event.Discard())
	both := peerauth.New([]byte("secret"), true, event.Discard())
	none := peerauth.New(nil, false, event.Discard())
	certificates := peerauth.New(nil, true, event.Discard())
	foreign := peerauth.New([]byte("another"), false, event.Discard())
	cases := []struct {
		name     string
		auth     *peerauth.Authenticator
		remote   string
		token    string
		verified bool
		want     bool
	}{
		{"token", secret, "10.0.0.1:5", secret.Token(now), false, true},
		{"token of a slower clock", secret, "10.0.0.1:5", secret.Token(now.Add(-10 * time.Minute)), false, true},
		{"old token", secret, "10.0.0.1:5", secret.Token(now.Add(-time.Hour)), false, false},
		{"no token on loopback", secret, "127.0.0.1:5", "", false, false},
		{"token of another secret", secret, "10.0.0.1:5", foreign.Token(now), false, false},
		{"no secret on loopback", none, "127.0.0.1:5", "", false, true},
		{"no secret from elsewhere", none, "10.0.0.1:5", "", false, false},
		{"certificate", certificates, "10.0.0.1:5", "", true, true},
		{"no certificate on loopback", certificates, "127.0.0.1:5", "", false, false},
		{"token without certificate", both, "10.0.0.1:5", both.Token(now), false, false},
		{"certificate without token", both, "10.0.0.1:5", "", true, false},
		{"token and certificate", both, "10.0.0.1:5", both.Token(now), true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest("POST", "/peer", nil)
			r.RemoteAddr = c.remote
			r.Header.Set(peerauth.Header, c.token)
			if c.verified {
				r.TLS = &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{{}}}}
			}
			require.Equal(t, c.want, c.auth.IsPeer(r, now))
		})
	}
}
