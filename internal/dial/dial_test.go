package dial_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

// endlessBody sends a body that does not end until the connection is closed.
func endlessBody(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(plain.HeaderRequestID, r.Header.Get(plain.HeaderRequestID))
	block := bytes.Repeat([]byte("x"), 64<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

func startService(t *testing.T, handler http.HandlerFunc) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().(*net.TCPAddr).String()
}

// TestEndlessBodiesAtOnceTakeBoundedMemory checks that bodies without end from one upstream
// take neither the memory of the host nor that of calls of another one.
func TestEndlessBodiesAtOnceTakeBoundedMemory(t *testing.T) {
	// A host has 284 MB.
	const calls, maxHeapBytes, timeout = 100, 284 << 20, 10 * time.Second
	endless := startService(t, endlessBody)
	sound := startService(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(plain.HeaderRequestID, r.Header.Get(plain.HeaderRequestID))
		_, _ = w.Write([]byte("ok"))
	})
	dialer := dial.NewHTTP()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	var calling sync.WaitGroup
	for range calls {
		calling.Go(func() {
			_, err := dialer.Plain(endless).Call(ctx, plain.Call{RequestID: "r/1", Route: "book"})
			require.Equal(t, upstream.Lost, upstream.KindOf(err), "%v", err)
		})
	}
	ended := make(chan struct{})
	go func() {
		calling.Wait()
		close(ended)
	}()
	var highest uint64
	for running := true; running; {
		response, err := dialer.Plain(sound).Call(ctx, plain.Call{RequestID: "r/2", Route: "book"})
		require.NoError(t, err)
		require.Equal(t, "ok", string(response.Body))
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		highest = max(highest, memory.HeapInuse)
		select {
		case <-ended:
			running = false
		default:
		}
	}
	require.Less(t, highest, uint64(maxHeapBytes))
	t.Logf("%d MB", highest>>20)
}
