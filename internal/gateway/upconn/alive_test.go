package upconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*net.TCPConn)
}

// waitTimeout bounds waits for the kernel.
const waitTimeout = 10 * time.Second

// TestConnectionClosedDuringAPauseIsNotOpen checks connections whose ends came while this
// process was paused, until their read deadlines had passed: a read reports only that.
func TestConnectionClosedDuringAPauseIsNotOpen(t *testing.T) {
	ends := []struct {
		end  func(far *net.TCPConn) error
		want error
	}{
		{func(*net.TCPConn) error { return nil }, nil},
		{func(far *net.TCPConn) error { return far.Close() }, io.EOF},
		{func(far *net.TCPConn) error { return errors.Join(far.SetLinger(0), far.Close()) }, syscall.ECONNRESET},
	}
	for _, e := range ends {
		near, far := connect(t)
		require.NoError(t, e.end(far))
		require.NoError(t, near.SetReadDeadline(time.Now().Add(-time.Second)))
		_, err := near.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Eventually(t, func() bool { return errors.Is(checkOpen(near), e.want) }, waitTimeout, time.Millisecond)
	}
}
