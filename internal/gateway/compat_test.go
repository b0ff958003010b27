package gateway

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

func TestReadsFormerData(t *testing.T) {
	data, err := os.ReadFile("testdata/compat/host.json")
	require.NoError(t, err)
	require.Equal(t, []members.ListedHost{{Name: "front-a-1", PeerAddress: "10.1.0.14:7600"}}, listedHosts([]topic.Entry{{Key: "front-a-1", Value: data}}))
	again, err := json.Marshal(hostRecord{PeerAddress: "10.1.0.14:7600"})
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	require.Equal(t, "keyed.hosts", hostsTopic)
}

// TestMetricNames checks the names under /debug/vars, which callers of the
// metrics rely on.
func TestMetricNames(t *testing.T) {
	data, err := json.Marshal(metrics{})
	require.NoError(t, err)
	var values map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &values))
	names := strings.Fields(`Answered Refused Cut Left Stray Held PoisonTrials Active LeavingUpstreams UpstreamPauses Dials LogLinesDropped LogLinesSampled
		ConfigVersion ConfigAgeMs ListAgeMs LogEpoch Peers Holders DutyToken HeapBytes Goroutines LatencyMs ResidentBytes Connections ClosedIdle RefusedHeads
		ForecastRefusals SharedPromptTokens HeldPromptTokens IndexedPrefixes EnginesWithSlowdown FastExchange ForecastErrorMs
		Isolated ForwardedToPeers`)
	require.ElementsMatch(t, names, slices.Collect(maps.Keys(values)))
}
