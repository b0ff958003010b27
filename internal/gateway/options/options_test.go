package options_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/options"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
)

// placeholderValues are values for the placeholders that the platform fills in.
var placeholderValues = map[string]string{
	"nodeName|json": `"front-a-1"`, "ip|json": `"10.1.0.14"`, "zone|json": `"a"`, "region|json": `"r"`,
	"listenAddrs.front|json": `"10.1.0.14:8221"`, "listenAddrs.ready|json": `"10.1.0.14:8224"`,
	"listenAddrs.directory|json": `"10.1.0.14:8220"`, "portRange.0|json": "7600", "portRange.1|json": "7601",
	"provider.address|json": `"10.200.1.7:8225"`, "cloudApi.address": "10.200.0.35:8225",
	"parameters.gracePeriodS": "8", "parameters.revokeMs": "5000", "parameters.windowS": "5", "parameters.leaseMs": "3000",
	"parameters.retryBudgetRatio|json": "0.2", "parameters.retrySlack|json": "58", "parameters.budgetWindowS": "10",
	"limits.memoryMb|json": "284", "limits.cpuShare|json": "0.4",
	// A section is rendered if its value is present.
	"#bootstrap": "", "/bootstrap": "",
	"#parameters.quotaWindowS": "", "/parameters.quotaWindowS": "",
	"parameters.quotaExcess|json": "0.1", "parameters.quotaSlack|json": "140000", "parameters.quotaWindowS": "8",
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// settingsFromTemplate returns the settings that the platform generates.
func settingsFromTemplate(t testing.TB) []byte {
	src, err := os.ReadFile("../../../deploy/gateway.tmpl")
	require.NoError(t, err)
	return fillPlaceholders(t, src)
}

func fillPlaceholders(t testing.TB, src []byte) []byte {
	return placeholder.ReplaceAllFunc(src, func(match []byte) []byte {
		value, known := placeholderValues[string(match[2:len(match)-2])]
		require.True(t, known, "placeholder %s", match)
		return []byte(value)
	})
}

func TestTemplateGivesValidSettings(t *testing.T) {
	o, err := options.Parse(settingsFromTemplate(t))
	require.NoError(t, err)
	require.Equal(t, "front-a-1", o.Host)
	require.Equal(t, 5*time.Second, o.RevokeKeysWithin.D())
	require.Equal(t, 8*time.Second, o.GracePeriod.D())
	require.InDelta(t, 58, o.RetryBudget.Slack, 0)
	require.Equal(t, 7600, o.PeerPort)
	require.True(t, o.FirstStart)
	require.InDelta(t, 0.4, o.Strength, 0)
	require.Equal(t, quota.Tolerance{Excess: 0.1, Slack: 140_000, Window: 8 * time.Second}, o.QuotaTolerance.Limits())
}

// TestTemplateWithoutQuotas checks the settings of a deployment in which quotas have
// no tolerance.
func TestTemplateWithoutQuotas(t *testing.T) {
	src, err := os.ReadFile("../../../deploy/gateway.tmpl")
	require.NoError(t, err)
	section := regexp.MustCompile(`(?s)\{\{#parameters\.quotaWindowS\}\}.*\{\{/parameters\.quotaWindowS\}\}`)
	o, err := options.Parse(fillPlaceholders(t, section.ReplaceAll(src, nil)))
	require.NoError(t, err)
	require.Zero(t, o.QuotaTolerance)
}

func TestErrorListsEveryFault(t *testing.T) {
	_, err := options.Parse([]byte(`{
		"host": "", "address": "nowhere", "availabilityZone": "a", "region": "r",
		"listen": {"callers": "x", "readiness": "10.0.0.1:1", "directory": "10.0.0.1:2"},
		"peerPort": 0, "log": "10.0.0.1:3", "gracePeriod": "0s", "revokeKeysWithin": "5s",
		"usageWindow": "5s", "dutyLease": "3s", "retryBudget": {"ratio": 0.2, "slack": 50, "window": "10s"}}`))
	require.Error(t, err)
	for _, path := range []string{"/host", "/address", "/listen/callers", "/peerPort", "/gracePeriod"} {
		require.ErrorContains(t, err, path)
	}
	_, err = options.Parse([]byte(`{"host": 7, "odd": 1}`))
	require.ErrorContains(t, err, "/host")
	require.ErrorContains(t, err, "/odd")
}

func FuzzParse(f *testing.F) {
	f.Add(settingsFromTemplate(f))
	f.Add([]byte(`{"host": 1}`))
	f.Add([]byte("{{"))
	f.Fuzz(func(t *testing.T, src []byte) {
		if o, err := options.Parse(src); (o == nil) == (err == nil) {
			t.Fatal("want either settings or an error, got both or neither")
		}
	})
}
