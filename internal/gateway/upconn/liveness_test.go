package upconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEndBehindAGapIsNotSteady(t *testing.T) {
	read := func(times ...time.Duration) bool {
		var f flow
		f.begin(time.Hour)
		for i, at := range times {
			n, err := 1, error(nil)
			if i == len(times)-1 {
				n, err = 0, io.EOF
			}
			f.record(time.Hour+at, n, err)
		}
		return f.steady()
	}
	require.True(t, read(100*time.Millisecond, 110*time.Millisecond))
	require.False(t, read(100*time.Millisecond, 3*time.Second))
	require.False(t, read(100*time.Millisecond, 3*time.Second, 3100*time.Millisecond), "what came in the gap")
	require.False(t, read(400*time.Millisecond, 410*time.Millisecond), "a late head")
	require.True(t, read(3*time.Second, 3200*time.Millisecond, 3400*time.Millisecond, 3600*time.Millisecond))
}

// serveConns accepts connections and sends them to the channel that it returns.
func serveConns(t *testing.T, address string) (*net.TCPListener, chan net.Conn) {
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return listener.(*net.TCPListener), accepted
}

func TestLivenessConnEndsWithTheProcessThatAcceptedIt(t *testing.T) {
	listener, accepted := serveConns(t, "127.0.0.1:0")
	address := listener.Addr().String()
	conns := NewLivenessConns()
	first, second := conns.Get("u", address), conns.Get("u", address)
	require.Same(t, first, second, "one for all responses of an upstream")
	require.True(t, first.Accepted(t.Context()))
	require.True(t, first.Outlives(t.Context()))
	old := <-accepted
	// The upstream starts again at its address.
	require.NoError(t, listener.Close())
	serveConns(t, address)
	require.NoError(t, old.Close())
	require.False(t, first.Outlives(t.Context()))
	again := conns.Get("u", address)
	require.NotSame(t, first, again)
	require.True(t, again.Accepted(t.Context()))
	require.True(t, again.Outlives(t.Context()))
	for _, c := range []*LivenessConn{first, second, again} {
		conns.Release(c)
	}
	require.Empty(t, conns.byUpstream)
	require.Eventually(t, func() bool { return again.hasEnded() }, waitTimeout, time.Millisecond)
}

func TestLivenessConnThatIsRefusedIsNotAccepted(t *testing.T) {
	listener, _ := serveConns(t, "127.0.0.1:0")
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	conns := NewLivenessConns()
	c := conns.Get("u", address)
	defer conns.Release(c)
	require.False(t, c.Accepted(t.Context()))
	require.True(t, c.hasEnded())
}
