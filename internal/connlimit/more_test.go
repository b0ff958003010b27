package connlimit

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerMore answers with the path, the body and whether more was sent. For a request to /later
// it waits until more is known to have been sent.
func answerMore(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	for start := time.Now(); r.URL.Path == "/later" && !More(r) && time.Since(start) < waitTimeout; {
		time.Sleep(time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "%s %s %v", r.URL.Path, body, More(r))
}

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

const chunked = "POST /chunked HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"

func TestFurtherRequestsAreSeen(t *testing.T) {
	long := strings.Repeat("x", 9000)
	for name, c := range map[string]struct {
		sent []string
		want []string
	}{
		"one by one":         {[]string{post("/a", "1"), post("/b", "")}, []string{"/a 1 false", "/b  false"}},
		"at once":            {[]string{post("/a", "") + post("/b", "22") + post("/c", "")}, []string{"/a  true", "/b 22 true", "/c  false"}},
		"long bodies":        {[]string{post("/a", long) + post("/b", long)}, []string{"/a " + long + " true", "/b " + long + " false"}},
		"a head in parts":    {[]string{post("/a", "") + "POST /b HTTP/1.1\r\nHost: a.exa", "mple\r\nContent-Length: 0\r\n\r\n"}, []string{"/a  true", "/b  false"}},
		"more comes later":   {[]string{post("/later", "1"), post("/b", "")}, []string{"/later 1 true", "/b  false"}},
		"behind chunks":      {[]string{chunked + post("/b", "2") + post("/c", "3")}, []string{"/chunked abc false", "/b 2 false", "/c 3 false"}},
		"behind chunks, and": {[]string{chunked, post("/b", "2") + post("/c", "3")}, []string{"/chunked abc false", "/b 2 true", "/c 3 false"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := serve(t, NewGate(1, 1<<20), 1, answerMore).dial()
			reader := conn.reader
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
