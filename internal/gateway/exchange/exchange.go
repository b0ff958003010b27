// Package exchange defines a request and its response as the gateway handles
// them, independent of the protocol that carries them.
package exchange

import (
	"net/http"
	"time"
)

// PrefixPart is one part of a prompt.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Prompt describes the input of a model engine.
type Prompt struct {
	Model string
	// Parts are the parts of the prompt, in order.
	Parts []PrefixPart
	// InputTokens is the caller's count of input tokens, and MaxOutputTokens its
	// bound on output tokens.
	InputTokens, MaxOutputTokens int
}

// SharedParts returns all parts but the last. The last part is specific to the
// request; the others may be shared with other requests.
func (p *Prompt) SharedParts() []PrefixPart { return p.Parts[:max(len(p.Parts)-1, 0)] }

// SharedTokens returns the tokens of the shared parts.
func (p *Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.SharedParts() {
		total += part.Tokens
	}
	return total
}

// Call is one attempt of a caller. A caller that retries sends a new Call.
type Call struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Key is the API key by which the customer is found.
	Key                        string
	Method, Target, Path, Host string
	// Header holds the headers that are passed on unchanged.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits for the response, counted from Arrived; 0
	// if not stated.
	Timeout time.Duration
	// Arrived is the boot time at which the head of the request was read.
	Arrived time.Duration
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// LastEventID is the ID of the event after which the caller resumes a stream,
	// if any.
	LastEventID string
}

// UpstreamParams are the values that the gateway adds to a request to an
// upstream.
type UpstreamParams struct {
	// Upstream is the ID of the only upstream that may run the request.
	Upstream string
	Customer string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Urgency is the priority of the request at an engine; 0 is the most urgent.
	Urgency int
	// ResumeAfter is the ID of the last event sent to the caller, after which the
	// stream is to resume; empty for a new stream.
	ResumeAfter string
}

// Load is the load that an upstream reports: the requests that run and wait,
// and its slots for running ones.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the upstream at this moment, as a multiple of the
	// usual time; 0 if it is not stated.
	Slowdown float64
}

// Response is the head of an upstream's response.
type Response struct {
	// ID is that of the Call to which the upstream responds.
	ID string
	// Signed is set when the response has a signature of the upstream.
	Signed bool
	// NotRun is set when the upstream states that it has not run the request and
	// will not.
	NotRun bool
	// Load is nil if the upstream does not report it.
	Load *Load
	// KeepAlive is how long the upstream keeps an idle connection open; 0 if not
	// stated.
	KeepAlive time.Duration
	// Close is set when the upstream closes the connection after the response.
	Close bool
	// Leaving is set when the upstream states that it leaves: it wants no further
	// requests.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this host; 0 if
	// not stated. RetryAfterErr is set when the stated value is invalid.
	RetryAfter    time.Duration
	RetryAfterErr error
	// Brittle is the number of requests that the upstream can reject in a second without
	// falling over; 0 if it does not state that it is brittle.
	Brittle int
}

// Codec translates between the protocol of callers and upstreams and the types
// of this package.
type Codec interface {
	// DecodeCall decodes the head of a caller's request. The Call is not nil,
	// even with an error.
	DecodeCall(r *http.Request) (*Call, error)
	// UpstreamHeader returns the header of a request to an upstream.
	UpstreamHeader(c *Call, params UpstreamParams) http.Header
	// PeerHeader returns the header of a caller's request as another host gets it: what
	// the caller sent, with the time that is left of its deadline, and the ID of the event
	// after which a stream is to resume unless resumeAfter is empty.
	PeerHeader(r *http.Request, remaining time.Duration, resumeAfter string) http.Header
	// DecodeResponse decodes the head of an upstream's response.
	DecodeResponse(resp *http.Response) Response
	// CopyResponseHeader copies the header of an upstream's response to the one
	// for the caller, without those that concern only the connection.
	CopyResponseHeader(dst, src http.Header)
	// WriteRefusal sets the header of a response of the gateway itself. With a
	// retryAfter of 0, the response does not state when to retry.
	WriteRefusal(dst http.Header, c *Call, retryAfter time.Duration)
}
