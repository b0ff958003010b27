// Package dial creates clients of upstreams and peers by address.
package dial

import (
	"crypto/tls"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/httpjson"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

// Dialer returns clients for an address of the form "IP:port".
type Dialer interface {
	Engine(address string) engine.Engine
	Plain(address string) plain.Service
	Peer(address string) peerv1connect.PeerServiceClient
}

// HTTP is a Dialer of HTTP clients. It keeps one client of each kind per address.
type HTTP struct {
	client *http.Client
	// singleUse reuses no connections.
	singleUse *http.Client
	peer      *http.Client
	// peerScheme is "https" if peers use TLS, else "http".
	peerScheme string
	options    []connect.ClientOption
	// bodies is the memory that the responses of all plain services may take.
	bodies *bodybuf.Memory

	mu      sync.Mutex
	engines map[string]engine.Engine
	plains  map[string]plain.Service
	peers   map[string]peerv1connect.PeerServiceClient
}

var _ Dialer = (*HTTP)(nil)

// NewHTTP returns a dialer. The options apply to clients of peers.
func NewHTTP(options ...connect.ClientOption) *HTTP {
	return &HTTP{
		client:     httpjson.NewClient(),
		singleUse:  httpjson.NewSingleUseClient(),
		peer:       httpjson.NewPeerClient(),
		peerScheme: "http",
		options:    options,
		bodies:     bodybuf.NewMemory(plain.MaxBufferedBytes),
		engines:    map[string]engine.Engine{},
		plains:     map[string]plain.Service{},
		peers:      map[string]peerv1connect.PeerServiceClient{},
	}
}

// UsePeerTLS makes clients of peers use TLS with the configuration that current
// returns. It must be called before any client is created.
func (d *HTTP) UsePeerTLS(current func() *tls.Config) {
	d.peer = httpjson.NewPeerTLSClient(current)
	d.peerScheme = "https"
}

// Engine implements Dialer.
func (d *HTTP) Engine(address string) engine.Engine {
	return cached(d, d.engines, address, func() engine.Engine { return engine.NewClient("http://"+address, d.client) })
}

// Plain implements Dialer.
func (d *HTTP) Plain(address string) plain.Service {
	return cached(d, d.plains, address, func() plain.Service {
		return plain.NewClient("http://"+address, d.client, d.singleUse, d.bodies)
	})
}

// Peer implements Dialer.
func (d *HTTP) Peer(address string) peerv1connect.PeerServiceClient {
	return cached(d, d.peers, address, func() peerv1connect.PeerServiceClient {
		return peerv1connect.NewPeerServiceClient(d.peer, d.peerScheme+"://"+address, d.options...)
	})
}

// cached returns the client of an address, which it creates on first use.
// cached returns the client of an address, which it creates on first use.
func cached[T any](d *HTTP, clients map[string]T, address string, make func() T) T {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := clients[address]
	if !ok {
		client = make()
		clients[address] = client
	}
	return client
}
