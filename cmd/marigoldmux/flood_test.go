package main_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

// hostDescriptors is the limit of descriptors of a host of the deployments in force.
const hostDescriptors = 4100

// maxDescriptors is the limit of descriptors of a host that is flooded with
// floodConnections at each port.
const maxDescriptors, floodConnections = 400, 250

// limitDescriptors sets the limit of descriptors of a host that has not been started.
func (g *gateway) limitDescriptors(limit int) {
	shell, err := exec.LookPath("sh")
	require.NoError(g.t, err)
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit)
	g.cmd.Args = append([]string{shell, "-c", script, g.cmd.Path}, g.cmd.Args[1:]...)
	g.cmd.Path = shell
}

// Callers open more connections than a host has descriptors, at all of its ports, and send
// nothing, or one request, or the beginning of one.
func TestSoundCallersAreServedBesideAFloodOfConnections(t *testing.T) {
	const beginning = "GET / HTTP/1.1\r\nHost: a.example\r\n"
	for name, sent := range map[string]string{"unused": "", "idle": beginning + "\r\n", "slow": beginning} {
		t.Run(name, func(t *testing.T) {
			g := prepareGateway(t, nil)
			g.limitDescriptors(maxDescriptors)
			dials := acceptConnections(t, g.port(deadPort))
			g.start()
			g.awaitAnswers()
			ports := []int{callersPort, readinessPort, directoryPort, peersPort, metricsPort}
			for _, index := range ports {
				g.flood(index, floodConnections, sent)
			}
			for _, index := range ports {
				client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
				resp, err := client.Get("http://" + g.port(index) + "/")
				require.NoError(t, err, "port %d", index)
				require.NoError(t, resp.Body.Close())
			}
			// The host still connects to others.
			before := dials.Load()
			require.Eventually(t, func() bool { return dials.Load() > before }, waitTimeout, 10*time.Millisecond)
		})
	}
}

// acceptConnections accepts connections on an address, closes them and counts them.
func acceptConnections(t *testing.T, address string) *atomic.Int64 {
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	return &accepted
}

// Callers send the beginning of a body and no more, with more connections than a host has
// descriptors.
func TestSoundCallersAreServedBesideStalledBodies(t *testing.T) {
	for _, index := range []int{callersPort, peersPort} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			g := prepareGateway(t, nil)
			g.limitDescriptors(maxDescriptors)
			g.start()
			g.awaitAnswers()
			g.flood(index, maxDescriptors+floodConnections/2, "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\na")
			client := http.Client{Timeout: waitTimeout}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + g.port(index) + "/")
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}

// Calls of anyone at the port of peers have long bodies that do not end.
func TestLongCallsOfPeersTakeBoundedMemory(t *testing.T) {
	const sentBytes = 3 << 20
	g := startGateway(t, nil)
	g.awaitAnswers()
	head := "POST /marigoldmux.relay.v1.RelayService/Read HTTP/1.1\r\nHost: a.example\r\n" +
		"Content-Type: application/msgpack\r\nConnect-Protocol-Version: 1\r\nContent-Length: 8000000\r\n\r\n"
	body := make([]byte, sentBytes)
	for _, conn := range g.flood(peersPort, 120, head) {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(body)
	}
	highest := g.settledMemoryMB()
	t.Logf("%d MB resident at most", highest)
	require.Less(t, highest, memoryMB)
}

// prepareEntryHost returns a host of the older interface, which has one port. The services of
// its platform are away.
func prepareEntryHost(t *testing.T) *gateway {
	path, err := program()
	require.NoError(t, err)
	g := &gateway{t: t, address: testaddr.Next(), ended: make(chan error, 1), probe: "/", probePort: readinessPort}
	dead := "http://" + g.port(deadPort)
	settings, err := json.Marshal(map[string]any{
		"host": "host-1", "listen": g.port(readinessPort), "availabilityZone": "zone-a", "region": "r", "logLevel": "error",
		"platform": map[string]string{"log": dead, "hostList": dead, "cloud": dead, "weights": dead},
	})
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, settings, 0o600))
	g.cmd = exec.Command(path, "serve", "-settings", file)
	return g
}

// As TestHeadsOfManyConnectionsTakeBoundedMemory, at the port of the older interface.
func TestHeadsAtAnEntryHostTakeBoundedMemory(t *testing.T) {
	const headBytes, pieceBytes = 60 << 10, 4 << 10
	for name, form := range map[string]struct{ connections, lineBytes int }{
		"long lines": {3800, pieceBytes}, "short lines": {1000, 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := prepareEntryHost(t)
			g.limitDescriptors(hostDescriptors)
			g.start()
			g.awaitAnswers()
			conns := g.flood(readinessPort, form.connections, "GET / HTTP/1.1\r\nHost: a.example\r\n")
			for sent := 0; sent < headBytes; sent += pieceBytes {
				piece := headLines(sent, pieceBytes, form.lineBytes)
				// A host may close a connection, or read no further.
				conns = slices.DeleteFunc(conns, func(conn net.Conn) bool {
					_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
					_, err := conn.Write(piece)
					return err != nil
				})
			}
			highest := g.settledMemoryMB()
			t.Logf("%d MB resident at most", highest)
			require.Less(t, highest, memoryMB)
		})
	}
}

// Callers announce long frames over HTTP/2 and send most of each.
func TestLongFramesAtAnEntryHostTakeBoundedMemory(t *testing.T) {
	const frameBytes, sentBytes = 1 << 20, 512 << 10
	const preface, settingsFrame = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	g := prepareEntryHost(t)
	g.start()
	g.awaitAnswers()
	// A header of a frame has its length in three bytes, its type, which is that of a
	// ping, its flags and a stream.
	frame := binary.BigEndian.AppendUint32(nil, frameBytes)[1:]
	frame = append(frame, 6, 0, 0, 0, 0, 0)
	frame = append(frame, make([]byte, sentBytes)...)
	for _, conn := range g.flood(readinessPort, 600, preface+settingsFrame) {
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(frame)
	}
	highest := g.settledMemoryMB()
	t.Logf("%d MB resident at most", highest)
	require.Less(t, highest, memoryMB)
}

// As TestSoundCallersAreServedBesideAFloodOfConnections, at the port of the older interface.
func TestEntryHostServesBesideAFloodOfConnections(t *testing.T) {
	g := prepareEntryHost(t)
	g.limitDescriptors(maxDescriptors)
	g.start()
	g.awaitAnswers()
	g.flood(readinessPort, 2*maxDescriptors, "GET /healthz HTTP/1.1\r\nHost: a.example\r\n\r\n")
	client := http.Client{Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + g.port(readinessPort) + "/healthz")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// flood opens connections, sends text on each and returns them.
func (g *gateway) flood(index, connections int, text string) []net.Conn {
	var conns []net.Conn
	for range connections {
		conn, err := net.DialTimeout("tcp4", g.port(index), waitTimeout)
		require.NoError(g.t, err)
		g.t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text)
		conns = append(conns, conn)
	}
	return conns
}
