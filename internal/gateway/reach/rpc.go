package reach

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// ErrPeerUnavailable is the root of errors from requests to a peer.
var ErrPeerUnavailable = eris.New("request to peer failed")

// procedure is the path of the RPC.
const procedure = "/marigoldmux.reach.v1.ReachService/Look"

// Timeouts and sizes of requests.
const (
	// lookTimeout bounds a request: the peer may have to wait for an upstream and for its own
	// rounds of probes.
	lookTimeout = 1800 * time.Millisecond
	// dialTimeout bounds a new connection to a peer.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout closes connections to peers that are no longer asked.
	idleTimeout = 5 * time.Second
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 1 << 10
)

// LookRequest asks a host for its Sight of an upstream.
type LookRequest struct{ Upstream string }

// LookResponse is the response to a LookRequest.
type LookResponse struct{ Sight Sight }

// Handler returns the path and the handler of the RPC for peers. look returns the Sight of the
// upstream with an ID.
func Handler(look func(ctx context.Context, upstream string) Sight) (string, http.Handler) {
	return procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, req *connect.Request[LookRequest]) (*connect.Response[LookResponse], error) {
			return connect.NewResponse(&LookResponse{Sight: look(ctx, req.Msg.Upstream)}), nil
		}, connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxMessageBytes))
}

// Client asks peers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client for any peers.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Look asks the peer at an IP address and port for its Sight of an upstream. It returns an
// ErrPeerUnavailable if the request fails, as at a peer of a former version.
func (c *Client) Look(ctx context.Context, address, upstream string) (Sight, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	client := connect.NewClient[LookRequest, LookResponse](c.http, "http://"+address+procedure,
		connect.WithCodec(wire.Codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	resp, err := client.CallUnary(ctx, connect.NewRequest(&LookRequest{Upstream: upstream}))
	if err != nil {
		return Unknown, eris.Wrap(ErrPeerUnavailable, err.Error())
	}
	return resp.Msg.Sight, nil
}
