package capacity

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/dial"
)

const (
	warmupCalls   = 200
	measuredCalls = 5000
	// gossipHosts is the number of host states in a typical gossip message.
	gossipHosts = 2
)

type discardHandler struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

// Deliver implements peerv1connect.PeerServiceHandler.
func (discardHandler) Deliver(context.Context, *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error) {
	return &peerv1.DeliverResponse{}, nil
}

// CallCost measures one call between peers over loopback. It returns the
// processor time of both ends and of the kernel, and the bytes sent in both
// directions beyond the message itself.
func CallCost() (busy time.Duration, overhead int64, err error) {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(discardHandler{}))
	server := httptest.NewUnstartedServer(mux)
	counted := &countingListener{Listener: server.Listener}
	server.Listener = counted
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	client := dial.NewHTTP().Peer(server.Listener.Addr().String())
	req := &peerv1.DeliverRequest{From: hostName(0), Incarnation: "0123456789ab"}
	gossip := &peerv1.Gossip{Sequence: 1}
	for i := range gossipHosts {
		gossip.Hosts = append(gossip.Hosts, &peerv1.HostState{Id: hostName(i), Incarnation: "0123456789ab", Counter: 1, ConfigOffset: 9})
	}
	req.Messages = []*peerv1.Message{{Body: &peerv1.Message_Gossip{Gossip: gossip}}}
	for range warmupCalls {
		if _, err := client.Deliver(context.Background(), req); err != nil {
			return 0, 0, err
		}
	}
	start, bytes := processorTime(), counted.bytes.Load()
	for range measuredCalls {
		if _, err := client.Deliver(context.Background(), req); err != nil {
			return 0, 0, err
		}
	}
	busy = (processorTime() - start) / measuredCalls
	overhead = (counted.bytes.Load()-bytes)/measuredCalls - int64(proto.Size(req))
	return busy, overhead, nil
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// processorTime returns the user and system time used by this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
