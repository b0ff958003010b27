// Package request defines accepted requests and their three outcomes.
package request

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// ErrID is returned for a text that is not a request ID.
var ErrID = errors.New("not a request ID")

// idSeparator separates the fields of an ID; host names do not contain it.
const idSeparator = "."

// ID identifies a request and the process that accepted it.
type ID struct {
	Host        string
	Incarnation string
	// Nonce distinguishes the requests of a process. It is random, since
	// anyone who has an ID may read and cancel the request.
	Nonce uint64
}

// NewID returns an ID with an unguessable nonce.
func NewID(host, incarnation string) ID {
	var buf [8]byte
	_, _ = rand.Read(buf[:])
	return ID{Host: host, Incarnation: incarnation, Nonce: binary.BigEndian.Uint64(buf[:])}
}

// String formats the ID as "host.incarnation.nonce".
func (id ID) String() string {
	return id.Host + idSeparator + id.Incarnation + idSeparator + strconv.FormatUint(id.Nonce, 36)
}

// ParseID parses an ID as formatted by String. It returns ErrID for a text that is
// not a request ID.
func ParseID(text string) (ID, error) {
	parts := strings.Split(text, idSeparator)
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return ID{}, ErrID
	}
	nonce, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return ID{}, ErrID
	}
	return ID{Host: parts[0], Incarnation: parts[1], Nonce: nonce}, nil
}

// Request is a request that the system accepted.
type Request struct {
	ID       string
	Customer string
	Service  string
	Route    string
	// Key is the idempotency key or the ticket; empty where none is needed.
	Key string
	// Prompt and MaxTokens are set for engines, Body for plain services.
	Prompt    string
	MaxTokens int
	Body      []byte
	Accepted  time.Time
	Deadline  time.Time
	// Fingerprint identifies the content independently of the caller.
	Fingerprint uint64
	// Attempts counts the attempts at upstreams so far.
	Attempts int
}

// Fingerprint returns the fingerprint of a request's content.
func Fingerprint(service, route, prompt string, body []byte) uint64 {
	h := xxhash.New()
	for _, part := range [...]string{service, route, prompt} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. One is never reported as another.
const (
	// Answer means that the complete answer is available.
	Answer Outcome = iota + 1
	// NotRun means that it is certain that no upstream ran the request.
	NotRun
	// Unknown means that an upstream may have run the request.
	Unknown
)

// String returns the name of the outcome on the wire.
func (o Outcome) String() string {
	switch o {
	case Answer:
		return "answer"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Result is the result of a request.
type Result struct {
	Outcome Outcome
	// ContentType and Body are the answer of a plain service.
	ContentType string
	Body        []byte
	// Tokens is the number of tokens of an engine's answer.
	Tokens int
	// Reason is the reason for which there is no answer.
	Reason Reason
}

// Reason is the reason for which a request has no answer.
type Reason string

// The reasons.
const (
	ReasonDeadline       Reason = "deadline"
	ReasonOverload       Reason = "overload"
	ReasonHeldBack       Reason = "held-back"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonUpstreamFailed Reason = "upstream-failed"
	ReasonUpstreamLost   Reason = "upstream-lost"
	ReasonInvalid        Reason = "invalid"
	ReasonCancelled      Reason = "cancelled"
	ReasonClaimedBefore  Reason = "claimed-before"
	ReasonKeyExpired     Reason = "key-expired"
	ReasonLogDown        Reason = "log-down"
	ReasonLeaving        Reason = "leaving"
	ReasonCustomerLimit  Reason = "customer-limit"
	ReasonNotConfigured  Reason = "not-configured"
	ReasonHolderGone     Reason = "holder-gone"
)

// ToPeer converts a result to a peer message.
func (r Result) ToPeer() *peerv1.Result {
	return &peerv1.Result{
		Outcome:     peerv1.Result_Outcome(r.Outcome),
		ContentType: r.ContentType,
		Body:        r.Body,
		Reason:      string(r.Reason),
		Tokens:      int32(r.Tokens),
	}
}

// ResultFromPeer converts a peer message to a result.
func ResultFromPeer(m *peerv1.Result) Result {
	return Result{
		Outcome:     Outcome(m.GetOutcome()),
		ContentType: m.GetContentType(),
		Body:        m.GetBody(),
		Reason:      Reason(m.GetReason()),
		Tokens:      int(m.GetTokens()),
	}
}

// ToPeer converts a request to a peer message.
func (r *Request) ToPeer() *peerv1.Accepted {
	return &peerv1.Accepted{
		Id: r.ID, Customer: r.Customer, Service: r.Service, Route: r.Route, Key: r.Key,
		Prompt: r.Prompt, MaxTokens: int32(r.MaxTokens), Body: r.Body,
		AcceptedUnixMs: r.Accepted.UnixMilli(), DeadlineUnixMs: r.Deadline.UnixMilli(),
		Fingerprint: r.Fingerprint, Attempts: int32(r.Attempts),
	}
}

// FromPeer converts a peer message to a request.
func FromPeer(m *peerv1.Accepted) *Request {
	return &Request{
		ID: m.GetId(), Customer: m.GetCustomer(), Service: m.GetService(), Route: m.GetRoute(), Key: m.GetKey(),
		Prompt: m.GetPrompt(), MaxTokens: int(m.GetMaxTokens()), Body: m.GetBody(),
		Accepted: time.UnixMilli(m.GetAcceptedUnixMs()), Deadline: time.UnixMilli(m.GetDeadlineUnixMs()),
		Fingerprint: m.GetFingerprint(), Attempts: int(m.GetAttempts()),
	}
}
