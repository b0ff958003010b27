package delivery

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Many callers do not read their answers, and their connections are closed.
func TestConnectionsThatWaitForTheirCallersAreBounded(t *testing.T) {
	const callers = 8
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	listener := NewListener(tcp)
	defer func() { _ = listener.Close() }()
	listener.waiting = make(chan struct{}, 2)
	var ends []net.Conn
	var sizes []int
	for range callers {
		caller, err := net.Dial("tcp4", tcp.Addr().String())
		require.NoError(t, err)
		defer func() { _ = caller.Close() }()
		host, err := listener.Accept()
		require.NoError(t, err)
		require.NoError(t, host.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
		written, _ := host.Write(make([]byte, 16<<20))
		require.NoError(t, host.Close())
		ends, sizes = append(ends, caller), append(sizes, written)
		open := 0
		raw, err := host.(*conn).SyscallConn()
		if err == nil && raw.Control(func(fd uintptr) { _, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) == nil {
			open = 1
		}
		require.Equal(t, open == 1, len(ends) <= cap(listener.waiting), "caller %d", len(ends))
	}
	for i, caller := range ends {
		require.NoError(t, caller.SetReadDeadline(time.Now().Add(20*time.Second)))
		got, err := io.Copy(io.Discard, caller)
		require.NoError(t, err)
		require.EqualValues(t, sizes[i], got)
	}
	listener.Finish(20 * time.Second)
}
