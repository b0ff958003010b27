// Package main_test runs the real program as a process and ends what it depends on:
// signals, standard streams, ports, memory.
package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

// TestMain handles SIGHUP, so that the processes of the tests do not inherit an ignored one.
func TestMain(m *testing.M) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	os.Exit(m.Run())
}

// waitTimeout bounds the waits of these tests, which normally take far less.
const waitTimeout = 30 * time.Second

// program builds the program once.
var program = sync.OnceValues(func() (string, error) {
	path, err := filepath.Abs(filepath.Join("..", "..", "target", "process-marigoldmux"))
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w\n%s", err, out)
	}
	return path, nil
})

// memoryMB is the memory of a host in the settings, that of the deployments in force.
const memoryMB = 284

// The ports of a host, as indexes of testaddr.Port.
const (
	callersPort = iota
	readinessPort
	directoryPort
	peersPort
	metricsPort
	// deadPort is that of the log and the cloud API, where nothing listens.
	deadPort
)

// gateway is a gateway host whose log and cloud API are away.
type gateway struct {
	t       *testing.T
	address string
	cmd     *exec.Cmd
	// ended receives the result of the process.
	ended chan error
	// settings is the settings file. A process that runs answers requests for probe at
	// probePort.
	settings, probe string
	probePort       int
}

// startGateway starts a host whose standard output and standard error are log.
func startGateway(t *testing.T, log *os.File) *gateway {
	g := prepareGateway(t, log)
	g.start()
	return g
}

func prepareGateway(t *testing.T, log *os.File) *gateway {
	path, err := program()
	require.NoError(t, err)
	g := &gateway{t: t, address: testaddr.Next(), ended: make(chan error, 1), probe: "/ready", probePort: readinessPort}
	settings, err := json.Marshal(map[string]any{
		"host": "host-1", "address": g.address, "availabilityZone": "zone-a", "region": "r",
		"listen":   map[string]string{"callers": g.port(callersPort), "readiness": g.port(readinessPort), "directory": g.port(directoryPort)},
		"peerPort": testaddr.FirstPort + peersPort, "metricsPort": testaddr.FirstPort + metricsPort,
		"log": g.port(deadPort), "cloud": g.port(deadPort), "gracePeriod": "8s", "revokeKeysWithin": "5s",
		"usageWindow": "2s", "dutyLease": "3s", "memoryMB": memoryMB,
		"retryBudget": map[string]any{"ratio": 0.2, "slack": 50, "window": "10s"},
	})
	require.NoError(t, err)
	g.settings = filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(g.settings, settings, 0o600))
	g.cmd = exec.Command(path, "gateway", "-settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	return g
}

func (g *gateway) start() {
	require.NoError(g.t, g.cmd.Start())
	g.t.Cleanup(func() { _ = g.cmd.Process.Kill() })
	go func() { g.ended <- g.cmd.Wait() }()
}

func (g *gateway) port(index int) string { return testaddr.Port(g.address, index) }

// answers reports whether the host answers a request.
func (g *gateway) answers() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + g.port(g.probePort) + g.probe)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// awaitAnswers waits until the host answers. The test fails if the process ends.
func (g *gateway) awaitAnswers() {
	var err error
	ended := false
	require.Eventually(g.t, func() bool {
		select {
		case err = <-g.ended:
			ended = true
		default:
		}
		return ended || g.answers()
	}, waitTimeout, 10*time.Millisecond)
	require.False(g.t, ended, "the process ended: %v", err)
}

// status returns a line of the process's status in /proc, without its name.
func (g *gateway) status(name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	require.NoError(g.t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// expectsSignal reports whether the process handles or ignores a signal.
func (g *gateway) expectsSignal(s syscall.Signal) bool {
	return g.hasSignal("SigCgt", s) || g.hasSignal("SigIgn", s)
}

// hasSignal reports whether a mask of the process's status holds a signal.
func (g *gateway) hasSignal(name string, s syscall.Signal) bool {
	mask, err := strconv.ParseUint(g.status(name), 16, 64)
	require.NoError(g.t, err)
	return mask&(1<<(s-1)) != 0
}

// settledMemoryMB returns the highest resident memory of the process, in MB, when it has
// not grown for a while.
func (g *gateway) settledMemoryMB() int {
	const settledFor = 300 * time.Millisecond
	for before := ""; ; time.Sleep(settledFor) {
		highest := g.status("VmHWM")
		if highest == before {
			kb, err := strconv.Atoi(strings.TrimSuffix(highest, " kB"))
			require.NoError(g.t, err)
			return kb >> 10
		}
		before = highest
	}
}

// The reader of a host's log goes away while the host serves.
func TestLostReaderOfTheLogEndsNoHost(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	g := startGateway(t, writer)
	require.NoError(t, writer.Close())
	_, err = io.ReadFull(reader, make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	g.awaitAnswers()
	// Each request is logged.
	for i := range 20 {
		resp, err := http.Get("http://" + g.port(callersPort) + "/")
		require.NoError(t, err, "request %d", i)
		require.NoError(t, resp.Body.Close())
		time.Sleep(10 * time.Millisecond)
	}
	g.awaitAnswers()
}

// A host gets SIGHUP as soon as it runs, before its handler of signals is set up.
func TestHangupAtTheStartEndsNoHost(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			g := startGateway(t, nil)
			require.Eventually(t, func() bool { return g.expectsSignal(syscall.SIGHUP) }, waitTimeout, 100*time.Microsecond)
			require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
			g.awaitAnswers()
		})
	}
}

// A port is in use when a host starts, and free later, as beside a process that is about
// to end.
func TestPortInUseAtTheStartEndsNoHost(t *testing.T) {
	for _, index := range []int{callersPort, readinessPort, directoryPort, peersPort, metricsPort} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			g := prepareGateway(t, nil)
			listener, err := net.Listen("tcp4", g.port(index))
			require.NoError(t, err)
			g.start()
			select {
			case err := <-g.ended:
				require.Fail(t, "the process ended", "%v", err)
			case <-time.After(time.Second):
			}
			require.NoError(t, listener.Close())
			g.awaitAnswers()
		})
	}
}

// Callers open many connections and send heads that come bit by bit and do not end: as many
// as a host's descriptors allow with long lines, or fewer with short ones, each of which
// takes far more memory than its bytes. The heads are as long as is accepted.
func TestHeadsOfManyConnectionsTakeBoundedMemory(t *testing.T) {
	const headBytes, pieceBytes = 60 << 10, 4 << 10
	for name, form := range map[string]struct{ connections, lineBytes int }{
		"long lines": {3800, pieceBytes}, "short lines": {1000, 10},
	} {
		for _, index := range []int{callersPort, readinessPort, directoryPort, peersPort, metricsPort} {
			t.Run(fmt.Sprintf("%s/%d", name, index), func(t *testing.T) {
				g := startGateway(t, nil)
				g.awaitAnswers()
				var conns []net.Conn
				for range form.connections {
					conn, err := net.DialTimeout("tcp4", g.port(index), waitTimeout)
					require.NoError(t, err)
					defer func() { _ = conn.Close() }()
					_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n")
					conns = append(conns, conn)
				}
				for sent := 0; sent < headBytes; sent += pieceBytes {
					piece := headLines(sent, pieceBytes, form.lineBytes)
					for _, conn := range conns {
						// A host may close the connection, or read no further.
						_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
						_, _ = conn.Write(piece)
					}
				}
				highest := g.settledMemoryMB()
				t.Logf("%d MB resident at most", highest)
				require.Less(t, highest, memoryMB)
			})
		}
	}
}

// headLines returns about n bytes of header lines of a length, each with a name of its own;
// first makes the names differ from those of other calls.
func headLines(first, n, lineBytes int) []byte {
	var lines []byte
	for len(lines) < n {
		name := strconv.FormatInt(int64(first+len(lines)), 36) + ":"
		lines = append(lines, name...)
		lines = append(lines, bytes.Repeat([]byte("a"), max(lineBytes-len(name)-2, 0))...)
		lines = append(lines, "\r\n"...)
	}
	return lines
}
