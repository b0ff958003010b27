package connstate

import (
	"net"
	"net/http"
	"testing"

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
