package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// Guards against a list that is taken for complete in another epoch than it was, or while hosts that
// could not reach the log may lack in it.
func TestListIsSettledLongBehindItsCompletion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	entries := func(epoch int64, age time.Duration) []topic.Entry {
		record, err := json.Marshal(completeRecord{Epoch: epoch, AtMillis: now.Add(-age).UnixMilli()})
		require.NoError(t, err)
		return []topic.Entry{{Key: "front-a-1", Value: []byte(`{"peers":"10.1.0.14:7600"}`)}, {Key: completeKey, Value: record}}
	}
	require.True(t, settled(entries(2, settledAfter), 2, now))
	require.False(t, settled(entries(2, settledAfter-time.Second), 2, now))
	require.False(t, settled(entries(1, time.Hour), 2, now), "before the latest copy")
	require.False(t, settled(nil, 2, now))
	require.False(t, settled([]topic.Entry{{Key: completeKey, Value: []byte("{")}}, 2, now))
	require.Len(t, listedHosts(entries(2, 0)), 1, "the note is no host")
}

// TestReadsFormerProof checks that the proof of the configuration is recorded where and as a build
// with epochs of the log does.
func TestReadsFormerProof(t *testing.T) {
	const former = `{"epoch":2,"version":53}`
	var record proofRecord
	require.NoError(t, json.Unmarshal([]byte(former), &record))
	require.Equal(t, proofRecord{Epoch: 2, Version: 53}, record)
	again, err := json.Marshal(record)
	require.NoError(t, err)
	require.Equal(t, former, string(again))
	require.Equal(t, []string{"keyed.proof", "configuration"}, []string{proofTopic, proofKey})
}
