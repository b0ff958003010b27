// Package access authenticates the users of the administration API and decides
// which parts of the configuration document they may change.
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

// Role determines what a caller may do.
type Role string

// The roles.
const (
	// RoleOperator may change the whole document.
	RoleOperator Role = "operator"
	// RoleTeam may change the services and customers of one team.
	RoleTeam Role = "team"
	// RoleViewer may only read.
	RoleViewer Role = "viewer"
)

// ErrDenied is the root of errors about callers that are not authenticated or
// not authorized.
var ErrDenied = eris.New("not allowed")

// loopbackName is the identity's name for callers on the host itself.
const loopbackName = "loopback"

// Account is a user or a program with access to the administration API.
type Account struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// TokenHash is the SHA-256 of the account's bearer token in hexadecimal.
	TokenHash string `json:"tokenHash"`
}

// Identity is an authenticated caller.
type Identity struct {
	Name string
	Role Role
	// Team is set for RoleTeam.
	Team string
}

// HashToken returns the hash under which a token is configured.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Identify returns the identity of a request's sender, which it looks up by token
// among the accounts and then the document's teams; doc may be nil. The token is
// a bearer token, or the password of basic authentication. Without accounts,
// callers on a loopback address need none and are operators. Its error is
// ErrDenied.
func Identify(r *http.Request, accounts []Account, doc *document.Document) (Identity, error) {
	token := requestToken(r)
	if token == "" {
		if len(accounts) == 0 && fromLoopback(r) {
			return Identity{Name: loopbackName, Role: RoleOperator}, nil
		}
		return Identity{}, eris.Wrap(ErrDenied, "a token is needed")
	}
	hash := HashToken(token)
	for _, account := range accounts {
		if sameHash(account.TokenHash, hash) {
			return Identity{Name: account.Name, Role: account.Role}, nil
		}
	}
	if doc != nil {
		for _, team := range doc.Teams {
			if sameHash(team.TokenHash, hash) {
				return Identity{Name: "team " + team.Name, Role: RoleTeam, Team: team.Name}, nil
			}
		}
	}
	return Identity{}, eris.Wrap(ErrDenied, "the token is not known")
}

// requestToken returns a request's token, empty if it has none.
func requestToken(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return token
	}
	_, password, _ := r.BasicAuth()
	return password
}

func sameHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// fromLoopback reports whether a request came from this machine and is addressed
// to it. It returns false for requests through a proxy, and for those with a host
// name other than localhost, which may come from a foreign web page by DNS
// rebinding.
func fromLoopback(r *http.Request) bool {
	forwarded := r.Header.Get("Forwarded") != "" || r.Header.Get("X-Forwarded-For") != ""
	return !forwarded && isLoopback(r.RemoteAddr) && isLoopback(r.Host)
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(strings.Trim(host, "[]"))
	return ip != nil && ip.IsLoopback()
}
