// Package ticket issues and verifies tickets: idempotency keys that a process
// issues and whose calls only that process may ever dispatch. A call with a ticket
// needs no record in the log service before it is dispatched.
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

// Errors of Parse and Issuer.Check.
var (
	// ErrFormat means that a text is not a ticket.
	ErrFormat = errors.New("not a ticket")
	// ErrForged means that a ticket was not made with the issuer's key.
	ErrForged = errors.New("ticket authentication code does not match")
)

// Lifetime is how long after its issue the call of a ticket may be dispatched.
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

// Ticket is the content of a ticket.
type Ticket struct {
	// Host and Incarnation identify the process that issued the ticket, the only
	// one that may dispatch its call.
	Host, Incarnation string
	Expires           time.Time
}

// Is reports whether a key has the form of a ticket.
func Is(key string) bool { return strings.HasPrefix(key, prefix+separator) }

// Parse returns the content of a ticket without verifying its origin, or
// ErrFormat.
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

// Issuer issues the tickets of one process and verifies tickets of all processes
// with the same secret.
type Issuer struct {
	host, incarnation string
	key               []byte
}

// NewIssuer returns an issuer whose key is derived from a secret. If the secret is
// empty, it uses a random one, with which only this issuer's tickets verify.
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

// Issue returns a new ticket that expires Lifetime after now.
func (i *Issuer) Issue(now time.Time) string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	text := strings.Join([]string{
		prefix, i.host, i.incarnation,
		strconv.FormatInt(now.Add(Lifetime).UnixMilli(), 10), hex.EncodeToString(nonce),
	}, separator)
	return text + separator + i.mac(text)
}

// Check verifies that a ticket was made with this issuer's key and returns its
// content, or ErrFormat or ErrForged. It does not check the expiry.
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
