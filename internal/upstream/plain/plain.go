// Package plain is the client of plain services, which respond with one body.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

// HeaderRequestID carries the request's ID to the upstream and back.
const HeaderRequestID = "X-Request-Id"

const (
	// maxBodyBytes is the maximum length of a response body.
	maxBodyBytes = 16 << 20
	// MaxBufferedBytes bounds the bodies that a host reads at once: hosts have a few hundred
	// MB. One upstream can use half of it, and the longest body takes twice its length.
	MaxBufferedBytes = 96 << 20
)

var errNoLength = errors.New("response has neither a length nor a transfer encoding")

// Call is one call of a plain service.
type Call struct {
	// RequestID is echoed by the upstream, so that a response to another request is
	// detected.
	RequestID string
	Route     string
	Body      []byte
	// Once is set if the upstream must run the call at most once.
	Once bool
}

// Response is a response of a plain service.
type Response struct {
	RequestID   string
	ContentType string
	Body        []byte
}

// Service is a client of one upstream of a plain service.
type Service interface {
	// Call sends a call once. Its error is an *upstream.Failure.
	Call(ctx context.Context, call Call) (Response, error)
}

// Client is a Service that is reached over HTTP.
type Client struct {
	base      string
	http      *http.Client
	singleUse *http.Client
	memory    *bodybuf.Memory
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the plain service at a base URL, which reads bodies into the
// given memory. Calls that must run at most once are sent with singleUse, which reuses no
// connections: an upstream may close one that is idle while the call is on its way.
func NewClient(base string, client, singleUse *http.Client, memory *bodybuf.Memory) *Client {
	return &Client{base: base, http: client, singleUse: singleUse, memory: memory}
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, call Call) (Response, error) {
	target := c.base + "/v1/calls/" + url.PathEscape(call.Route)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.RequestID)
	client := c.http
	if call.Once {
		client = c.singleUse
	}
	resp, err := httpjson.Send(client, req)
	if err != nil {
		return Response{}, classify(err, call.RequestID)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readBody(resp)
	if err != nil {
		return Response{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
	}
	response := Response{
		RequestID:   resp.Header.Get(HeaderRequestID),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
	if response.RequestID != call.RequestID {
		return Response{}, mismatched(response.RequestID, call.RequestID)
	}
	return response, nil
}

// classify turns an error of package httpjson into a Failure. A status without the call's ID
// says something of this call only if no earlier one used the connection.
func classify(err error, id string) *upstream.Failure {
	var status *httpjson.StatusError
	if errors.As(err, &status) {
		got := status.Header.Get(HeaderRequestID)
		if got != id && (got != "" || status.Reused) {
			return mismatched(got, id)
		}
	}
	return upstream.Classify(err)
}

func mismatched(got, want string) *upstream.Failure {
	return &upstream.Failure{Kind: upstream.Mismatched, Err: fmt.Errorf("response for request %q, want %q", got, want)}
}

// readBody returns the complete body of a response. It returns an error if the
// body is longer than maxBodyBytes, if there is no memory for it, or if the response has
// neither a length nor a transfer encoding, since the body may then have been truncated.
func (c *Client) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	buffers := c.memory.Buffers(c.base)
	defer buffers.Release()
	return buffers.ReadAll(resp.Body, maxBodyBytes)
}
