package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

// A request in progress got the refusal of a byte behind it when the memory of heads was taken.
func TestByteBehindARequestIsNotRefusedInPlaceOfItsResponse(t *testing.T) {
	inner, err := net.Listen("tcp4", testaddr.Next()+":0")
	require.NoError(t, err)
	g := NewGate(1, 64<<10)
	s := &server{t: t, address: inner.Addr().String(), listener: g.Listen(inner, 1, Plain)}
	arrived, finish := make(chan struct{}), make(chan struct{})
	bounded := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-finish
		_, _ = fmt.Fprint(w, r.Context().Err())
	}))
	late := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server begins to look for the end of the connection before it calls the handler.
		time.Sleep(50 * time.Millisecond)
		bounded.ServeHTTP(w, r)
	})
	web := &http.Server{Handler: late, ConnState: ConnState, ConnContext: ConnContext}
	go func() { _ = web.Serve(s.listener) }()
	t.Cleanup(func() { _ = web.Close() })

	conn := s.dial()
	_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a.example\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 20<<10))
	require.NoError(t, err)
	<-arrived
	g.mu.Lock()
	g.heads.free = 0
	g.mu.Unlock()
	_, err = io.WriteString(conn, "G")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(finish)
	resp, err := http.ReadResponse(conn.reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "200 OK <nil>", resp.Status+" "+string(body))
}
