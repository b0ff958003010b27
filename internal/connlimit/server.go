package connlimit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

type connKey struct{}

// accepted returns the connection of a Listener that a server uses, nil if it is of another
// listener.
func accepted(conn net.Conn) *Conn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// ConnState serves as ConnState of an http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c := accepted(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateIdle:
		c.becomeIdle()
	case http.StateActive:
		c.becomeActive()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// ConnContext serves as ConnContext of an http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c := accepted(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// More reports whether the caller of a request over HTTP/1 has sent something behind it, as
// far as that is known.
func More(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && r.ProtoMajor == 1 && c.hasMore()
}

// Handler returns a handler that marks the end of a request's head and calls next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		multiplexed := r.ProtoMajor >= 2
		switch {
		case !c.begin(multiplexed, r.ContentLength):
			panic(http.ErrAbortHandler)
		case multiplexed:
			c.serveStream(w, r, next)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// serveStream counts the head of a request over HTTP/2, whose connection has others.
func (c *Conn) serveStream(w http.ResponseWriter, r *http.Request, next http.Handler) {
	g := c.listener.gate
	var head headUse
	g.mu.Lock()
	fits := g.heads.grow(&head, costOfHeader(r.Header))
	g.mu.Unlock()
	if !fits {
		g.refusedHeads.Add(1)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.heads.release(&head)
	}()
	next.ServeHTTP(w, r)
}

// costOfHeader returns the cost of a decoded head. A stream has no part for itself, as a
// connection may have many.
func costOfHeader(header http.Header) cost {
	var c cost
	for name, values := range header {
		for _, value := range values {
			c.bytes += len(name) + len(value) + headerLineBytes
		}
	}
	return c
}
