package httpjson

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadWithoutEndIsCut checks that little of a head that does not end is read, and that
// the call may have run.
func TestHeadWithoutEndIsCut(t *testing.T) {
	// What the kernel and the client read ahead is small beside it.
	const most = 2 << 20
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var sent atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		for n, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"); err == nil; n, err = io.WriteString(conn, "X-More: 1\r\n") {
			sent.Add(int64(n))
		}
	}()
	client := NewClient()
	defer client.CloseIdleConnections()
	err = Call(t.Context(), client, http.MethodGet, "http://"+listener.Addr().String(), nil, nil)
	require.Error(t, err)
	require.False(t, NeverSent(err))
	<-ended
	require.Less(t, sent.Load(), int64(most))
	t.Logf("%d KB", sent.Load()>>10)
}
