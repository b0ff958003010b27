package testbed

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/marigoldmux/marigoldmux/internal/host"
)

// Node is one entry host of a cluster.
type Node struct {
	*host.Host
	cluster *Cluster

	mu      sync.Mutex
	dead    bool
	resumed chan struct{}
	// logDown is set while this host cannot reach the log service.
	logDown bool
	// lifetime is cancelled when the host is killed or stopped.
	lifetime context.Context
	cancel   context.CancelFunc
}

// Kill ends the host without a drain; the connections of its callers, peers and
// upstreams break.
func (n *Node) Kill() {
	n.mu.Lock()
	dead := n.dead
	n.dead = true
	n.mu.Unlock()
	if !dead {
		n.cancel()
		n.Resume()
		n.Host.Kill()
	}
}

// Stop stops the host gracefully.
func (n *Node) Stop(ctx context.Context) error {
	err := n.Host.Stop(ctx)
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.cancel()
	return err
}

// done returns a context that is cancelled when the host is killed or stopped.
func (n *Node) done() context.Context { return n.lifetime }

func (n *Node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// Pause blocks the host's incoming calls and its calls to the log service, peers
// and upstreams (only Generate, Next and Call) until Resume is called.
func (n *Node) Pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Node) Resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// SetLogUnreachable cuts or restores the link from this host to the log service.
func (n *Node) SetLogUnreachable(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logDown = down
}

func (n *Node) logUnreachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logDown
}

// gate blocks while the host is paused. It fails if the host is dead or if ctx
// ends during the pause.
func (n *Node) gate(ctx context.Context) error {
	n.mu.Lock()
	resumed, dead := n.resumed, n.dead
	n.mu.Unlock()
	if dead {
		return errUnreachable
	}
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return n.gate(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do sends an HTTP request to the host and returns the complete response, or an
// empty recorder if the host is dead or ctx ends during a pause.
func (n *Node) Do(ctx context.Context, method, path, body string, header map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	if n.gate(ctx) == nil {
		n.Handler().ServeHTTP(recorder, req)
	}
	return recorder
}
