// Package pipeline tells whether a caller of HTTP/1 has sent further requests on a connection
// behind the one that is handled, so that a server does not close it with them unanswered.
package pipeline

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// Listener accepts connections whose requests are told apart. Its server needs Context as
// ConnContext, Record as ConnState, and Handler around its handler.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, part: head}, nil
}

// part is the part of a request to which the next bytes belong.
type part int

const (
	head part = iota
	// unknown follows a head until the length of the body is known, and stays if it is
	// chunked.
	unknown
	body
	// behind is the part behind a request whose response is not complete.
	behind
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// conn hands out the bytes of one part of a request at a time.
type conn struct {
	net.Conn
	// rest holds bytes that were read and not handed out.
	rest []byte

	mu   sync.Mutex
	part part
	// matched is how much of headEnd the latest bytes of a head are.
	matched int
	// left is the length of what is left of a body.
	left int64
	// handed is the number of bytes handed out behind the head.
	handed int64
	// held is the length of rest.
	held int
}

// Read implements net.Conn. It is not called concurrently.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.rest) > 0 {
		n = copy(p, c.rest)
		c.rest = c.rest[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.advance(p[:n])
	if out < n {
		c.rest = append(bytes.Clone(p[out:n]), c.rest...)
	}
	c.held = len(c.rest)
	return out, err
}

// CloseWrite ends the sending side of the connection. The server uses it, so that its last
// response is not lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// advance returns how many of the bytes that follow belong to the current part.
func (c *conn) advance(data []byte) int {
	switch c.part {
	case head:
		return c.advanceHead(data)
	case body:
		n := int(min(c.left, int64(len(data))))
		c.left -= int64(n)
		if c.left == 0 {
			c.part, c.handed = behind, 0
		}
		return n
	case unknown, behind:
		c.handed += int64(len(data))
	}
	return len(data)
}

func (c *conn) advanceHead(data []byte) int {
	for i, b := range data {
		switch b {
		case headEnd[c.matched]:
			c.matched++
		case headEnd[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(headEnd) {
			c.part, c.matched, c.handed = unknown, 0, 0
			return i + 1
		}
	}
	return len(data)
}

// begin notes the length of the body of the request whose head was handed out, -1 if it is
// unknown.
func (c *conn) begin(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.part == head || length < 0:
		// The head was handed out with the request before.
		c.part = unknown
	case length <= c.handed:
		c.part, c.handed = behind, c.handed-length
	default:
		c.part, c.left = body, length-c.handed
	}
}

// next notes that the response to a request is complete.
func (c *conn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part, c.matched = head, 0
}

// more reports whether bytes behind the request have arrived.
func (c *conn) more() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part == behind && (c.handed > 0 || c.held > 0)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Context serves as ConnContext of an http.Server.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Record serves as ConnState of an http.Server.
func Record(c net.Conn, state http.ConnState) {
	if p, ok := c.(*conn); ok && state == http.StateIdle {
		p.next()
	}
}

// Handler returns a handler that calls next for requests on connections of a Listener.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin(r.ContentLength)
		}
		next.ServeHTTP(w, r)
	})
}

// More reports whether the caller of a request has sent something behind it. If the body
// was not read to its end or is chunked, that is not known, and it returns false.
func More(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.more()
}
