package dev_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/dev"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

const (
	// waitTimeout limits each wait of these tests.
	waitTimeout  = time.Minute
	pollInterval = 50 * time.Millisecond
)

// process is an entry host that runs in its own process.
type process struct {
	t       *testing.T
	command *exec.Cmd
	id      string
	address string
	done    chan error
}

// cluster has the stand-ins in this process and each entry host in its own process.
type cluster struct {
	*dev.System
	t      *testing.T
	binary string
	hosts  []*process
}

func startCluster(t *testing.T, count int) *cluster {
	t.Helper()
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	system, err := dev.Start(dev.Options{Config: config, Events: event.Discard(), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(system.Close)
	c := &cluster{System: system, t: t, binary: filepath.Join(t.TempDir(), "marigoldmux")}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", c.binary, "../../cmd/marigoldmux")
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	for i := range count {
		c.start(fmt.Sprintf("entry-%d", i), "bkk-"+string(rune('a'+i)))
	}
	for _, p := range c.hosts {
		c.await(func() bool { return len(c.listedHosts(p)) == min(count, 3) })
	}
	return c
}

// start starts an entry host and adds it to the host list.
func (c *cluster) start(id, zone string) *process {
	c.t.Helper()
	address := testaddr.Port(testaddr.Next(), 0)
	secret := filepath.Join(c.t.TempDir(), "secret")
	require.NoError(c.t, os.WriteFile(secret, []byte("a secret that all hosts of this test share"), 0o600))
	base := "http://" + c.PlatformAddress()
	settings, err := json.Marshal(map[string]any{
		"host": id, "listen": address, "availabilityZone": zone, "region": "bangkok", "secretFile": secret,
		"platform": map[string]string{
			"log": base + "/log", "hostList": base + "/hostlist", "cloud": base + "/cloud", "weights": base + "/weights",
		},
		"logLevel": "warn", "drainTimeout": "20s",
	})
	require.NoError(c.t, err)
	file := filepath.Join(c.t.TempDir(), "settings.jsonc")
	require.NoError(c.t, os.WriteFile(file, settings, 0o600))
	p := &process{t: c.t, id: id, address: address, done: make(chan error, 1)}
	p.command = exec.Command(c.binary, "serve", "-settings", file)
	p.command.Stderr = os.Stderr
	require.NoError(c.t, p.command.Start())
	go func() { p.done <- p.command.Wait() }()
	c.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	})
	c.List.Put(hostlist.Host{ID: id, Role: hostlist.RoleEntry, Address: address, Zone: zone, Class: document.Reclaimable})
	c.hosts = append(c.hosts, p)
	return p
}

func (p *process) signal(signal os.Signal) { require.NoError(p.t, p.command.Process.Signal(signal)) }

// wait waits for the process to exit and returns its error.
func (p *process) wait() error {
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		require.Fail(p.t, "the process does not exit", p.id)
		return nil
	}
}

// await polls a condition until it holds.
func (c *cluster) await(condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, pollInterval)
}

// listedHosts returns the IDs of the hosts that a host names in its GET /v1/hosts
// response, or nil on failure.
func (c *cluster) listedHosts(p *process) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp := do(ctx, http.MethodGet, p.address, "/v1/hosts", "", nil)
	if resp == nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var body entry.HostsResponse
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	var ids []string
	for _, host := range body.Hosts {
		ids = append(ids, host.ID)
	}
	return ids
}

func do(ctx context.Context, method, address, path, body string, header map[string]string) *http.Response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil
	}
	req.Header.Set(entry.HeaderCustomer, "web-chat")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	return resp
}

func (c *cluster) book(p *process, key string) (int, string) {
	resp := do(c.t.Context(), http.MethodPost, p.address, "/v1/services/booking/routes/book", `{"name":"Ana"}`,
		map[string]string{entry.HeaderIdempotencyKey: key})
	if resp == nil {
		return 0, ""
	}
	body, err := readAll(resp)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, body
}

func readAll(resp *http.Response) (string, error) {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestProcesses runs entry hosts as processes and kills, freezes and stops them.
func TestProcesses(t *testing.T) {
	c := startCluster(t, 4)
	first, second, third, last := c.hosts[0], c.hosts[1], c.hosts[2], c.hosts[3]

	t.Run("a repeat at another process gets the same response", func(t *testing.T) {
		status, body := c.book(first, "ana-friday")
		require.Equal(t, http.StatusOK, status, body)
		again, same := c.book(second, "ana-friday")
		require.Equal(t, http.StatusOK, again)
		require.Equal(t, body, same)
		require.Len(t, c.Store.Runs(), 1)
	})

	t.Run("a frozen process is not listed until it resumes", func(*testing.T) {
		third.signal(syscall.SIGSTOP)
		c.await(func() bool {
			return !slices.Contains(c.listedHosts(first), third.id) && !slices.Contains(c.listedHosts(second), third.id)
		})
		third.signal(syscall.SIGCONT)
		c.await(func() bool { return len(c.listedHosts(first)) == 3 && len(c.listedHosts(third)) == 3 })
	})

	t.Run("a stopped process breaks no stream", func(t *testing.T) {
		const tokens = 400
		resp := do(t.Context(), http.MethodPost, second.address, "/v1/services/advice/routes/draft",
			fmt.Sprintf(`{"prompt":"a menu for eighty","maxTokens":%d}`, tokens), map[string]string{"Accept": "text/event-stream"})
		require.NotNil(t, resp)
		id := resp.Header.Get(entry.HeaderRequestID)
		reader := newStreamReader(t, id, resp)
		reader.read(20)
		second.signal(syscall.SIGTERM)
		reader.readToEnd()
		require.Equal(t, standin.Answer("a menu for eighty", tokens), reader.tokens)
		require.NoError(t, second.wait(), "the process exited with an error")
	})

	t.Run("a process with a reclaim notice exits", func(t *testing.T) {
		c.Cloud.Notify(cloud.Notice{HostID: third.id, Deadline: time.Now().Add(waitTimeout)})
		require.NoError(t, third.wait())
	})

	t.Run("a request finished by a killed process is not run again", func(t *testing.T) {
		status, body := c.book(first, "bo-monday")
		require.Equal(t, http.StatusOK, status, body)
		runs := len(c.Store.Runs())
		first.signal(syscall.SIGKILL)
		require.Error(t, first.wait(), "the process was not killed")
		c.await(func() bool {
			again, same := c.book(last, "bo-monday")
			return again == http.StatusOK && same == body
		})
		require.Len(t, c.Store.Runs(), runs)
	})
}
