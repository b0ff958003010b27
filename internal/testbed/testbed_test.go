package testbed_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

func options(t *testing.T) testbed.Options {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	return testbed.Options{
		Config: config, Hosts: 3, Seed: 1,
		Engine:     standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
		PlainDelay: 5 * time.Millisecond,
	}
}

func TestRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := testbed.Start(t, options(t))
		defer cluster.Close()
		resp := cluster.Nodes[0].Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu",
			`{"prompt": "which cake travels well", "maxTokens": 12}`, map[string]string{"X-Customer": "web-chat"})
		require.Equal(t, http.StatusOK, resp.Code, resp.Body)
	})
}
