package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

// prepareServe returns a host of the older front whose platform is away.
func prepareServe(t *testing.T, log *os.File) *gateway {
	path, err := program()
	require.NoError(t, err)
	g := &gateway{t: t, address: testaddr.Next(), ended: make(chan error, 1), probe: "/v1/hosts", probePort: callersPort}
	away := "http://" + g.port(deadPort)
	settings, err := json.Marshal(map[string]any{
		"host": "host-1", "listen": g.port(callersPort), "availabilityZone": "zone-a", "region": "r",
		"platform":     map[string]string{"log": away + "/log", "hostList": away + "/list", "cloud": away + "/cloud", "weights": away + "/weights"},
		"drainTimeout": "8s",
	})
	require.NoError(t, err)
	g.settings = filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(g.settings, settings, 0o600))
	g.cmd = exec.Command(path, "serve", "-settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	return g
}

// fronts are the two ways to run a host.
var fronts = map[string]func(*testing.T, *os.File) *gateway{"gateway": prepareGateway, "serve": prepareServe}

// forEachFront runs a test with a prepared process of each front, both at once.
func forEachFront(t *testing.T, log *os.File, test func(*gateway)) {
	for name, prepare := range fronts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(prepare(t, log))
		})
	}
}

// awaitHandlers waits until the process handles the signals to stop.
func (g *gateway) awaitHandlers() {
	require.Eventually(g.t, func() bool { return g.hasSignal("SigCgt", syscall.SIGTERM) }, waitTimeout, time.Millisecond)
}

// openConnections opens connections, on each of which a head begins, until stop is closed.
func (g *gateway) openConnections(stop <-chan struct{}) {
	for {
		conn, err := net.Dial("tcp4", g.port(callersPort))
		if err == nil {
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET /")
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// requirePlannedStop asks a process to stop and requires that it does, with exit code 0.
func (g *gateway) requirePlannedStop() {
	require.NoError(g.t, g.cmd.Process.Signal(syscall.SIGTERM))
	g.requireEnd()
}

// requireEnd requires that the process ends with exit code 0.
func (g *gateway) requireEnd() {
	select {
	case err := <-g.ended:
		require.NoError(g.t, err)
	case <-time.After(waitTimeout):
		require.Fail(g.t, "the process does not end")
	}
}

// requireEndUnder sends signals all the time and requires that the process ends with exit
// code 0.
func (g *gateway) requireEndUnder(signals ...syscall.Signal) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		for _, s := range signals {
			// The process may have ended.
			_ = g.cmd.Process.Signal(s)
		}
		select {
		case err := <-g.ended:
			require.NoError(g.t, err)
			return
		case <-time.After(time.Millisecond):
		}
	}
	require.Fail(g.t, "the process does not end")
}

// requireResponses sends requests and requires a response to each.
func (g *gateway) requireResponses(count int) {
	client := http.Client{Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	for i := range count {
		resp, err := client.Get("http://" + g.port(callersPort) + "/v1/x")
		require.NoError(g.t, err, "request %d", i)
		require.NoError(g.t, resp.Body.Close())
	}
}

// fullPipe returns the end for writers of a pipe that takes no further byte until it is read.
func fullPipe(t *testing.T) *os.File {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	size, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	require.NoError(t, err)
	_, err = writer.Write(make([]byte, size))
	require.NoError(t, err)
	return writer
}

// The reader of an entry host's log goes away while the host serves.
func TestLostReaderOfTheLogEndsNoEntryHost(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	g := prepareServe(t, writer)
	g.start()
	require.NoError(t, writer.Close())
	_, err = io.ReadFull(reader, make([]byte, 10))
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	g.awaitAnswers()
	// Each signal is logged.
	for range 5 {
		require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond)
	}
	g.awaitAnswers()
	g.requirePlannedStop()
}

// The reader of a host's log stalls from the start on, during requests and at the stop.
func TestStalledReaderOfTheLogStopsNoHost(t *testing.T) {
	writer := fullPipe(t)
	forEachFront(t, writer, func(g *gateway) {
		g.start()
		g.awaitAnswers()
		g.requireResponses(2000)
		g.requirePlannedStop()
	})
}

// An entry host gets SIGHUP at the start and later, as when its log is rotated.
func TestHangupEndsNoEntryHost(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	g := prepareServe(t, log)
	g.start()
	require.Eventually(t, func() bool { return g.expectsSignal(syscall.SIGHUP) }, waitTimeout, 100*time.Microsecond)
	require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
	g.awaitAnswers()
	for range 20 {
		require.NoError(t, g.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	g.awaitAnswers()
	g.requirePlannedStop()
	lines, err := os.ReadFile(log.Name())
	require.NoError(t, err)
	// The signal, the check of the settings, and the end of the stop.
	for _, event := range []string{`"event":107`, `"event":106`, `"event":103`} {
		require.Contains(t, string(lines), event)
	}
}

// The port of an entry host is in use at its start, and free later.
func TestPortInUseAtTheStartEndsNoEntryHost(t *testing.T) {
	g := prepareServe(t, nil)
	listener, err := net.Listen("tcp4", g.port(callersPort))
	require.NoError(t, err)
	g.start()
	select {
	case err := <-g.ended:
		require.Fail(t, "the process ended", "%v", err)
	case <-time.After(time.Second):
	}
	require.NoError(t, listener.Close())
	g.awaitAnswers()
	g.requirePlannedStop()
}

// A host is asked to stop while it waits for a port.
func TestStopWhileAPortIsInUse(t *testing.T) {
	forEachFront(t, nil, func(g *gateway) {
		listener, err := net.Listen("tcp4", g.port(callersPort))
		require.NoError(g.t, err)
		defer func() { _ = listener.Close() }()
		g.start()
		g.awaitHandlers()
		time.Sleep(200 * time.Millisecond)
		g.requirePlannedStop()
	})
}

// The settings of a host are missing or cut short at its start, as while they are replaced.
func TestSettingsThatAreBeingReplacedEndNoHost(t *testing.T) {
	for _, partial := range []string{"missing", "empty", "half"} {
		t.Run(partial, func(t *testing.T) {
			t.Parallel()
			forEachFront(t, nil, func(g *gateway) {
				whole, err := os.ReadFile(g.settings)
				require.NoError(g.t, err)
				switch partial {
				case "missing":
					require.NoError(g.t, os.Remove(g.settings))
				case "empty":
					require.NoError(g.t, os.WriteFile(g.settings, nil, 0o600))
				case "half":
					require.NoError(g.t, os.WriteFile(g.settings, whole[:len(whole)/2], 0o600))
				}
				reader, writer, err := os.Pipe()
				require.NoError(g.t, err)
				g.cmd.Stderr = writer
				g.start()
				require.NoError(g.t, writer.Close())
				line, err := bufio.NewReader(reader).ReadString('\n')
				require.NoError(g.t, err)
				require.Contains(g.t, line, g.settings)
				require.NoError(g.t, reader.Close())
				require.NoError(g.t, os.WriteFile(g.settings, whole, 0o600))
				g.awaitAnswers()
				g.requirePlannedStop()
			})
		})
	}
}

// SIGHUP comes in series from the start on, until a host stops.
func TestSeriesOfHangupsEndNoHost(t *testing.T) {
	forEachFront(t, nil, func(g *gateway) {
		g.start()
		require.Eventually(g.t, func() bool { return g.expectsSignal(syscall.SIGHUP) }, waitTimeout, 100*time.Microsecond)
		for range 1000 {
			require.NoError(g.t, g.cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(time.Millisecond)
		}
		g.awaitAnswers()
		require.NoError(g.t, g.cmd.Process.Signal(syscall.SIGTERM))
		g.requireEndUnder(syscall.SIGHUP)
	})
}

// A host is asked to stop while it waits for valid settings.
func TestStopWhileSettingsAreInvalid(t *testing.T) {
	forEachFront(t, nil, func(g *gateway) {
		require.NoError(g.t, os.Remove(g.settings))
		g.start()
		g.awaitHandlers()
		time.Sleep(200 * time.Millisecond)
		g.requirePlannedStop()
	})
}

// Signals of all kinds come in series at a moment of a host's life, until it has ended.
func TestSeriesOfSignalsEndAHostAsPlanned(t *testing.T) {
	moments := map[string]func(*gateway){
		"not ready": (*gateway).awaitAnswers,
		"in the drain": func(g *gateway) {
			g.awaitAnswers()
			require.NoError(g.t, g.cmd.Process.Signal(syscall.SIGTERM))
			time.Sleep(100 * time.Millisecond)
		},
	}
	for name, await := range moments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachFront(t, nil, func(g *gateway) {
				g.start()
				await(g)
				g.requireEndUnder(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE)
			})
		})
	}
}

// A host runs with poor surroundings: no variables, an unusable temporary folder, standard
// streams that are closed or whose device is full.
func TestPoorSurroundingsEndNoHost(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = full.Close() })
	surroundings := map[string]func(*exec.Cmd){
		"no variables":        func(c *exec.Cmd) { c.Env = []string{} },
		"no temporary folder": func(c *exec.Cmd) { c.Env = []string{"TMPDIR=/proc/no-such-folder", "HOME=/proc/no-such-folder"} },
		"full device":         func(c *exec.Cmd) { c.Stdout, c.Stderr = full, full },
		"closed streams":      func(c *exec.Cmd) { runByShell(c, `exec "$@" 0<&- 1>&- 2>&-`) },
		"few descriptors":     func(c *exec.Cmd) { runByShell(c, `ulimit -n 24; exec "$@"`) },
	}
	for name, change := range surroundings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forEachFront(t, nil, func(g *gateway) {
				change(g.cmd)
				g.start()
				g.awaitAnswers()
				g.requireResponses(50)
				g.requirePlannedStop()
			})
		})
	}
}

// runByShell lets a command run by a script of the shell, which gets it as its arguments.
func runByShell(c *exec.Cmd, script string) {
	c.Args = append([]string{"sh", "-c", script, "sh"}, c.Args...)
	c.Path = "/bin/sh"
}

// Settings that stay invalid end a host with a message, also where nobody reads it.
func TestInvalidSettingsEndAHostWithAMessage(t *testing.T) {
	for _, reader := range []string{"reads", "stalls"} {
		t.Run(reader, func(t *testing.T) {
			t.Parallel()
			forEachFront(t, nil, func(g *gateway) {
				require.NoError(g.t, os.WriteFile(g.settings, []byte(`{"host": 1}`), 0o600))
				messages, err := os.Create(filepath.Join(g.t.TempDir(), "stderr"))
				require.NoError(g.t, err)
				defer func() { _ = messages.Close() }()
				g.cmd.Stderr = messages
				if reader == "stalls" {
					g.cmd.Stderr = fullPipe(g.t)
				}
				g.start()
				select {
				case err := <-g.ended:
					require.EqualError(g.t, err, "exit status 1")
				case <-time.After(waitTimeout):
					require.Fail(g.t, "the process does not end")
				}
				if reader == "reads" {
					text, err := os.ReadFile(messages.Name())
					require.NoError(g.t, err)
					require.Contains(g.t, string(text), fmt.Sprintf("%s:\n", g.settings))
					require.Contains(g.t, string(text), "/host")
				}
			})
		})
	}
}

// A platform sends bytes that nobody asked for on idle connections, about which a library
// reports, while the reader of the host's log stalls.
func TestReportsOfLibrariesBlockNoHost(t *testing.T) {
	forEachFront(t, fullPipe(t), func(g *gateway) {
		listener, err := net.Listen("tcp4", g.port(deadPort))
		require.NoError(g.t, err)
		g.t.Cleanup(func() { _ = listener.Close() })
		var requests atomic.Int64
		server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			time.AfterFunc(10*time.Millisecond, func() {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				_ = conn.Close()
			})
		})}
		go func() { _ = server.Serve(listener) }()
		g.start()
		g.awaitAnswers()
		require.Eventually(g.t, func() bool { return requests.Load() > 30 }, waitTimeout, 10*time.Millisecond)
		g.requireResponses(100)
		g.requirePlannedStop()
	})
}

// Callers hold connections without a request when a host is asked to stop: opened before
// they are needed, or with a head that has only begun.
func TestConnectionsWithoutARequestFailNoStop(t *testing.T) {
	forEachFront(t, nil, func(g *gateway) {
		g.start()
		g.awaitAnswers()
		stop := make(chan struct{})
		var caller sync.WaitGroup
		caller.Go(func() { g.openConnections(stop) })
		g.requirePlannedStop()
		close(stop)
		caller.Wait()
	})
}
