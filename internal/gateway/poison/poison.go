// Package poison detects what crashes the upstreams that run it, whole requests or parts
// of prompts that many requests share, and holds such requests at all hosts. It does no
// I/O.
//
// A request that is lost with its connection may have crashed its upstream. The host
// checks whether the upstream still accepts connections. If it does not, the loss counts
// as a crash under each trait of the request: its content and, unless the upstream had
// been answering it for a while, the shared parts of its prompt. The host sends the crash
// to its peers. A response clears the traits of its request at all hosts. So traits of
// which sound requests come too keep no crashes for long, and a trait that crashes
// upstreams gathers them.
package poison

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CheckAfter is the time between a loss and the check of the upstream; the
	// listener of a crashed upstream is closed by then.
	CheckAfter = 250 * time.Millisecond
	// AnsweringFor is the time after the first event of a stream from which its upstream
	// has not crashed under a part of its prompt.
	AnsweringFor = 500 * time.Millisecond
	// crashesToHold is the number of crashed upstreams from which a request is
	// held. Fewer may have crashed for other reasons while they ran it.
	crashesToHold = 3
	// crashTTL is how long a crash counts towards a hold, and confirmedTTL how long it
	// does so for a trait with crashesToConfirm crashes or more.
	crashTTL         = 5 * time.Minute
	confirmedTTL     = time.Hour
	crashesToConfirm = 5
	// crashSpread is the time within which all hosts notice a crash of an upstream.
	crashSpread = 800 * time.Millisecond
	// crashSendTime is how long a host sends its peers a crash that it detected;
	// they keep it for crashTTL.
	crashSendTime = 10 * time.Second
	// clearedTTL is how long responses are sent to peers and kept. It is not
	// shorter than crashSendTime, for which peers may send crashes from before
	// the response.
	clearedTTL = 10 * time.Second
	// maxDigestEntries is the largest number of crashes and of cleared traits in a
	// digest, maxEntriesPerTrait that of crashes of one trait, and entriesInTurn that of
	// crashes that take turns.
	maxDigestEntries   = 32
	maxEntriesPerTrait = 4
	entriesInTurn      = 8
	// maxTraits is the largest number of traits with crashes that are kept.
	maxTraits = 1024
)

// Trait is what requests that crash upstreams may have in common.
type Trait struct {
	// Key identifies the trait at all hosts.
	Key uint64
	// Part is the ID of a part of a prompt, empty for the content of a request.
	Part string
}

// Request is what the table knows of a request.
type Request struct {
	Content Trait
	// Parts are the parts of its prompt that other requests may share.
	Parts []Trait
}

// traits returns all traits of the request.
func (r Request) traits() []Trait { return append([]Trait{r.Content}, r.Parts...) }

// has reports whether the request has a trait.
func (r Request) has(key uint64) bool {
	return r.Content.Key == key || slices.ContainsFunc(r.Parts, func(part Trait) bool { return part.Key == key })
}

// Content returns the trait of all requests with the same content from one customer.
func Content(method, target, customer string, body []byte) Trait {
	h := xxhash.New()
	_, _ = h.WriteString(strings.Join([]string{method, target, customer, ""}, "\x00"))
	_, _ = h.Write(body)
	return Trait{Key: h.Sum64()}
}

// Part returns the trait of all requests to a service that share a part of their prompts.
func Part(service, id string) Trait {
	hash := xxhash.Sum64String(strings.Join([]string{"part", service, id}, "\x00"))
	return Trait{Key: hash&^partMask | partMark, Part: id}
}

// The keys of parts end with a mark, so that hosts know them from those of contents.
const (
	partMask = 1<<16 - 1
	partMark = 0x9e37
)

func isPart(key uint64) bool { return key&partMask == partMark }
