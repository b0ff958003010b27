package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// callerIdleTimeout is how long a caller waits for the next event before it
	// connects to another host.
	callerIdleTimeout = 1500 * time.Millisecond
	callerBackoff     = 100 * time.Millisecond
)

// Query is a caller's request to a route of an engine service.
type Query struct {
	Customer, Service, Route, Prompt string
	MaxTokens                        int
	// DropShare is the probability, at each token, that the caller's connection breaks.
	DropShare float64
}

// Reply is what a caller received over all its connections.
type Reply struct {
	ID     string
	Tokens []string
	// Outcome is empty if the context ended before the request did.
	Outcome string
	Reason  request.Reason
	// Reconnects counts the connections after the first; Moves counts those to
	// a host that a "moved" event named.
	Reconnects, Moves int
	// Resubmissions counts the accepted requests that ended as not run and that
	// the caller therefore sent again.
	Resubmissions int
	// StreamError describes a token event that was malformed or not at the caller's offset.
	StreamError string
	// MaxTokenGap is the longest time between two consecutive tokens.
	MaxTokenGap time.Duration
}

// Send sends a request to a host and reads the response, from other hosts when
// the connection breaks, until the request or the context ends.
func (b *Cluster) Send(ctx context.Context, seed uint64, first *Node, q Query) *Reply {
	c := &caller{cluster: b, rand: rand.New(rand.NewPCG(seed, 99)), query: q, reply: &Reply{}}
	c.submit(ctx, first)
	c.resubmit(ctx, first)
	for c.reply.Outcome == "" && c.reply.StreamError == "" && ctx.Err() == nil {
		c.reply.Reconnects++
		c.connect(ctx, c.nextHost(), http.MethodGet, fmt.Sprintf("/v1/requests/%s/stream?offset=%d", c.reply.ID, len(c.reply.Tokens)), "")
		if c.reply.Outcome == "" {
			sleep(ctx, callerBackoff)
		}
		c.resubmit(ctx, first)
	}
	return c.reply
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

type caller struct {
	cluster     *Cluster
	rand        *rand.Rand
	query       Query
	reply       *Reply
	movedTo     string
	lastTokenAt time.Time
}

// submit sends the request until a host accepts it.
func (c *caller) submit(ctx context.Context, first *Node) {
	body, _ := json.Marshal(entry.EngineBody{Prompt: c.query.Prompt, MaxTokens: c.query.MaxTokens})
	path := "/v1/services/" + c.query.Service + "/routes/" + c.query.Route
	for node := first; c.reply.ID == "" && ctx.Err() == nil; node = c.nextHost() {
		c.connect(ctx, node, http.MethodPost, path, string(body))
		if c.reply.ID == "" {
			sleep(ctx, callerBackoff)
		}
	}
}

// resubmit sends the request again while it ends as not run without a token.
func (c *caller) resubmit(ctx context.Context, first *Node) {
	for c.reply.Outcome == request.NotRun.String() && len(c.reply.Tokens) == 0 && ctx.Err() == nil {
		c.reply.Resubmissions++
		c.reply.ID, c.reply.Outcome = "", ""
		sleep(ctx, time.Second)
		c.submit(ctx, first)
	}
}

// nextHost returns the host that the last "moved" event named, or else a random
// one that is alive.
func (c *caller) nextHost() *Node {
	address := c.movedTo
	c.movedTo = ""
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	var live []*Node
	for _, n := range c.cluster.Nodes {
		if n.isDead() {
			continue
		}
		if address == n.Self().Address {
			c.reply.Moves++
			return n
		}
		live = append(live, n)
	}
	if len(live) == 0 {
		return c.cluster.Nodes[0]
	}
	return live[c.rand.IntN(len(live))]
}

// connect sends one HTTP request and reads the response until it ends or breaks.
func (c *caller) connect(ctx context.Context, n *Node, method, path, body string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := &connection{caller: c, node: n, ctx: ctx, cancel: cancel, header: http.Header{}}
	idleTimer := time.AfterFunc(callerIdleTimeout, cancel)
	defer idleTimer.Stop()
	conn.idleTimer = idleTimer
	stop := context.AfterFunc(n.done(), cancel)
	defer stop()
	if n.gate(ctx) != nil {
		return
	}
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("X-Customer", c.query.Customer)
	req.Header.Set("Accept", "text/event-stream")
	n.Handler().ServeHTTP(conn, req)
	conn.finish()
}

// connection is the caller's side of one HTTP exchange.
type connection struct {
	caller    *caller
	node      *Node
	ctx       context.Context
	cancel    context.CancelFunc
	idleTimer *time.Timer
	header    http.Header
	status    int
	pending   bytes.Buffer
	broken    bool
}

// Header implements http.ResponseWriter.
func (c *connection) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *connection) WriteHeader(status int) { c.status = status }

// Flush implements http.Flusher: the caller receives the response headers.
func (c *connection) Flush() {
	if c.node.gate(c.ctx) == nil && c.ctx.Err() == nil {
		c.recordID()
	}
}

// recordID stores the ID of an accepted request.
func (c *connection) recordID() {
	if c.status == http.StatusOK && c.caller.reply.ID == "" {
		c.caller.reply.ID = c.header.Get(entry.HeaderRequestID)
	}
}

// Write implements http.ResponseWriter.
func (c *connection) Write(data []byte) (int, error) {
	if err := c.node.gate(c.ctx); err != nil || c.ctx.Err() != nil || c.broken {
		return 0, errUnreachable
	}
	c.idleTimer.Reset(callerIdleTimeout)
	c.recordID()
	c.pending.Write(data)
	for {
		first, rest, found := bytes.Cut(c.pending.Bytes(), []byte("\n\n"))
		if !found {
			return len(data), nil
		}
		event := string(first)
		c.pending = *bytes.NewBuffer(append([]byte(nil), rest...))
		if !c.handleEvent(event) {
			c.broken = true
			c.cancel()
			return 0, errUnreachable
		}
	}
}

// finish handles an error status in response to a reconnect.
func (c *connection) finish() {
	if c.status == 0 || c.status == http.StatusOK || c.caller.reply.ID == "" || c.broken {
		return
	}
	// The request was not found; the caller tries again.
	c.caller.reply.Reason = request.ReasonHolderGone
}

// handleEvent applies one server-sent event and reports whether the connection stays open.
func (c *connection) handleEvent(text string) bool {
	reply := c.caller.reply
	lines := strings.Split(text, "\n")
	name := strings.TrimPrefix(lines[0], "event: ")
	data := strings.TrimPrefix(lines[len(lines)-1], "data: ")
	switch name {
	case "token":
		var token entry.TokenEvent
		if json.Unmarshal([]byte(data), &token) != nil || token.Offset != len(reply.Tokens) {
			reply.StreamError = "token event " + data + " at offset " + strconv.Itoa(len(reply.Tokens))
			return false
		}
		reply.Tokens = append(reply.Tokens, token.Token)
		now := time.Now()
		if !c.caller.lastTokenAt.IsZero() {
			reply.MaxTokenGap = max(reply.MaxTokenGap, now.Sub(c.caller.lastTokenAt))
		}
		c.caller.lastTokenAt = now
		return c.caller.rand.Float64() >= c.caller.query.DropShare
	case "moved":
		var moved entry.MovedEvent
		if json.Unmarshal([]byte(data), &moved) == nil {
			c.caller.movedTo = moved.Address
		}
	case "done":
		reply.Outcome = request.Answer.String()
	case "error":
		var failed entry.ErrorResponse
		if json.Unmarshal([]byte(data), &failed) == nil {
			reply.Outcome, reply.Reason = failed.Outcome, failed.Reason
		}
	}
	return true
}
