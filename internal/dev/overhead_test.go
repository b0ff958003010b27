package dev_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const overheadTokens = 64

// BenchmarkOverhead measures a streamed response of an engine without delay,
// directly from the stand-in and through an entry host.
func BenchmarkOverhead(b *testing.B) {
	b.Run("direct", func(b *testing.B) {
		e := standin.NewEngine(standin.EngineOptions{Slots: 16, ColdSlots: 16})
		server := httptest.NewServer(standin.EngineHandler(e))
		defer server.Close()
		client := engine.NewClient(server.URL, httpjson.NewClient())
		measure(b, func() {
			generation, err := client.Generate(context.Background(), engine.GenerateRequest{ID: "r", Attempt: 1, Prompt: "p", MaxTokens: overheadTokens})
			require.NoError(b, err)
			for done := false; !done; {
				chunk, err := generation.Next()
				require.NoError(b, err)
				done = chunk.Done
			}
			require.NoError(b, generation.Close())
		})
	})
	b.Run("entry", func(b *testing.B) {
		config, err := deploy.Config("fundacion")
		require.NoError(b, err)
		system, err := dev.Start(dev.Options{Config: config, Hosts: 1, Events: event.Discard(), Instant: true})
		require.NoError(b, err)
		defer system.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(b, system.AwaitReady(ctx))
		url := "http://" + system.Hosts[0].Self().Address + "/v1/services/assistant/routes/question"
		body, err := json.Marshal(entry.EngineBody{Prompt: "p", MaxTokens: overheadTokens})
		require.NoError(b, err)
		measure(b, func() { stream(b, url, body) })
	})
}

func stream(b *testing.B, url string, body []byte) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	require.NoError(b, err)
	req.Header.Set(entry.HeaderCustomer, "examiners")
	req.Header.Set("Accept", "text/event-stream")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b, err)
	tokens, err := dev.ReadTokens(resp.Body)
	require.NoError(b, err)
	require.Len(b, tokens, overheadTokens)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.NoError(b, resp.Body.Close())
}

// measure runs a call repeatedly and reports its median and 99th percentile
// latency and the processor time per token.
func measure(b *testing.B, call func()) {
	const microsecond = int64(time.Microsecond)
	times := hdrhistogram.New(1, int64(time.Minute)/microsecond, 3)
	call()
	b.ReportAllocs()
	before := processorTime(b)
	for b.Loop() {
		start := time.Now()
		call()
		require.NoError(b, times.RecordValue(max(1, int64(time.Since(start))/microsecond)))
	}
	busy := processorTime(b) - before
	b.ReportMetric(float64(busy.Nanoseconds())/float64(b.N)/overheadTokens/1e3, "cpu-us/token")
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-us")
}

// processorTime returns the user and system time used by this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestSmoke runs the smoke test of each example deployment.
func TestSmoke(t *testing.T) {
	for _, name := range deploy.Names() {
		t.Run(name, func(t *testing.T) {
			config, err := deploy.Config(name)
			require.NoError(t, err)
			system, err := dev.Start(dev.Options{Config: config, Hosts: 3, Events: event.Discard(), Seed: 1})
			require.NoError(t, err)
			defer system.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			require.NoError(t, system.AwaitReady(ctx))
			var out strings.Builder
			require.NoError(t, system.Smoke(ctx, &out), out.String())
		})
	}
}
