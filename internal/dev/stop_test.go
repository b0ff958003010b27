package dev_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Load pattern: a caller sends two bookings, whose answers repeat them, at once and reads the
// first answer late, when its host stops.
func TestAnswerThatIsReadLateIsCompleteBehindAStop(t *testing.T) {
	const readAfter = 5 * time.Second
	c := startCluster(t, 2)
	p := c.hosts[0]
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp4", p.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	body := `"` + strings.Repeat("x", 7<<20) + `"`
	go func() {
		for i := range 2 {
			_, _ = fmt.Fprintf(conn, "POST /v1/services/booking/routes/book HTTP/1.1\r\nHost: a.example\r\nX-Customer: web-chat\r\n"+
				"Idempotency-Key: late-%d\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
		}
	}()
	c.await(func() bool { return len(c.Store.Runs()) == 1 })
	p.signal(syscall.SIGTERM)
	time.Sleep(readAfter)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err, "after %d bytes", n)
	require.Greater(t, n, int64(len(body)))
	require.NoError(t, p.wait())
}
