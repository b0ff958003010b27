package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldmux/marigoldmux/platform/platformtest"
)

// bench is one run of a case: the platform's stand-ins, the gateways and the workers.
type bench struct {
	program string
	trouble bool
	dir     string
	// network is the first three bytes of the loopback addresses of this run.
	network string
	start   time.Time
	store   *platformtest.Store
	cloud   *platformtest.Cloud
	hosts   []*host
	// logAddress is where the hosts reach the store, "" for its own address.
	logAddress string

	mu      sync.Mutex
	record  *os.File
	started []*exec.Cmd
	addable int
	workers map[string]*worker
	// events holds what the workers did, by request.
	events map[string][]event
}

// cleanup stands in for the test that the project's own stand-ins expect.
type cleanup struct {
	testing.TB
	mu  sync.Mutex
	all []func()
}

func (c *cleanup) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, f)
}

// failure ends a case that cannot run.
type failure struct{ reason string }

func fail(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

func newBench(program, record string, trouble bool) (*bench, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &bench{
		program: program, trouble: trouble, dir: dir, record: file, start: time.Now(),
		network: fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), 1+rand.IntN(250)),
		workers: map[string]*worker{}, events: map[string][]event{},
	}, nil
}

// run runs a case and returns the exit code.
func (b *bench) run(play func(*bench) []string) (code int) {
	tb := &cleanup{}
	defer func() {
		reason := recover()
		b.endAll()
		for _, f := range tb.all {
			f()
		}
		_ = os.RemoveAll(b.dir)
		if reason != nil {
			code = exitFailed
			b.note("could not run: %v", reason)
			if _, expected := reason.(failure); !expected {
				b.note("%s", debug.Stack())
			}
		}
		fmt.Printf("exit %d, see %s\n", code, b.record.Name())
		_ = b.record.Close()
	}()
	b.note("trouble: %v", b.trouble)
	b.store, b.cloud = platformtest.NewStore(tb), platformtest.NewCloud(tb)
	breaks := play(b)
	for _, one := range breaks {
		b.note("BROKEN: %s", one)
	}
	if len(breaks) > 0 {
		b.note("result: broken, %d times", len(breaks))
		return exitBroken
	}
	b.note("result: held")
	return exitHeld
}

func (b *bench) now() time.Duration { return time.Since(b.start) }

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f  %s\n", b.now().Seconds(), fmt.Sprintf(format, args...))
}

// address returns the address of a machine of this run.
func (b *bench) address(machine int) string { return fmt.Sprintf("%s.%d", b.network, machine) }

// spawn starts a process that endAll ends.
func (b *bench) spawn(cmd *exec.Cmd) {
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", cmd.Path, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = append(b.started, cmd)
}

// endAll kills all processes that were started and still run.
func (b *bench) endAll() {
	b.mu.Lock()
	started := b.started
	b.mu.Unlock()
	for _, cmd := range started {
		_ = cmd.Process.Kill()
	}
	time.Sleep(200 * time.Millisecond)
}

// Ports of a host.
const (
	portDirectory = 8220
	portCallers   = 8221
	portReady     = 8224
	portPeers     = 7600
	portMetrics   = 7615
)

// host is one machine that runs the gateway.
type host struct {
	b                   *bench
	name, zone, address string
	settings            string
	mu                  sync.Mutex
	cmd                 *exec.Cmd
	ended               chan struct{}
}

// zones are those of the site chomkaew-hq.
var zones = []string{"bkk-a", "bkk-b", "bkk-c", "bkk-d"}

// startHosts starts gateways with the settings that deploy/gateway.tmpl gives for the site
// chomkaew-hq, and waits until they are ready.
func (b *bench) startHosts(count int) {
	for i := range count {
		h := &host{b: b, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zone: zones[i%len(zones)], address: b.address(10 + i)}
		h.settings = filepath.Join(b.dir, h.name+".yaml")
		data, err := json.Marshal(map[string]any{
			"host": h.name, "address": h.address, "availabilityZone": h.zone, "region": "bkk",
			"listen": map[string]string{
				"callers": h.at(portCallers), "readiness": h.at(portReady), "directory": h.at(portDirectory),
			},
			"peerPort": portPeers, "metricsPort": portMetrics, "log": cmp.Or(b.logAddress, b.store.Address()), "cloud": b.cloud.Address(),
			"gracePeriod": "8s", "revokeKeysWithin": "5000ms", "usageWindow": "5s", "dutyLease": "3000ms",
			"retryBudget":    map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"},
			"quotaTolerance": map[string]any{"excess": 0.1, "slack": 140000, "window": "8s"},
			"strength":       0.4, "memoryMB": 284,
		})
		if err == nil {
			err = os.WriteFile(h.settings, data, 0o600)
		}
		if err != nil {
			fail("settings: %v", err)
		}
		b.hosts = append(b.hosts, h)
		h.run()
	}
	for _, h := range b.hosts {
		h.awaitReady(15 * time.Second)
	}
	time.Sleep(time.Second)
}

func (h *host) at(port int) string { return net.JoinHostPort(h.address, fmt.Sprint(port)) }

// run starts the gateway with the command of the deploy file.
func (h *host) run() {
	cmd := exec.Command(h.b.program, "gateway")
	cmd.Env = append(os.Environ(), "MARIGOLDMUX_SETTINGS="+h.settings)
	log, err := os.OpenFile(filepath.Join(h.b.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	h.b.spawn(cmd)
	_ = log.Close()
	ended := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.ended = cmd, ended
	h.mu.Unlock()
	h.b.note("host %s starts", h.name)
	go func() {
		err := cmd.Wait()
		h.b.note("host %s ended: %v", h.name, err)
		close(ended)
	}()
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (h *host) signal(s syscall.Signal) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.b.note("host %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
	return h.ended
}

// running reports whether the process runs.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until the platform's readiness check succeeds.
func (h *host) awaitReady(timeout time.Duration) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.at(portReady) + "/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				h.b.note("host %s is ready", h.name)
				return
			}
		}
		if time.Now().After(deadline) {
			fail("host %s is not ready: %v", h.name, err)
		}
	}
}

// tenant and its key.
const (
	tenant   = "planner"
	key      = "i9n73hh2b9wu3fexd9dn"
	hostName = "ficu95.example"
)

// route returns a route of the configuration.
func route(name, service, kind string, timeoutMs, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostName, "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutMs": timeoutMs,
		"targetLatencyMs": 800, "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
		"sessionAffinity": kind == "streaming", "streamResume": resume, "gapAimMs": 500,
	}
}

// publish writes a configuration with the given routes and services.
func (b *bench) publish(version int, routes, services []map[string]any) {
	b.store.Put("keyed.op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{
			"name": tenant, "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "plainTokens": 200,
			"ratePerS": 2000000, "burst": 2000000,
		}},
	})
	b.note("configuration %d is acknowledged", version)
}

// service returns a service of the configuration.
func service(name string, engine bool) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}
	if engine {
		s["engine"] = map[string]any{
			"capacity": 128, "kvTokens": 832651, "kvBytes": 35136, "bandwidthMbps": 1100000, "moves": true, "backups": true, "stride": 6,
			"models": []any{map[string]any{"name": "m"}},
		}
	}
	return s
}
