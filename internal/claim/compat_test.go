package claim_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/testcompat"
)

// formerReasons are all reasons of requests without an answer.
var formerReasons = []request.Reason{
	request.ReasonDeadline, request.ReasonOverload, request.ReasonHeldBack, request.ReasonNoUpstream,
	request.ReasonUpstreamFailed, request.ReasonUpstreamLost, request.ReasonInvalid, request.ReasonCancelled,
	request.ReasonClaimedBefore, request.ReasonKeyExpired, request.ReasonLogDown, request.ReasonLeaving,
	request.ReasonCustomerLimit, request.ReasonNotConfigured, request.ReasonHolderGone,
}

// formerKey returns a key created at the time of the first record.
func formerKey(name string) string {
	return claim.Scoped(fmt.Sprintf("%d.%s", testcompat.Start.Unix(), name), "acme")
}

// formerBatches are the entries in testdata/compat/records.jsonl.
func formerBatches() []claim.Batch {
	one := claim.Holder{Host: "entry-a", Incarnation: "inc-1", Number: 1}
	two := claim.Holder{Host: "entry-b", Incarnation: "inc-2", Number: 1<<63 + 2}
	three := claim.Holder{Host: "entry-c", Incarnation: "inc-3", Number: 3}
	answer := request.Result{Outcome: request.Answer, ContentType: "text/plain", Body: []byte("whole"), Tokens: 4}
	batches := []claim.Batch{
		{Ops: []claim.Op{{Acquire: &claim.AcquireOp{Key: formerKey("k1"), Fingerprint: 1<<63 + 5, Holder: one}}}},
		{Ops: []claim.Op{
			{Release: &claim.ReleaseOp{Key: formerKey("k1"), Holder: one}},
			{Acquire: &claim.AcquireOp{Key: formerKey("k1"), Fingerprint: 6, Holder: two}},
		}},
		{Ops: []claim.Op{{Result: &claim.ResultOp{Key: formerKey("k1"), Fingerprint: 7, Holder: two, Result: answer}}}},
		{Ops: []claim.Op{
			{Acquire: &claim.AcquireOp{Key: formerKey("k2"), Fingerprint: 8, Holder: two}},
			{Acquire: &claim.AcquireOp{Key: formerKey("k3"), Fingerprint: 9, Holder: three}},
			{Retire: &claim.RetireOp{Incarnation: "inc-3"}},
		}},
	}
	for i, reason := range formerReasons {
		result := request.Result{Outcome: request.NotRun + request.Outcome(i%2), Reason: reason}
		batches = append(batches, claim.Batch{Ops: []claim.Op{{Result: &claim.ResultOp{
			Key: formerKey("t-" + string(reason)), Fingerprint: uint64(10 + i), Holder: one, Ticket: true, Result: result,
		}}}})
	}
	return batches
}

func TestReadsFormerData(t *testing.T) {
	batches := formerBatches()
	state := testcompat.Fold(t, claim.Apply, batches)
	require.Equal(t, &claim.Entry{
		Seen: testcompat.Start, Holder: batches[2].Ops[0].Result.Holder, Fingerprint: 7,
		Result: &batches[2].Ops[0].Result.Result, Released: []claim.Holder{batches[1].Ops[0].Release.Holder},
	}, state.Entries[formerKey("k1")])
	require.True(t, state.Entries[formerKey("k2")].Held())
	require.False(t, state.Entries[formerKey("k3")].Held())
	require.Equal(t, map[string]time.Time{"inc-3": testcompat.Start.Add(3 * time.Second)}, state.Retired)
	require.Equal(t, "unknown", state.Entries[formerKey("t-overload")].Result.Outcome.String())
	require.Len(t, state.Entries, 3+len(formerReasons))
}

// TestReadsFormerStateWithLimit reads a state that does not include all records.
func TestReadsFormerStateWithLimit(t *testing.T) {
	data := testcompat.Read(t, "since.json")
	var state claim.State
	require.NoError(t, json.Unmarshal(data, &state))
	require.Equal(t, testcompat.Start, state.Since)
	require.Equal(t, testcompat.Start.Add(time.Minute), state.Swept)
	again, err := json.Marshal(state)
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
}
