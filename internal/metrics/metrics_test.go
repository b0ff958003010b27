package metrics_test

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"reflect"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/access"
	"github.com/marigoldmux/marigoldmux/internal/admin"
	"github.com/marigoldmux/marigoldmux/internal/metrics"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

var metricRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| .+ \\| .+ \\|$")

func TestMetricsPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	var listed, published []string
	for _, row := range metricRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, row[1])
	}
	for field := range reflect.TypeFor[metrics.Metrics]().Fields() {
		published = append(published, field.Tag.Get("json"))
	}
	require.Equal(t, published, listed, "docs/METRICS.md must list the metrics in their order")
}

func TestMetricsCountRequestsAndRequireToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		options, err := json.Marshal(admin.Module{Operators: []access.Account{
			{Name: "scraper", Role: access.RoleViewer, TokenHash: access.HashToken("token")},
		}})
		require.NoError(t, err)
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 2, Seed: 1, Engine: standin.EngineOptions{Between: time.Millisecond},
			Modules: map[string]json.RawMessage{"http.admin": options},
		})
		defer bed.Close()
		for range 3 {
			resp := bed.Nodes[0].Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
				`{"prompt": "which cake travels well", "maxTokens": 5}`, map[string]string{"X-Customer": "web-chat"})
			require.Equal(t, http.StatusOK, resp.Code)
		}
		require.Equal(t, http.StatusUnauthorized, bed.Nodes[0].Do(context.Background(), http.MethodGet, "/debug/vars", "", nil).Code)
		resp := bed.Nodes[0].Do(context.Background(), http.MethodGet, "/debug/vars", "", map[string]string{"Authorization": "Bearer token"})
		var vars struct {
			Marigoldmux map[string]metrics.Metrics `json:"marigoldmux"`
		}
		require.NoError(t, json.Unmarshal(resp.Body.Bytes(), &vars))
		require.Len(t, vars.Marigoldmux, 2)
		host := vars.Marigoldmux["entry-0"]
		require.Equal(t, int64(3), host.Accepted)
		require.Equal(t, int64(3), host.Answered)
		require.Equal(t, int64(15), host.Tokens)
		require.Equal(t, 2, host.HostsLive)
		require.True(t, host.LogUp)
		require.Zero(t, vars.Marigoldmux["entry-1"].Accepted)
	})
}
