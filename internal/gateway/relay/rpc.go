package relay

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
)

// ErrReader is the root of errors from asking a reader.
var ErrReader = eris.New("reader does not answer")

// procedure is the path of the one call.
const procedure = "/marigoldmux.relay.v1.RelayService/Read"

// Timing and sizes of calls.
const (
	// MaxWait is how long a reader waits for news before it answers.
	MaxWait = 350 * time.Millisecond
	// answerMargin is the time beyond Wait in which an answer must have come.
	answerMargin = 250 * time.Millisecond
	// dialTimeout bounds a new connection to a reader.
	dialTimeout = 200 * time.Millisecond
	// idleTimeout ends connections to hosts that read no more.
	idleTimeout = 5 * time.Second
	// maxMessage bounds a message in bytes.
	maxMessage = 8 << 20
	// bufferBytes is the size of the buffers of a connection.
	bufferBytes = 2 << 10
)

// Handler serves followers from a copy.
func Handler(c *Cache) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(procedure, connect.NewUnaryHandler(procedure,
		func(ctx context.Context, req *connect.Request[Request]) (*connect.Response[Response], error) {
			arrived := boottime.Now()
			ask := *req.Msg
			ask.Wait = max(min(ask.Wait, MaxWait), 0)
			answer := c.Respond(ctx, ask, arrived)
			return connect.NewResponse(&answer), nil
		}, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage)))
	return mux
}

// Client asks readers. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
	}}}
}

// Read asks the reader at an IP address and port for what this host lacks. Its
// error is an ErrReader.
func (c *Client) Read(ctx context.Context, address string, ask Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, ask.Wait+answerMargin)
	defer cancel()
	client := connect.NewClient[Request, Response](c.http, "http://"+address+procedure,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessage))
	answer, err := client.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return Response{}, eris.Wrap(ErrReader, err.Error())
	}
	return *answer.Msg, nil
}
