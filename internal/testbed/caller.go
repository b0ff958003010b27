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
	// callerPatience is how long a caller waits for the next event before it
	// turns to another host.
	callerPatience = 1500 * time.Millisecond
	callerBackoff  = 100 * time.Millisecond
)

// Query is what a caller asks of an engine's route.
type Query struct {
	Customer, Service, Route, Prompt string
	MaxTokens                        int
	// DropShare is the probability that the caller's connection breaks at a token.
	DropShare float64
}

// Reply is what a caller got, over all its connections.
type Reply struct {
	ID     string
	Tokens []string
	// Outcome is empty if the caller gave up without an end.
	Outcome string
	Reason  request.Reason
	// Reconnects counts the connections after the first; Moves counts those to
	// which a "moved" event sent the caller.
	Reconnects, Moves int
	// Refusals counts the accepted requests that ended as not run; the caller
	// sent its question again.
	Refusals int
	// Broken tells that an event did not fit the caller's offset.
	Broken string
	// Longest is the longest time between two tokens.
	Longest time.Duration
}

// Send sends a question to a host and follows its answer, at other hosts when
// the connection breaks, until the end or the context's.
func (b *Cluster) Send(ctx context.Context, seed uint64, first *Node, q Query) *Reply {
	c := &caller{bed: b, rand: rand.New(rand.NewPCG(seed, 99)), question: q, reply: &Reply{}}
	c.submit(ctx, first)
	c.askAgain(ctx, first)
	for c.reply.Outcome == "" && c.reply.Broken == "" && ctx.Err() == nil {
		c.reply.Reconnects++
		c.connect(ctx, c.nextHost(), http.MethodGet, fmt.Sprintf("/v1/requests/%s/stream?offset=%d", c.reply.ID, len(c.reply.Tokens)), "")
		if c.reply.Outcome == "" {
			sleep(ctx, callerBackoff)
		}
		c.askAgain(ctx, first)
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
	bed      *Cluster
	rand     *rand.Rand
	question Query
	reply    *Reply
	moved    string
	last     time.Time
}

// submit sends the question until a host accepts it.
func (c *caller) submit(ctx context.Context, first *Node) {
	body, _ := json.Marshal(entry.EngineBody{Prompt: c.question.Prompt, MaxTokens: c.question.MaxTokens})
	path := "/v1/services/" + c.question.Service + "/routes/" + c.question.Route
	for node := first; c.reply.ID == "" && ctx.Err() == nil; node = c.nextHost() {
		c.connect(ctx, node, http.MethodPost, path, string(body))
		if c.reply.ID == "" {
			sleep(ctx, callerBackoff)
		}
	}
}

// askAgain sends the question anew if it is certain that it did not run.
func (c *caller) askAgain(ctx context.Context, first *Node) {
	for c.reply.Outcome == request.NotRun.String() && len(c.reply.Tokens) == 0 && ctx.Err() == nil {
		c.reply.Refusals++
		c.reply.ID, c.reply.Outcome = "", ""
		sleep(ctx, time.Second)
		c.submit(ctx, first)
	}
}

// nextHost returns the host that a "moved" event named, or a random one that
// still runs.
func (c *caller) nextHost() *Node {
	moved := c.moved
	c.moved = ""
	c.bed.mu.Lock()
	defer c.bed.mu.Unlock()
	var running []*Node
	for _, n := range c.bed.Nodes {
		if n.isDead() {
			continue
		}
		if moved == n.Self().Address {
			c.reply.Moves++
			return n
		}
		running = append(running, n)
	}
	if len(running) == 0 {
		return c.bed.Nodes[0]
	}
	return running[c.rand.IntN(len(running))]
}

// connect makes one connection and reads it until it ends or breaks.
func (c *caller) connect(ctx context.Context, n *Node, method, path, body string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn := &connection{caller: c, node: n, ctx: ctx, cancel: cancel, header: http.Header{}}
	patience := time.AfterFunc(callerPatience, cancel)
	defer patience.Stop()
	conn.patience = patience
	stop := context.AfterFunc(n.died(), cancel)
	defer stop()
	if n.gate(ctx) != nil {
		return
	}
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	req.Header.Set("X-Customer", c.question.Customer)
	req.Header.Set("Accept", "text/event-stream")
	n.Handler().ServeHTTP(conn, req)
	conn.end()
}

// connection is the caller's end of one HTTP exchange.
type connection struct {
	caller   *caller
	node     *Node
	ctx      context.Context
	cancel   context.CancelFunc
	patience *time.Timer
	header   http.Header
	status   int
	pending  bytes.Buffer
	broken   bool
}

// Header implements http.ResponseWriter.
func (c *connection) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *connection) WriteHeader(status int) { c.status = status }

// Flush implements http.Flusher: the caller sees the head of the answer.
func (c *connection) Flush() {
	if c.node.gate(c.ctx) == nil && c.ctx.Err() == nil {
		c.takeID()
	}
}

// takeID notes the ID of the accepted request.
func (c *connection) takeID() {
	if c.status == http.StatusOK && c.caller.reply.ID == "" {
		c.caller.reply.ID = c.header.Get(entry.HeaderRequestID)
	}
}

// Write implements http.ResponseWriter.
func (c *connection) Write(data []byte) (int, error) {
	if err := c.node.gate(c.ctx); err != nil || c.ctx.Err() != nil || c.broken {
		return 0, errUnreachable
	}
	c.patience.Reset(callerPatience)
	c.takeID()
	c.pending.Write(data)
	for {
		whole, rest, found := bytes.Cut(c.pending.Bytes(), []byte("\n\n"))
		if !found {
			return len(data), nil
		}
		event := string(whole)
		c.pending = *bytes.NewBuffer(append([]byte(nil), rest...))
		if !c.event(event) {
			c.broken = true
			c.cancel()
			return 0, errUnreachable
		}
	}
}

// end reads an answer that is no stream.
func (c *connection) end() {
	if c.status == 0 || c.status == http.StatusOK || c.caller.reply.ID == "" || c.broken {
		return
	}
	// No host knows the request now; the caller tries again.
	c.caller.reply.Reason = request.ReasonHolderGone
}

// event takes one server-sent event and reports whether the connection goes on.
func (c *connection) event(text string) bool {
	reply := c.caller.reply
	lines := strings.Split(text, "\n")
	name := strings.TrimPrefix(lines[0], "event: ")
	data := strings.TrimPrefix(lines[len(lines)-1], "data: ")
	switch name {
	case "token":
		var token entry.TokenEvent
		if json.Unmarshal([]byte(data), &token) != nil || token.Offset != len(reply.Tokens) {
			reply.Broken = "token event " + data + " at offset " + strconv.Itoa(len(reply.Tokens))
			return false
		}
		reply.Tokens = append(reply.Tokens, token.Token)
		now := time.Now()
		if !c.caller.last.IsZero() {
			reply.Longest = max(reply.Longest, now.Sub(c.caller.last))
		}
		c.caller.last = now
		return c.caller.rand.Float64() >= c.caller.question.DropShare
	case "moved":
		var moved entry.MovedEvent
		if json.Unmarshal([]byte(data), &moved) == nil {
			c.caller.moved = moved.Address
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
