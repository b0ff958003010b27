package limits_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/limits"
)

const short = 50 * time.Millisecond

func serve(t *testing.T, timeouts limits.Timeouts, handler http.HandlerFunc) net.Conn {
	server := httptest.NewServer(limits.Handler(handler, timeouts))
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestSlowBodyIsCutOff(t *testing.T) {
	errs := make(chan error, 1)
	conn := serve(t, limits.Timeouts{Body: short, Write: time.Minute}, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		errs <- err
	})
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
	require.NoError(t, err)
	require.Error(t, <-errs)
}

func TestSlowReaderIsCutOff(t *testing.T) {
	errs := make(chan error, 1)
	conn := serve(t, limits.Timeouts{Body: time.Minute, Write: short}, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 1<<20)
		for {
			if _, err := w.Write(chunk); err != nil {
				errs <- err
				return
			}
		}
	})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.Error(t, <-errs, "writing a response that nobody reads did not fail")
}

// TestLongStreamIsNotCutOff streams for longer than both timeouts after the body
// was read to its end.
func TestLongStreamIsNotCutOff(t *testing.T) {
	conn := serve(t, limits.Timeouts{Body: short, Write: short}, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		for range 6 {
			select {
			case <-time.After(short / 2):
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(w, "piece\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, data, 6*len("piece\n"))
}
