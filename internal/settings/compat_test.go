package settings_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/settings"
)

func TestReadsFormerData(t *testing.T) {
	want := &settings.Settings{
		Host: "entry-a1", Listen: "0.0.0.0:8080", Address: "10.0.0.1:8081", AvailabilityZone: "gt-a", Region: "gt-central",
		Platform: settings.Platform{
			Log: "http://10.0.0.2:9000/log", HostList: "http://10.0.0.3:9000/hostlist",
			Cloud: "https://10.0.0.4:9000/cloud", Weights: "http://10.0.0.5:9000/weights",
		},
		LogLevel: "info", DrainTimeout: jsonc.Duration(20 * time.Second), SecretFile: "/etc/marigoldmux/secret",
		TLS:     &settings.TLS{CertFile: "cert.pem", KeyFile: "key.pem", PeerCAFile: "ca.pem"},
		Modules: map[string]json.RawMessage{"a.module": json.RawMessage(`{"limit":7}`)},
	}
	// settings.jsonc is a hand-written file; settings.json holds the same settings
	// as encoded by the former build.
	written, err := os.ReadFile("testdata/compat/settings.json")
	require.NoError(t, err)
	source, err := os.ReadFile("testdata/compat/settings.jsonc")
	require.NoError(t, err)
	for _, data := range [][]byte{source, written} {
		got, err := settings.Parse(data)
		require.NoError(t, err)
		require.JSONEq(t, `{"limit": 7}`, string(got.Modules["a.module"]))
		got.Modules = want.Modules
		require.Equal(t, want, got)
		again, err := json.Marshal(got)
		require.NoError(t, err)
		require.Equal(t, string(written), string(again))
	}
	for _, level := range []string{"debug", "warn", "error"} {
		got, err := settings.Parse([]byte(strings.Replace(string(source), `"info"`, `"`+level+`"`, 1)))
		require.NoError(t, err)
		require.Equal(t, level, got.LogLevel)
	}
	for _, name := range deploy.Names() {
		example, err := deploy.Settings(name)
		require.NoError(t, err)
		_, err = settings.Parse(example)
		require.NoError(t, err)
	}
}
