// Package connstate counts the connections of an HTTP server by their state.
package connstate

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Counter counts connections. Its zero value is ready for use, and it is safe for
// concurrent use.
type Counter struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
	busy   int
	// answering holds the connections whose request has reached the handler of Track.
	answering map[net.Conn]bool
}

// Record notes the state of a connection. It serves as ConnState of an http.Server.
func (c *Counter) Record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states[conn] == http.StateActive {
		c.busy--
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.answering, conn)
		delete(c.states, conn)
		return
	case http.StateActive:
		c.busy++
	case http.StateIdle:
		delete(c.answering, conn)
	case http.StateNew:
	}
	if c.states == nil {
		c.states = map[net.Conn]http.ConnState{}
	}
	c.states[conn] = state
}

// Open returns the number of connections.
func (c *Counter) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.states)
}

// Busy returns the number of connections on which a request has begun to arrive that
// has no complete response yet.
func (c *Counter) Busy() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext makes connections known to Track. It serves as ConnContext of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Track returns a handler that calls next and notes that a connection of HTTP/1 has a request.
// The server does not report one that was read together with the request before it.
func (c *Counter) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok && r.ProtoMajor == 1 {
			c.begin(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *Counter) begin(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answering == nil {
		c.answering = map[net.Conn]bool{}
	}
	c.answering[conn] = true
}

// Answering returns the number of connections whose request has reached the handler of Track
// and whose response is not written to its end.
func (c *Counter) Answering() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answering)
}
