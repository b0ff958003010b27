package bind

import (
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

// failingListener fails a few times before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// The kernel has no memory for a connection for a while.
func TestFailedAcceptEndsNoServer(t *testing.T) {
	listener, err := net.Listen("tcp4", testaddr.Port(testaddr.Next(), 0))
	require.NoError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, Handler: http.NotFoundHandler(), ErrorLog: log.New(t.Output(), "", 0),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(KeepAccepting(failing)) }()
	resp, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-served, http.ErrServerClosed)
}
