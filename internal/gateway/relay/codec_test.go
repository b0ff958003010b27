package relay

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// nested returns a message with an unknown field of nested arrays.
func nested(depth int) []byte {
	return append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, depth)...)
}

func TestDeeplyNestedMessageIsRejected(t *testing.T) {
	var a Response
	require.ErrorIs(t, wire.Codec{}.Unmarshal(nested(maxResponseBytes-3), &a), wire.ErrNestingTooDeep)
	require.ErrorIs(t, wire.Codec{}.Unmarshal(nested(wire.MaxNesting), &a), wire.ErrNestingTooDeep)
	shallow := append(nested(wire.MaxNesting-2), 0x01)
	require.NotErrorIs(t, wire.Codec{}.Unmarshal(shallow, &a), wire.ErrNestingTooDeep)
}

func TestReaderSurvivesDeeplyNestedMessage(t *testing.T) {
	server := httptest.NewServer(Handler(NewCache(), func() Hosts { return Hosts{} }))
	defer server.Close()
	// The longest message that is read, and one that is too long.
	for _, depth := range []int{maxRequestBytes - 3, maxResponseBytes - 3} {
		resp, err := http.Post(server.URL+procedure, "application/msgpack", bytes.NewReader(nested(depth)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.NotEqual(t, http.StatusOK, resp.StatusCode)
	}
	_, err := NewClient().Read(t.Context(), server.Listener.Addr().String(), Request{})
	require.NoError(t, err)
}

func FuzzMessage(f *testing.F) {
	for _, message := range []any{
		&Request{Operator: 3, Upstreams: -1, Wait: MaxWait},
		&Response{Operator: catalog.OperatorUpdate{Next: 4, Changes: []catalog.OperatorChange{{Zone: "z"}}}},
	} {
		data, err := wire.Codec{}.Marshal(message)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add(nested(40))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request Request
		_ = wire.Codec{}.Unmarshal(data, &request)
		var response Response
		_ = wire.Codec{}.Unmarshal(data, &response)
	})
}
