package claim

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// Errors of CreatedAt and CheckAge.
var (
	// ErrNoCreationTime means that a key contains no creation time: it is neither
	// a UUIDv7 nor of the form "<unix seconds>.<text>".
	ErrNoCreationTime = errors.New("key contains no creation time")
	// ErrKeyAge means that a key is too old to be claimed, or from the future.
	ErrKeyAge = errors.New("the key is too old or from the future")
)

const (
	uuidLength  = 36
	uuidVersion = '7'
	// versionOffset is the index of the version digit in the text of a UUID.
	versionOffset = 14
)

// scopeSeparator separates a key from its customer; customer names do not
// contain it.
const scopeSeparator = "@"

// Scoped returns the key under which a customer's key is claimed: equal keys of
// different customers do not collide.
func Scoped(key, customer string) string { return key + scopeSeparator + customer }

func unscoped(key string) string {
	if at := strings.LastIndex(key, scopeSeparator); at >= 0 {
		return key[:at]
	}
	return key
}

func isTicket(key string) bool { return ticket.Is(key) }

func ticketIn(key string) (ticket.Ticket, error) { return ticket.Parse(unscoped(key)) }

// CreatedAt returns the creation time that a key contains, or
// ErrNoCreationTime.
func CreatedAt(key string) (time.Time, error) {
	key = unscoped(key)
	if len(key) == uuidLength && key[versionOffset] == uuidVersion && key[8] == '-' {
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

// CheckAge returns ErrKeyAge if a key may not be claimed at the given time
// because of its age. A key without a creation time may always be claimed.
func CheckAge(key string, at time.Time) error {
	createdAt, err := CreatedAt(key)
	if err != nil {
		return nil //nolint:nilerr // such keys have no age
	}
	if at.After(createdAt.Add(MaxKeyAge)) || createdAt.After(at.Add(MaxClockSkew)) {
		return ErrKeyAge
	}
	return nil
}
