package connstate

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectionsAreCountedByState(t *testing.T) {
	var c Counter
	first, second := &net.TCPConn{}, &net.TCPConn{}
	for _, step := range []struct {
		conn       net.Conn
		state      http.ConnState
		open, busy int
	}{
		{first, http.StateNew, 1, 0},
		{second, http.StateNew, 2, 0},
		{first, http.StateActive, 2, 1},
		{second, http.StateActive, 2, 2},
		{first, http.StateIdle, 2, 1},
		{first, http.StateActive, 2, 2},
		{first, http.StateClosed, 1, 1},
		{second, http.StateIdle, 1, 0},
		{second, http.StateClosed, 0, 0},
	} {
		c.Record(step.conn, step.state)
		require.Equal(t, step.open, c.Open())
		require.Equal(t, step.busy, c.Busy())
	}
}

// A caller sends two requests at once. The server takes its connection for idle while the
// second is handled.
func TestRequestThatWasReadWithTheOneBeforeIsCounted(t *testing.T) {
	const waitTimeout = 20 * time.Second
	var c Counter
	handled, finish := make(chan bool), make(chan bool)
	server := httptest.NewUnstartedServer(c.Track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		handled <- true
		<-finish
	})))
	server.Config.ConnState, server.Config.ConnContext = c.Record, ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n", 2))
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for range 2 {
		<-handled
		require.Equal(t, 1, c.Answering())
		finish <- true
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.Eventually(t, func() bool { return c.Answering() == 0 }, waitTimeout, time.Millisecond)
}
