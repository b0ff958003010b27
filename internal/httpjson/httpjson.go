// Package httpjson sends JSON over HTTP and distinguishes failures in which the
// request certainly never left this host from those in which it may have.
package httpjson

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxErrorBytes    = 4 << 10
	maxResponseBytes = 16 << 20
	maxHeadBytes     = 64 << 10

	maxIdlePerHost = 64
	idleTimeout    = 30 * time.Second
)

// StatusError is an HTTP response with a status outside 2xx.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
	// Message is the start of the response's body, without surrounding space.
	Message string
	// Header holds the response's header fields.
	Header http.Header
	// Reused is set if the connection had carried an earlier request, of which the response
	// may be a late copy.
	Reused bool
}

// Error returns the status code and the message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Code, e.Message)
}

// TransportError is a call that failed other than by its status: nothing was
// sent, or no complete, valid response arrived.
type TransportError struct {
	// Sent is false only when no byte of the request left this host.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the text of the cause.
func (e *TransportError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Err }

// NewClient returns an HTTP client for calls to upstreams. It follows no redirects, uses no proxy and does not request compression, which
// would delay the events of a stream.
func NewClient() *http.Client { return newClient(false) }

// NewCompressingClient returns a client like NewClient that requests compressed
// responses.
func NewCompressingClient() *http.Client { return newClient(true) }

// NewSingleUseClient returns a client like NewClient that opens a connection for each
// request.
func NewSingleUseClient() *http.Client {
	client := newClient(false)
	client.Transport.(*http.Transport).DisableKeepAlives = true
	return client
}

// NewPeerClient returns a client like NewClient that uses HTTP/2 without TLS. The
// header compression of HTTP/2 keeps small calls small.
func NewPeerClient() *http.Client {
	client := newClient(false)
	transport := client.Transport.(*http.Transport)
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetUnencryptedHTTP2(true)
	return client
}

// NewPeerTLSClient returns a client like NewClient that uses HTTP/2 with TLS. It
// calls current for the configuration of each new connection.
func NewPeerTLSClient(current func() *tls.Config) *http.Client {
	client := newClient(false)
	transport := client.Transport.(*http.Transport)
	transport.ForceAttemptHTTP2 = true
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialer := tls.Dialer{Config: current()}
		return dialer.DialContext(ctx, network, address)
	}
	return client
}

func newClient(compress bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  !compress,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends a request and returns the response, whose body the caller closes.
// Its errors are *StatusError and *TransportError.
func Send(client *http.Client, req *http.Request) (*http.Response, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &TransportError{Sent: connected.Load(), Err: err}
	}
	if resp.StatusCode/100 == 2 {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return nil, &StatusError{Code: resp.StatusCode, Message: strings.TrimSpace(string(text)), Header: resp.Header, Reused: reused.Load()}
}

// Call sends in as JSON, or no body if in is nil, and decodes the response into
// out unless out is nil. Its errors are those of Send.
func Call(ctx context.Context, client *http.Client, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return &TransportError{Err: err}
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return &TransportError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := Send(client, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return &TransportError{Sent: true, Err: err}
	}
	return nil
}

// NeverSent reports whether err shows that no byte of the request left this host.
func NeverSent(err error) bool {
	var transport *TransportError
	return errors.As(err, &transport) && !transport.Sent
}

// Status returns the HTTP status code of a StatusError in err, or 0.
func Status(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}
