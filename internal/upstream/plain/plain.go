// Package plain calls plain services, which answer a call with one body.
package plain

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

// HeaderRequestID carries the request's ID to the upstream and back.
const HeaderRequestID = "X-Request-Id"

// maxBody bounds an answer, in bytes.
const maxBody = 16 << 20

var (
	errNoLength = errors.New("the answer does not tell its length")
	errTooLong  = fmt.Errorf("the answer is longer than %d bytes", maxBody)
)

// Call is one call of a plain service.
type Call struct {
	// RequestID is echoed by the upstream, so that crossed answers show.
	RequestID string
	Route     string
	Body      []byte
}

// Answer is the answer of a plain service.
type Answer struct {
	RequestID   string
	ContentType string
	Body        []byte
}

// Service is one upstream of a plain service.
type Service interface {
	// Call runs a call once. Its error is an *upstream.Failure.
	Call(ctx context.Context, call Call) (Answer, error)
}

// Client reaches a plain service over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the plain service at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, call Call) (Answer, error) {
	target := c.base + "/v1/calls/" + url.PathEscape(call.Route)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.RequestID)
	resp, err := httpjson.Send(c.http, req)
	if err != nil {
		return Answer{}, upstream.Classify(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := readWhole(resp)
	if err != nil {
		return Answer{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
	}
	answer := Answer{
		RequestID:   resp.Header.Get(HeaderRequestID),
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
	if answer.RequestID != call.RequestID {
		return Answer{}, &upstream.Failure{
			Kind: upstream.Mismatched,
			Err:  fmt.Errorf("answer to %q, not to %q", answer.RequestID, call.RequestID),
		}
	}
	return answer, nil
}

// readWhole returns the body of an answer. A body that may have been cut is an
// error.
func readWhole(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	return body, err
}
