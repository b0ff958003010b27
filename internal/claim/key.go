package claim

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// The errors of keys.
var (
	// ErrNoCreationTime says that a key does not tell when it was made: it is
	// neither a UUIDv7 nor of the form "<unix seconds>.<text>".
	ErrNoCreationTime = errors.New("the key does not tell when it was made")
	// ErrKeyAge says that a key is too old, or from the future, to be claimed.
	ErrKeyAge = errors.New("the key is too old or from the future")
)

const (
	uuidLength  = 36
	uuidVersion = '7'
	// versionAt is the position of the version's digit in a UUID.
	versionAt = 14
)

// scopeSeparator parts a key from its customer; names of customers do not
// contain it.
const scopeSeparator = "@"

// Scoped returns a key as it is claimed: keys of different customers are
// different keys.
func Scoped(key, customer string) string { return key + scopeSeparator + customer }

func unscoped(key string) string {
	if at := strings.LastIndex(key, scopeSeparator); at >= 0 {
		return key[:at]
	}
	return key
}

func isTicket(key string) bool { return ticket.Is(key) }

func ticketIn(key string) (ticket.Ticket, error) { return ticket.Parse(unscoped(key)) }

// CreatedAt returns the time at which a key was made, which the key itself tells.
// Its error is ErrNoCreationTime.
func CreatedAt(key string) (time.Time, error) {
	key = unscoped(key)
	if len(key) == uuidLength && key[versionAt] == uuidVersion && key[8] == '-' {
		ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
		if err == nil {
			return time.UnixMilli(ms), nil
		}
	}
	text, _, found := strings.Cut(key, ".")
	seconds, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil || seconds < 0 {
		return time.Time{}, ErrNoCreationTime
	}
	return time.Unix(seconds, 0), nil
}

// CheckAge reports whether a key may be claimed at a time. A key without a
// birth time may be claimed at any. Its error is ErrKeyAge.
func CheckAge(key string, at time.Time) error {
	born, err := CreatedAt(key)
	if err != nil {
		return nil //nolint:nilerr // such keys have no age
	}
	if at.After(born.Add(Window)) || born.After(at.Add(Skew)) {
		return ErrKeyAge
	}
	return nil
}
