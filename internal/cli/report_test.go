package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/event"
	_ "github.com/marigoldmux/marigoldmux/internal/modules"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/standin"
)

const (
	reportDeadline = time.Minute
	reportRequests = 24
	reportWorkers  = 12
	// The route's targets are so wide that only the slowed version misses them,
	// also on a busy machine.
	firstTokenTarget    = "20s"
	betweenTokensTarget = "1s"
	// badSlowdown is a factor; it makes version v2 take 1.1 s between tokens.
	badSlowdown = 75
)

// startDev starts a dev system in which half of the traffic goes to version v2.
func startDev(t *testing.T) *dev.System {
	src, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	text := strings.Replace(string(src), `"versions": [{"name": "v1", "goal": 1}]`,
		`"versions": [{"name": "v1", "goal": 0.5}, {"name": "v2", "goal": 0.5}]`, 1)
	text = strings.Replace(text, `"firstToken": "410ms", "betweenTokens": "51ms"`,
		`"firstToken": "`+firstTokenTarget+`", "betweenTokens": "`+betweenTokensTarget+`"`, 1)
	// Without bounds the fleet starts no further hosts, which would serve v2
	// without the slowdown.
	text = strings.Replace(text, `"hosts": {"min": 9, "max": 12}`, "", 1)
	text = strings.Replace(text, `"deadline": "6s"`, `"deadline": "60s"`, 1)
	system, err := dev.Start(dev.Options{Config: []byte(text), Hosts: 3, Events: event.Discard(), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(system.Close)
	for id, version := range map[string]string{"advice-new-0": "v2", "advice-new-1": "v2", "advice-old-0": "v1"} {
		require.NoError(t, system.Cloud.Start(context.Background(), cloud.StartRequest{
			ID: id, Service: "advice", Version: version, Zone: "bkk-a", Class: document.Reclaimable,
		}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportDeadline)
	defer cancel()
	require.NoError(t, system.AwaitReady(ctx))
	for !available(system, "advice-old-0") || !available(system, "advice-new-0") || !available(system, "advice-new-1") {
		require.NoError(t, ctx.Err(), "the hosts do not list the new upstreams")
		time.Sleep(20 * time.Millisecond)
	}
	return system
}

// available reports whether all hosts list an upstream as available.
func available(system *dev.System, id string) bool {
	for _, h := range system.Hosts {
		if u := h.Loop().Snapshot().Upstream(id); u == nil || !u.Available {
			return false
		}
	}
	return true
}

// sendRequest runs in goroutines of the test, where require must not be used.
func sendRequest(t *testing.T, system *dev.System, index int) {
	body, err := json.Marshal(entry.EngineBody{Prompt: "which cake travels well", MaxTokens: 2})
	if !assert.NoError(t, err) {
		return
	}
	url := "http://" + system.Hosts[index%len(system.Hosts)].Self().Address + "/v1/services/advice/routes/menu"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if !assert.NoError(t, err) {
		return
	}
	req.Header.Set(entry.HeaderCustomer, "web-chat")
	resp, err := http.DefaultClient.Do(req)
	if !assert.NoError(t, err) {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if !assert.NoError(t, err) {
		return
	}
}

// output runs a command and returns its standard output and exit code.
func output(t *testing.T, command subcommands.Command, args ...string) (string, subcommands.ExitStatus) {
	path := filepath.Join(t.TempDir(), "stdout")
	file, err := os.Create(path)
	require.NoError(t, err)
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	flags := flag.NewFlagSet(command.Name(), flag.ContinueOnError)
	command.SetFlags(flags)
	require.NoError(t, flags.Parse(args))
	code := command.Execute(t.Context(), flags)
	require.NoError(t, file.Close())
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(data), code
}

func TestReportNamesTheBadVersion(t *testing.T) {
	system := startDev(t)
	for id, engine := range system.Engines {
		if strings.HasPrefix(id, "advice-new") {
			engine.SetFault(standin.EngineFault{Slowdown: badSlowdown})
		}
	}
	var wg sync.WaitGroup
	for worker := range reportWorkers {
		wg.Go(func() {
			for range reportRequests / reportWorkers {
				sendRequest(t, system, worker)
			}
		})
	}
	wg.Wait()
	text, code := output(t, &reportCommand{}, "-address", system.Hosts[1].Self().Address)
	require.Equal(t, subcommands.ExitSuccess, code)
	require.Contains(t, text, "from 3 hosts")
	require.Contains(t, text, "advice/menu burned by version v2", text)
	t.Log(text)
}

func TestConfigAndZoneCommandsChangeConfiguration(t *testing.T) {
	system := startDev(t)
	address := system.Hosts[0].Self().Address
	_, code := output(t, &zoneCommand{}, "-address", address, "out", "bkk-b")
	require.Equal(t, subcommands.ExitSuccess, code)
	text, code := output(t, &configCommand{}, "-address", address, "get")
	require.Equal(t, subcommands.ExitSuccess, code)
	doc, err := document.Parse([]byte(text))
	require.NoError(t, err)
	require.Equal(t, document.ZoneExcluded, doc.Zone("bkk-b").State)

	file := filepath.Join(t.TempDir(), "config.jsonc")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(text)
	_, code = output(t, &configCommand{}, "-address", address, "diff", file)
	require.Equal(t, subcommands.ExitSuccess, code)
	write(strings.Replace(text, `"state": "out"`, `"state": "gone"`, 1))
	_, code = output(t, &configCommand{}, "-address", address, "put", file)
	require.Equal(t, exitFaults, code)
	write(strings.Replace(text, `"state": "out"`, `"state": "in"`, 1))
	_, code = output(t, &configCommand{}, "-address", address, "-base", "0", "put", file)
	require.Equal(t, exitLostRace, code)
	system.Log.SetDown(true)
	_, code = output(t, &configCommand{}, "-address", address, "put", file)
	require.Equal(t, exitNotAccepted, code)
	system.Log.SetDown(false)
	_, code = output(t, &configCommand{}, "-address", address, "put", file)
	require.Equal(t, subcommands.ExitSuccess, code)
}
