package options_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/options"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

func TestReadsFormerData(t *testing.T) {
	want := &options.Options{
		Host: "front-b-2", Address: "10.1.0.14", AvailabilityZone: "zone-b", Region: "region-c",
		Listen:   options.Listen{Callers: "10.1.0.14:8221", Readiness: "10.1.0.15:8224", Directory: "10.1.0.16:8220"},
		PeerPort: 7600, MetricsPort: 7601, Log: "10.200.1.7:8225", Cloud: "10.200.0.35:8226",
		GracePeriod: jsonc.Duration(8 * time.Second), RevokeKeysWithin: jsonc.Duration(5500 * time.Millisecond),
		UsageWindow: jsonc.Duration(6 * time.Second), DutyLease: jsonc.Duration(3 * time.Second),
		RetryBudget: options.RetryBudget{Ratio: 0.2, Slack: 58.5, Window: jsonc.Duration(10 * time.Second)},
		MemoryMB:    284,
	}
	// settings.jsonc is the template with its values, settings.json the same
	// settings as the former build writes them.
	written, err := os.ReadFile("testdata/compat/settings.json")
	require.NoError(t, err)
	source, err := os.ReadFile("testdata/compat/settings.jsonc")
	require.NoError(t, err)
	for _, data := range [][]byte{source, written} {
		got, err := options.Parse(data)
		require.NoError(t, err)
		require.Equal(t, want, got)
		again, err := json.Marshal(got)
		require.NoError(t, err)
		require.Equal(t, string(written), string(again))
	}
}
