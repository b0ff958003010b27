package main_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessPages writes a page of a listing, with keys of its own, behind which there is always
// another one.
func endlessPages(w io.Writer, after string, valueBytes int) {
	const items = 500
	value := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("{"), valueBytes))
	_, _ = io.WriteString(w, `{"hasMore":true,"end":1,"items":[`)
	for i := range items {
		separator := ","
		if i == 0 {
			separator = ""
		}
		_, _ = fmt.Fprintf(w, `%s{"key":"k%d-%d","value":"%s","offset":1}`, separator, len(after), i, value)
	}
	_, _ = io.WriteString(w, `]}`)
}

// The log answers without end, or with a list of entries that has none.
func TestEndlessAnswersOfTheLogTakeBoundedMemory(t *testing.T) {
	block := []byte(strings.Repeat("x", 64<<10))
	lines := []byte(strings.Repeat("X-More: 1\r\n", 6000))
	list := func(valueBytes int) func(net.Conn, *http.Request) {
		return func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			endlessPages(conn, r.URL.Query().Get("after"), valueBytes)
			_ = conn.Close()
		}
	}
	forms := map[string]func(conn net.Conn, r *http.Request){
		"body":                func(conn net.Conn, _ *http.Request) { writeOn(conn, "HTTP/1.1 200 OK\r\n\r\n", block) },
		"head":                func(conn net.Conn, _ *http.Request) { writeOn(conn, "HTTP/1.1 200 OK\r\n", lines) },
		"list of long pages":  list(10 << 10),
		"list of short pages": list(1 << 10),
	}
	for name, answer := range forms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, err := os.Create(t.TempDir() + "/log")
			require.NoError(t, err)
			defer func() { _ = log.Close() }()
			g := prepareGateway(t, log)
			listener, err := net.Listen("tcp4", g.port(deadPort))
			require.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				answer(conn, r)
			})}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			g.start()
			g.awaitAnswers()
			time.Sleep(6 * time.Second)
			highest := g.settledMemoryMB()
			t.Logf("%d MB resident at most", highest)
			require.Less(t, highest, memoryMB/2)
			g.awaitAnswers()
			text, err := os.ReadFile(log.Name())
			require.NoError(t, err)
			require.Contains(t, string(text), "dependency lost")
		})
	}
}

// writeOn writes the same bytes behind a start until the connection is closed.
func writeOn(conn net.Conn, start string, block []byte) {
	_, err := io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(block)
	}
}
