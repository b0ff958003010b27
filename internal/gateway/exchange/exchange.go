// Package exchange holds what the gateway knows of one request and its answer,
// whatever protocol names their parts.
package exchange

import (
	"net/http"
	"time"
)

// PrefixPart is one part of a prompt, in order.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Prompt describes the input of a model engine.
type Prompt struct {
	Model string
	Parts []PrefixPart
	// InputTokens and MaxOutputTokens are the caller's count and bound.
	InputTokens, MaxOutputTokens int
}

// SharedTokens returns the tokens of all parts but the last, which belongs to
// the request itself.
func (p *Prompt) SharedTokens() int {
	total := 0
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		total += part.Tokens
	}
	return total
}

// Call is one attempt of a caller.
type Call struct {
	// ID is the caller's name for this attempt.
	ID string
	// Key proves which customer the caller belongs to.
	Key                        string
	Method, Target, Path, Host string
	// Header holds what is passed on as it came.
	Header http.Header
	Body   []byte
	// Wait is how long the caller waits, from Arrived on; 0 means unsaid.
	Wait time.Duration
	// Arrived is the boot time at which the request was read.
	Arrived time.Duration
	// Prompt is nil for plain services.
	Prompt *Prompt
	// LastEventID is the event after which the caller wants a stream to go on.
	LastEventID string
}

// UpstreamParams is what the gateway tells an upstream with a request.
type UpstreamParams struct {
	// Upstream is the only one that may run the request.
	Upstream string
	Customer string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Urgency orders requests at an engine; 0 goes first.
	Urgency int
	// ResumeAfter is the last event that reached the caller, if any.
	ResumeAfter string
}

// Load is what an upstream says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Response is the head of an upstream's answer.
type Response struct {
	// ID names the attempt that is answered.
	ID string
	// Signed tells that the answer bears the upstream's signature.
	Signed bool
	// NotRun tells that the upstream has not run the request and will not.
	NotRun bool
	// Load is nil where the upstream does not tell.
	Load *Load
	// KeepAlive is how long the connection stays open when idle; 0 means unsaid.
	KeepAlive time.Duration
	// Closes tells that the upstream closes the connection.
	Closes bool
}

// Codec translates between the protocol of callers and upstreams and the types
// of this package.
type Codec interface {
	// DecodeCall decodes the head of a caller's request.
	DecodeCall(r *http.Request) (*Call, error)
	// UpstreamHeader returns the header of a request to an upstream.
	UpstreamHeader(c *Call, in UpstreamParams) http.Header
	// DecodeResponse decodes the head of an upstream's answer.
	DecodeResponse(resp *http.Response) Response
	// CopyResponseHeader writes the header of an upstream's answer for the caller.
	CopyResponseHeader(dst, src http.Header)
	// WriteRefusal writes the header of the gateway's own answer to a call.
	WriteRefusal(dst http.Header, c *Call, retryAfter time.Duration)
}
