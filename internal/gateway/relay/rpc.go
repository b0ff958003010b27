package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// ErrReaderUnavailable is the root of errors from requests to a reader.
var ErrReaderUnavailable = eris.New("request to reader failed")

// The paths of the RPCs.
const (
	procedure      = "/marigoldmux.relay.v1.RelayService/Read"
	hostsProcedure = "/marigoldmux.relay.v1.RelayService/Hosts"
)

// Timeouts and sizes of requests.
const (
	// MaxWait is how long a reader, or a read of the log, waits for changes. A read
	// of the log confirms the configuration as of the time of its request, so the age
	// of the view reaches up to twice this time.
	MaxWait = 350 * time.Millisecond
	// responseMargin is how long a follower waits for a response beyond
	// Request.Wait.
	responseMargin = 250 * time.Millisecond
	// dialTimeout bounds a new connection to a reader.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout closes connections to hosts that are no longer readers.
	idleTimeout = 5 * time.Second
	// maxRequestBytes and maxResponseBytes bound the size of a message. A request has a few
	// numbers, and anyone may send one.
	maxRequestBytes  = 1 << 10
	maxResponseBytes = 8 << 20
	// bufferBytes is the size of each buffer of a connection.
	bufferBytes = 2 << 10
)

// HostsRequest requests the hosts that a host knows.
type HostsRequest struct{}

// Hosts are the hosts that a host knows.
type Hosts struct {
	// Complete is set if these are all hosts of the fleet. Otherwise there are none.
	Complete bool
	Hosts    []members.ListedHost
}

// Handler serves followers from a cache, and the hosts that this host knows.
func Handler(c *Cache, hosts func() Hosts) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, req *connect.Request[Request]) (*connect.Response[Response], error) {
			receivedAt := boottime.Now()
			r := *req.Msg
			r.Wait = max(min(r.Wait, MaxWait), 0)
			resp := c.Respond(ctx, r, receivedAt)
			return connect.NewResponse(&resp), nil
		}, connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxRequestBytes)))
	mux.Handle(hostsProcedure, connect.NewUnaryHandler(hostsProcedure,
		func(context.Context, *connect.Request[HostsRequest]) (*connect.Response[Hosts], error) {
			known := hosts()
			return connect.NewResponse(&known), nil
		}, connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxRequestBytes)))
	return mux
}

// Client sends requests to other hosts. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client for any hosts.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}}}
}

// Read requests the changes that this host lacks from the reader at an IP address
// and port. It returns an ErrReaderUnavailable if the request fails.
func (c *Client) Read(ctx context.Context, address string, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+responseMargin)
	defer cancel()
	client := connect.NewClient[Request, Response](c.http, "http://"+address+procedure,
		connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxResponseBytes))
	resp, err := client.CallUnary(ctx, connect.NewRequest(&r))
	if err != nil {
		return Response{}, eris.Wrap(ErrReaderUnavailable, err.Error())
	}
	return *resp.Msg, nil
}

// Hosts requests the hosts that the host at an IP address and port knows.
func (c *Client) Hosts(ctx context.Context, address string) (Hosts, error) {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	client := connect.NewClient[HostsRequest, Hosts](c.http, "http://"+address+hostsProcedure,
		connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxResponseBytes))
	resp, err := client.CallUnary(ctx, connect.NewRequest(&HostsRequest{}))
	if err != nil {
		return Hosts{}, eris.Wrap(ErrReaderUnavailable, err.Error())
	}
	return *resp.Msg, nil
}
