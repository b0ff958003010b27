package delivery_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/delivery"
)

// waitTimeout bounds the waits of these tests, which normally take far less.
const waitTimeout = 20 * time.Second

// connect returns both ends of a connection; that of the caller receives little at once.
func connect(t *testing.T) (*delivery.Listener, net.Conn, net.Conn) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := delivery.NewListener(tcp)
	t.Cleanup(func() { _ = listener.Close() })
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	caller, err := dialer.Dial("tcp4", tcp.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	host, err := listener.Accept()
	require.NoError(t, err)
	return listener, caller, host
}

// fill writes as much as the kernel takes, and returns its length.
func fill(t *testing.T, conn net.Conn) int {
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	n, _ := conn.Write(make([]byte, 16<<20))
	require.Positive(t, n)
	return n
}

// A caller has sent more than its host read, reads slowly and sends on when the host closes
// the connection.
func TestWrittenBytesArriveBehindUnreadOnes(t *testing.T) {
	listener, caller, host := connect(t)
	_, err := caller.Write([]byte("not read"))
	require.NoError(t, err)
	written := fill(t, host)
	require.NoError(t, host.Close())
	time.Sleep(50 * time.Millisecond)
	_, err = caller.Write([]byte("behind the close"))
	require.NoError(t, err)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	got, err := io.Copy(io.Discard, caller)
	if err != nil {
		require.ErrorIs(t, err, syscall.ECONNRESET, "the end may be a reset")
	}
	require.EqualValues(t, written, got)
	listener.Finish(waitTimeout)
}

// A connection that waits for a request is closed.
func TestReadEndsWithItsConnection(t *testing.T) {
	for name, written := range map[string]bool{"unreceived bytes": true, "nothing written": false} {
		t.Run(name, func(t *testing.T) {
			_, _, host := connect(t)
			if written {
				fill(t, host)
			}
			ended := make(chan error, 1)
			go func() {
				_, err := host.Read(make([]byte, 1))
				ended <- err
			}()
			require.NoError(t, host.Close())
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(waitTimeout):
				require.Fail(t, "the read goes on")
			}
		})
	}
}

// A caller that has sent more than its host read reads nothing until the host has ended.
func TestWrittenBytesArriveWhenTheHostEnds(t *testing.T) {
	listener, caller, host := connect(t)
	_, err := caller.Write([]byte("not read"))
	require.NoError(t, err)
	written := fill(t, host)
	require.NoError(t, host.Close())
	listener.Finish(time.Millisecond)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	got, err := io.Copy(io.Discard, caller)
	require.NoError(t, err)
	require.EqualValues(t, written, got)
}
