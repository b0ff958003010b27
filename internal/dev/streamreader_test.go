package dev_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/entry"
)

// streamReader reads a stream as a caller does: after a "moved" event it continues
// at the host in the event, from the offset that it has reached.
type streamReader struct {
	t      *testing.T
	id     string
	resp   *http.Response
	lines  *bufio.Scanner
	event  string
	tokens []string
	done   bool
}

func newStreamReader(t *testing.T, id string, resp *http.Response) *streamReader {
	return &streamReader{t: t, id: id, resp: resp, lines: bufio.NewScanner(resp.Body)}
}

// read reads until it has at least count tokens or the stream is done.
func (f *streamReader) read(count int) {
	for !f.done && len(f.tokens) < count {
		f.line()
	}
}

func (f *streamReader) readToEnd() {
	for !f.done {
		f.line()
	}
	require.NoError(f.t, f.resp.Body.Close())
}

func (f *streamReader) line() {
	require.True(f.t, f.lines.Scan(), "the stream ended early, after %d tokens", len(f.tokens))
	if name, ok := strings.CutPrefix(f.lines.Text(), "event: "); ok {
		f.event = name
	}
	data, ok := strings.CutPrefix(f.lines.Text(), "data: ")
	if !ok {
		return
	}
	switch f.event {
	case "token":
		var token entry.TokenEvent
		require.NoError(f.t, json.Unmarshal([]byte(data), &token))
		require.Equal(f.t, len(f.tokens), token.Offset)
		f.tokens = append(f.tokens, token.Token)
	case "moved":
		var moved entry.MovedEvent
		require.NoError(f.t, json.Unmarshal([]byte(data), &moved))
		f.follow(moved.Address)
	case "done":
		f.done = true
	default:
		require.Fail(f.t, "event "+f.event, data)
	}
}

func (f *streamReader) follow(address string) {
	require.NoError(f.t, f.resp.Body.Close())
	path := fmt.Sprintf("/v1/requests/%s/stream?offset=%d", f.id, len(f.tokens))
	f.resp = do(f.t.Context(), http.MethodGet, address, path, "", nil)
	require.NotNil(f.t, f.resp, "host %s does not respond", address)
	require.Equal(f.t, http.StatusOK, f.resp.StatusCode)
	f.lines = bufio.NewScanner(f.resp.Body)
}
