// Package peerauth authenticates calls between the entry hosts of one
// deployment.
//
// A call carries a token derived from the deployment's secret and the current
// period of time. The token is constant within a period, so that HTTP/2 header
// compression sends it in full once per connection and period. A captured token
// can be replayed: on a network that others can read, mutual TLS is needed too.
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

// Header is the name of the HTTP header field that carries the token.
const Header = "X-Peer-Token"

const (
	// tokenPeriod is the time for which a token is issued; tokens of the previous
	// and the next period are accepted too, to allow for differing clocks.
	tokenPeriod = 10 * time.Minute
	// keyLabel separates the key of peer calls from other keys derived from the
	// secret.
	keyLabel = "marigoldmux peer calls 1"
)

var eventRefused = event.Define(500, zapcore.WarnLevel, "peer call refused")

// Authenticator issues and checks the tokens of peer calls.
type Authenticator struct {
	// key is nil without a secret.
	key []byte
	// requireCertificate is set when peers must present a client certificate
	// signed by the peers' CA.
	requireCertificate bool
	events             *event.Logger
}

// New returns an Authenticator. With an empty secret and no certificates, only
// callers on a loopback address are accepted as peers.
func New(secret []byte, certificates bool, events *event.Logger) *Authenticator {
	a := &Authenticator{requireCertificate: certificates, events: events}
	if len(secret) > 0 {
		mac := hmac.New(sha256.New, secret)
		_, _ = mac.Write([]byte(keyLabel))
		a.key = mac.Sum(nil)
	}
	return a
}

// Token returns the token that is valid at a wall-clock time, or "" without a
// secret.
func (a *Authenticator) Token(at time.Time) string {
	if a.key == nil {
		return ""
	}
	mac := hmac.New(sha256.New, a.key)
	_, _ = mac.Write(binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()/int64(tokenPeriod))))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// Interceptor returns an interceptor that adds the current token to a client's
// calls.
func (a *Authenticator) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if token := a.Token(time.Now()); token != "" && req.Spec().IsClient {
				req.Header().Set(Header, token)
			}
			return next(ctx, req)
		}
	})
}

// Handler returns a handler that passes the requests of peers to next and
// responds to others with status 401.
func (a *Authenticator) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !a.IsPeer(r, time.Now()) {
			a.events.Emit(eventRefused, zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
			http.Error(w, "not a peer", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// IsPeer reports whether a request comes from a peer.
func (a *Authenticator) IsPeer(r *http.Request, now time.Time) bool {
	if a.requireCertificate && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return false
	}
	if a.key != nil {
		return a.validToken(r.Header.Get(Header), now)
	}
	return a.requireCertificate || fromLoopback(r)
}

func (a *Authenticator) validToken(token string, now time.Time) bool {
	for _, at := range []time.Time{now, now.Add(-tokenPeriod), now.Add(tokenPeriod)} {
		if hmac.Equal([]byte(token), []byte(a.Token(at))) {
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
