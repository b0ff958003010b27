// Package ticket makes and checks tickets: idempotency keys that a host hands
// out and that only this run of its process may ever dispatch. A call with a
// ticket needs no record in the log service before it is dispatched.
package ticket

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"
)

// The errors of tickets.
var (
	// ErrFormat says that a text is not a ticket.
	ErrFormat = errors.New("not a ticket")
	// ErrForged says that a ticket was not made with this key.
	ErrForged = errors.New("the ticket was not handed out here")
)

// Lifetime is the time during which a ticket may be dispatched.
const Lifetime = 15 * time.Minute

const (
	prefix     = "mt1"
	separator  = "."
	fields     = 6
	nonceBytes = 9
	macBytes   = 16
	keyBytes   = 32
	keyPurpose = "marigoldmux ticket 1"
)

// Ticket is what a ticket says.
type Ticket struct {
	// Host and Incarnation name the one process that may dispatch it.
	Host, Incarnation string
	Expires           time.Time
}

// Is reports whether a key has the form of a ticket.
func Is(key string) bool { return strings.HasPrefix(key, prefix+separator) }

// Parse reads a ticket without a check of its origin. Its error is ErrFormat.
func Parse(text string) (Ticket, error) {
	parts := strings.Split(text, separator)
	if len(parts) != fields || parts[0] != prefix || parts[1] == "" || parts[2] == "" {
		return Ticket{}, ErrFormat
	}
	expires, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return Ticket{}, ErrFormat
	}
	return Ticket{Host: parts[1], Incarnation: parts[2], Expires: time.UnixMilli(expires)}, nil
}

// Issuer makes and checks the tickets of one process.
type Issuer struct {
	host, incarnation string
	key               []byte
}

// NewIssuer returns an issuer with a key derived from a secret. An empty
// secret is replaced by a random one of this process.
func NewIssuer(secret []byte, host, incarnation string) (*Issuer, error) {
	if len(secret) == 0 {
		secret = make([]byte, keyBytes)
		_, _ = rand.Read(secret)
	}
	key, err := hkdf.Key(sha256.New, secret, nil, keyPurpose, keyBytes)
	if err != nil {
		return nil, err
	}
	return &Issuer{host: host, incarnation: incarnation, key: key}, nil
}

// Issue returns a new ticket that this process may dispatch until Lifetime
// from now.
func (i *Issuer) Issue(now time.Time) string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	text := strings.Join([]string{
		prefix, i.host, i.incarnation,
		strconv.FormatInt(now.Add(Lifetime).UnixMilli(), 10), hex.EncodeToString(nonce),
	}, separator)
	return text + separator + i.mac(text)
}

// Check returns what a ticket made with this issuer's key says. Its errors are
// ErrFormat and ErrForged.
func (i *Issuer) Check(text string) (Ticket, error) {
	t, err := Parse(text)
	if err != nil {
		return Ticket{}, err
	}
	at := strings.LastIndex(text, separator)
	if !hmac.Equal([]byte(i.mac(text[:at])), []byte(text[at+1:])) {
		return Ticket{}, ErrForged
	}
	return t, nil
}

func (i *Issuer) mac(text string) string {
	h := hmac.New(sha256.New, i.key)
	_, _ = h.Write([]byte(text))
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:macBytes])
}
