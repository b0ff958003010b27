package upconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load pattern: a sound upstream neither reads nor writes for longer than the time after which
// the kernel gives up data that is not acknowledged. Its kernel acknowledges it.
func TestConnectionOfASilentUpstreamIsKept(t *testing.T) {
	const silence = 2 * tcpUserTimeout
	// It fits into the buffers of the upstream's kernel.
	body := make([]byte, 16<<10)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		time.Sleep(silence)
		if _, err = io.ReadFull(conn, make([]byte, len(body))); err == nil {
			_, err = conn.Write([]byte("x"))
		}
		served <- err
	}()
	conn, err := NewPool().Get(context.Background(), "u", listener.Addr().String(), AnyIdle)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(http.MethodPost, "/", "u", http.Header{}, body)
	require.NoError(t, err)
	_, err = conn.Reader.ReadByte()
	require.NoError(t, err)
	require.NoError(t, <-served)
}
