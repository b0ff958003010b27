// Package peerauth proves to an entry host that a call comes from another
// entry host of the same deployment.
//
// The proof is a token made of the deployment's secret and the present span of
// time. It stays the same for a span, so that HTTP/2 sends it once a
// connection. It keeps strangers out; on a network on which others can listen,
// mutual TLS is needed besides.
package peerauth

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
)

// Header carries the token.
const Header = "X-Peer-Token"

const (
	// span is the time for which a token is made; tokens of the neighbouring
	// spans are taken too.
	span = 10 * time.Minute
	// keyLabel separates the key of peer calls from others made of the secret.
	keyLabel = "marigoldmux peer calls 1"
)

var eventRefused = event.Define(500, zapcore.WarnLevel, "peer call refused")

// Authenticator makes and checks proofs.
type Authenticator struct {
	key []byte
	// certificates tells that peers must show a certificate of the peers'
	// authority.
	certificates bool
	events       *event.Logger
}

// New returns a guard. With an empty secret and no certificates only callers
// on a loopback address pass for peers.
func New(secret []byte, certificates bool, events *event.Logger) *Authenticator {
	g := &Authenticator{certificates: certificates, events: events}
	if len(secret) > 0 {
		mac := hmac.New(sha256.New, secret)
		_, _ = mac.Write([]byte(keyLabel))
		g.key = mac.Sum(nil)
	}
	return g
}

// Token returns the token of a time, empty without a secret.
func (g *Authenticator) Token(at time.Time) string {
	if g.key == nil {
		return ""
	}
	mac := hmac.New(sha256.New, g.key)
	_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()/int64(span))))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Interceptor adds the token to the calls of a client.
func (g *Authenticator) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token := g.Token(time.Now()); token != "" && req.Spec().IsClient {
				req.Header().Set(Header, token)
			}
			return next(ctx, req)
		}
	})
}

// Handler serves the calls of peers only.
func (g *Authenticator) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.IsPeer(r, time.Now()) {
			g.events.Emit(eventRefused, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
			http.Error(w, "not a peer", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// IsPeer reports whether a request comes from a peer.
func (g *Authenticator) IsPeer(r *http.Request, now time.Time) bool {
	if g.certificates && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return false
	}
	if g.key != nil {
		return g.tokenFits(r.Header.Get(Header), now)
	}
	return g.certificates || fromLoopback(r)
}

func (g *Authenticator) tokenFits(token string, now time.Time) bool {
	for _, at := range []time.Time{now, now.Add(-span), now.Add(span)} {
		if hmac.Equal([]byte(token), []byte(g.Token(at))) {
			return true
		}
	}
	return false
}

func fromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
