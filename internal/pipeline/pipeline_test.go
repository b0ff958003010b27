package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/pipeline"
)

// waitTimeout bounds the waits of these tests, which normally take far less.
const waitTimeout = 20 * time.Second

// serve serves requests whose answers are the path, the body and whether more was sent. A
// request to /later waits until more is known to have been sent.
func serve(t *testing.T) net.Conn {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		ReadHeaderTimeout: waitTimeout, ConnContext: pipeline.Context, ConnState: pipeline.Record,
		Handler: pipeline.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			for start := time.Now(); r.URL.Path == "/later" && !pipeline.More(r) && time.Since(start) < waitTimeout; {
				time.Sleep(time.Millisecond)
			}
			_, _ = fmt.Fprintf(w, "%s %s %v", r.URL.Path, body, pipeline.More(r))
		})),
	}
	go func() { _ = server.Serve(pipeline.Listener{Listener: tcp}) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", tcp.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn
}

func request(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

const chunked = "POST /chunked HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"

func TestFurtherRequestsAreSeen(t *testing.T) {
	long := strings.Repeat("x", 9000)
	for name, c := range map[string]struct {
		sent []string
		want []string
	}{
		"one by one":         {[]string{request("/a", "1"), request("/b", "")}, []string{"/a 1 false", "/b  false"}},
		"at once":            {[]string{request("/a", "") + request("/b", "22") + request("/c", "")}, []string{"/a  true", "/b 22 true", "/c  false"}},
		"long bodies":        {[]string{request("/a", long) + request("/b", long)}, []string{"/a " + long + " true", "/b " + long + " false"}},
		"a head in parts":    {[]string{request("/a", "") + "POST /b HTTP/1.1\r\nHost: a.exa", "mple\r\nContent-Length: 0\r\n\r\n"}, []string{"/a  true", "/b  false"}},
		"more comes later":   {[]string{request("/later", "1"), request("/b", "")}, []string{"/later 1 true", "/b  false"}},
		"behind chunks":      {[]string{chunked + request("/b", "2") + request("/c", "3")}, []string{"/chunked abc false", "/b 2 false", "/c 3 false"}},
		"behind chunks, and": {[]string{chunked, request("/b", "2") + request("/c", "3")}, []string{"/chunked abc false", "/b 2 true", "/c 3 false"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := serve(t)
			reader := bufio.NewReader(conn)
			answer := 0
			for i, sent := range c.sent {
				_, err := io.WriteString(conn, sent)
				require.NoError(t, err)
				last := i == len(c.sent)-1
				if !last && strings.Contains(sent, "/later") {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for answer < len(c.want) && (last || answer == i) {
					resp, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					got, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, c.want[answer], string(got))
					answer++
				}
			}
			require.Len(t, c.want, answer)
		})
	}
}
