package request_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerRequest is what testdata/compat/accepted.pb holds.
func formerRequest() *request.Request {
	return &request.Request{
		ID: "entry-a.inc-1.2s", Customer: "acme", Service: "chat", Route: "ask", Key: "key", Prompt: "prompt",
		MaxTokens: 1, Body: []byte("body"), Accepted: time.UnixMilli(1 << 40), Deadline: time.UnixMilli(1<<40 + 2),
		Fingerprint: 1<<63 + 3, Attempts: 4,
	}
}

// formerResults are what testdata/compat/result-*.pb hold, by outcome.
var formerResults = map[string]request.Result{
	"answer":  {Outcome: request.Answer, ContentType: "text/plain", Body: []byte("whole"), Tokens: 5},
	"not-run": {Outcome: request.NotRun, Reason: request.ReasonOverload},
	"unknown": {Outcome: request.Unknown, Reason: request.ReasonUpstreamLost},
}

// formerFingerprint is the fingerprint that the former build gave.
const formerFingerprint = uint64(0xe19d7f3452132b92)

// write returns a message with its fields in the order of their numbers.
func write(t testing.TB, m proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	require.NoError(t, err)
	return data
}

func TestReadsFormerData(t *testing.T) {
	ids := strings.Fields(string(testcompat.Read(t, "ids.txt")))
	want := []request.ID{
		{Host: "entry-a", Incarnation: "inc-1", Nonce: 100}, {Host: "entry-b", Incarnation: "inc-2", Nonce: 1<<64 - 1},
	}
	require.Len(t, ids, len(want))
	for i, text := range ids {
		got, err := request.ParseID(text)
		require.NoError(t, err)
		require.Equal(t, want[i], got)
		require.Equal(t, text, got.String())
	}

	var accepted peerv1.Accepted
	data := testcompat.Read(t, "accepted.pb")
	require.NoError(t, proto.Unmarshal(data, &accepted))
	got := request.FromPeer(&accepted)
	require.Equal(t, formerRequest(), got)
	require.Equal(t, data, write(t, got.ToPeer()))

	for name, want := range formerResults {
		var result peerv1.Result
		data := testcompat.Read(t, "result-"+name+".pb")
		require.NoError(t, proto.Unmarshal(data, &result))
		got := request.ResultFromPeer(&result)
		require.Equal(t, want, got)
		require.Equal(t, name, got.Outcome.String())
		require.Equal(t, data, write(t, got.ToPeer()))
	}
	require.Equal(t, formerFingerprint, request.Fingerprint("chat", "ask", "prompt", []byte("body")))
}
