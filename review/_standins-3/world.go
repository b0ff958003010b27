package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world holds everything that a case starts, and its record.
type world struct {
	dir, temp string
	startedAt time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	closed    bool

	store *store
	cloud *cloud
}

func newWorld(dir string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "marigoldmux-review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, temp: temp, startedAt: time.Now(), record: record}
	if w.store, err = newStore(w); err != nil {
		return nil, err
	}
	w.cloud, err = newCloud(w)
	return w, err
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
}

// noteRuns adds what the workers say that they ran, with the time of their machines' clock.
func (w *world) noteRuns() {
	runs, err := os.ReadFile(filepath.Join(w.temp, "workers.log"))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(runs)) {
		w.note("worker: %s", strings.TrimSpace(line))
	}
}

// start starts a process, which ends with this one.
func (w *world) start(output string, env []string, name string, args ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(w.temp, output), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(name, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, cmd)
	return cmd, nil
}

// ran returns the IDs of the requests on which workers began to work.
func (w *world) ran() (map[string]bool, error) {
	runs, err := os.ReadFile(filepath.Join(w.temp, "workers.log"))
	if err != nil {
		return nil, err
	}
	ids := map[string]bool{}
	for line := range strings.Lines(string(runs)) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[2] == "runs" {
			ids[fields[3]] = true
		}
	}
	return ids, nil
}

// kill ends a process with SIGKILL and waits for its end.
func kill(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	for _, cmd := range w.processes {
		kill(cmd)
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("kept", w.temp)
	}
}

// Ports of hosts and workers are below those that the kernel gives to connections.
const (
	firstPort = 20000
	ports     = 10000
)

// freePort returns a port of an address that is free now, for TCP and UDP.
func freePort(ip string) (int, error) {
	var err error
	for range 20 {
		port := firstPort + rand.IntN(ports)
		if err = tryPort(fmt.Sprintf("%s:%d", ip, port)); err == nil {
			return port, nil
		}
	}
	return 0, err
}

func tryPort(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return p.Close()
}

// host is one gateway process on a loopback address of its own.
type host struct {
	w                         *world
	name, ip, zone            string
	callers, ready, directory string
	settings                  string
	cmd                       *exec.Cmd
	// leaving is set while clients don't use the host.
	leaving atomic.Bool
}

// newHost makes the settings of a host as deploy/gateway.tmpl does for a small deployment.
func (w *world) newHost(name, ip, zone string) (*host, error) {
	var ports [5]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	h := &host{w: w, name: name, ip: ip, zone: zone, callers: at(0), ready: at(1), directory: at(2)}
	settings, err := json.MarshalIndent(map[string]any{
		"host": name, "address": ip, "availabilityZone": zone, "region": "bkk",
		"listen":   map[string]any{"callers": h.callers, "readiness": h.ready, "directory": h.directory},
		"peerPort": ports[3], "metricsPort": ports[4], "log": w.store.address, "cloud": w.cloud.address,
		"gracePeriod": "8s", "revokeKeysWithin": "5000ms", "usageWindow": "5s", "dutyLease": "3000ms",
		"retryBudget":    map[string]any{"ratio": 0.2, "slack": 54, "window": "10s"},
		"quotaTolerance": map[string]any{"excess": 0.1, "slack": 140000, "window": "8s"},
		"strength":       0.4, "memoryMB": 284,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(w.temp, name+".json")
	return h, os.WriteFile(h.settings, settings, 0o644)
}

// run starts the process of the host with the command of the deploy file.
func (h *host) run() error {
	cmd, err := h.w.start(h.name+".log", []string{"MARIGOLDMUX_SETTINGS=" + h.settings}, "target/marigoldmux", "gateway")
	h.cmd = cmd
	h.w.note("%s starts", h.name)
	return err
}

// isReady reports whether the host answers its readiness check with 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host) error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, h := range hosts {
			ready = ready && h.isReady()
		}
		if ready {
			return nil
		}
	}
	return errNotReady
}
