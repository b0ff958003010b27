package gateway

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/marigoldmux/marigoldmux/internal/bind"
	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/connlimit"
	"github.com/marigoldmux/marigoldmux/internal/connstate"
	"github.com/marigoldmux/marigoldmux/internal/delivery"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reach"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// Limits of callers' connections. The configuration's limits are stricter.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
	// smallRequestTimeout and smallResponseTimeout bound the requests at the listeners other
	// than the callers' and their responses.
	smallRequestTimeout  = 2 * time.Second
	smallResponseTimeout = 5 * time.Second
)

const (
	// acceptRest is how long connections that wait are accepted before the listeners
	// close, and closeTimeout bounds the refusals of the requests that arrived on them.
	acceptRest   = 50 * time.Millisecond
	closeTimeout = 300 * time.Millisecond
)

// callersServer is the index of the server for callers among those of a host.
const callersServer = 0

// callersName is the name of the callers' listener.
const callersName = "callers"

// listeningServer is a server with its listener.
type listeningServer struct {
	*http.Server
	// name is the name of the address in the settings.
	name, address string
	connections   connstate.Counter
	// opened is closed when the server listens and listener is set, or when it failed to
	// and err is.
	opened   chan struct{}
	listener *delivery.Listener
	err      error
}

// newServer returns the server of one of the host's addresses. What it reports itself,
// such as the panic of a handler, goes to the log.
func (g *Gateway) newServer(name, address string, handler http.Handler) *listeningServer {
	s := &listeningServer{name: name, address: address, opened: make(chan struct{})}
	s.Server = &http.Server{
		Handler: connlimit.Handler(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connectionChanged, ConnContext: connlimit.ConnContext,
		ErrorLog: log.New(g.events.Writer(eventServerError, zap.String("server", name)), "", 0),
	}
	if name != callersName {
		s.ReadTimeout, s.WriteTimeout = smallRequestTimeout, smallResponseTimeout
	}
	return s
}

// connectionChanged serves as ConnState of the server.
func (s *listeningServer) connectionChanged(conn net.Conn, state http.ConnState) {
	connlimit.ConnState(conn, state)
	s.connections.Record(conn, state)
}

// reservedParts says for each listener which part of all connections that the host may accept
// is reserved for it: one of so many. Any listener may use the rest.
var reservedParts = map[string]int{callersName: 4, "directory": 8, "peers": 16, "readiness": 32, "metrics": 32}

// headBytes returns the memory that the heads of requests share, of a host with memoryMB,
// 0 if that has no bound.
func headBytes(memoryMB int) int {
	const part, unbounded = 8, 512
	if memoryMB == 0 {
		memoryMB = unbounded
	}
	return memoryMB << 20 / part
}

// peerServices returns the handler of the RPCs of peers.
func (g *Gateway) peerServices() http.Handler {
	services := http.NewServeMux()
	services.Handle("/", relay.Handler(g.updates.copy, g.hosts))
	services.Handle(reach.Handler(g.look))
	return services
}

// listen serves on all addresses of the host and returns the socket for the digests of
// peers. It waits for addresses that are in use until ctx is done, but does not wait for that of
// the metrics.
func (g *Gateway) listen(ctx context.Context) (*net.UDPConn, error) {
	needed := []*listeningServer{
		g.newServer(callersName, g.options.Listen.Callers, g.forward),
		g.newServer("readiness", g.options.Listen.Readiness, g.ports.ReadyHandler(g.ready)),
		g.newServer("directory", g.options.Listen.Directory, g.ports.DirectoryHandler(g)),
		g.newServer("peers", g.peerAddress, g.forward.PeerHandler(g.peerServices())),
	}
	g.servers = needed
	if g.options.MetricsPort > 0 {
		address := net.JoinHostPort(g.options.Address, strconv.Itoa(g.options.MetricsPort))
		g.servers = append(g.servers[:len(needed):len(needed)], g.newServer("metrics", address, g.metricsHandler()))
	}
	for _, server := range g.servers {
		go g.serve(ctx, server)
	}
	for _, server := range needed {
		<-server.opened
		if server.err != nil {
			return nil, eris.Wrapf(ErrGateway, "listen on %s: %v", server.address, server.err)
		}
	}
	return g.listenPeers(ctx)
}

// serve listens and serves until the server is closed.
func (g *Gateway) serve(ctx context.Context, server *listeningServer) {
	open := func() (*delivery.Listener, error) {
		listener, err := net.Listen("tcp4", server.address)
		return delivery.NewListener(listener), err
	}
	server.listener, server.err = retryBind(ctx, g, server.name, open)
	close(server.opened)
	if server.err != nil {
		g.events.Emit(eventLost, zap.String("dependency", "address of "+server.name), event.Err(server.err))
		return
	}
	bounded := g.gate.Listen(server.listener, connlimit.Accepted()/reservedParts[server.name], connlimit.Plain)
	if err := server.Serve(bind.KeepAccepting(bounded)); !errors.Is(err, http.ErrServerClosed) {
		g.events.Emit(eventLost, zap.String("dependency", "listener "+server.address), event.Err(err))
	}
}

// listenPeers opens the socket for the digests of peers.
func (g *Gateway) listenPeers(ctx context.Context) (*net.UDPConn, error) {
	address, err := netip.ParseAddrPort(g.peerAddress)
	if err != nil {
		return nil, eris.Wrapf(ErrGateway, "address of peers: %v", err)
	}
	open := func() (*net.UDPConn, error) { return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address)) }
	socket, err := retryBind(ctx, g, "digests", open)
	if err != nil {
		return nil, eris.Wrapf(ErrGateway, "listen on %s: %v", g.peerAddress, err)
	}
	return socket, nil
}

// retryBind opens a socket, and emits events if it has to wait for the address.
func retryBind[Socket any](ctx context.Context, g *Gateway, name string, open func() (Socket, error)) (Socket, error) {
	address := &dependency{g: g, name: "address of " + name}
	socket, err := bind.Retry(ctx, open, func(err error) { address.failed(err) })
	if err == nil {
		address.succeeded()
	}
	return socket, err
}

// closeServers ends all servers such that the connections that the kernel has
// accepted for them are served: each takes no new connections, accepts those that
// wait, and then finishes its requests within closeTimeout. What was written reaches the
// callers, if they read it before the boot time deliverUntil.
func (g *Gateway) closeServers(deliverUntil time.Duration) {
	for _, server := range g.servers {
		server.refuseConnections()
	}
	time.Sleep(acceptRest)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, server := range g.servers {
		closing.Go(func() {
			err := server.Shutdown(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				g.events.Emit(eventCut, zap.String("server", server.name), zap.Int("busy", server.connections.Busy()))
				err = server.Close()
			}
			if err != nil {
				g.events.Emit(eventStopped, event.Err(err))
			}
		})
	}
	closing.Wait()
	for _, server := range g.servers {
		server.awaitDelivery(deliverUntil)
	}
}

// awaitDelivery waits until callers have received what was written to them.
func (s *listeningServer) awaitDelivery(until time.Duration) {
	select {
	case <-s.opened:
		s.listener.Finish(until - boottime.Now())
	default:
	}
}

// refuseConnections shrinks the queue of connections that wait to be accepted: one
// that is in the queue when its listener closes is reset.
func (s *listeningServer) refuseConnections() {
	select {
	case <-s.opened:
	default:
		return
	}
	tcp, ok := s.listener.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Where the kernel refuses it, the queue keeps its length.
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
}
