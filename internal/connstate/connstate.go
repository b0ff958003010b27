// Package connstate counts the connections of an HTTP server by their state.
package connstate

import (
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
		delete(c.states, conn)
		return
	case http.StateActive:
		c.busy++
	case http.StateNew, http.StateIdle:
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
