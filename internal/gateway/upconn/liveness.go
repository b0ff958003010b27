package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// minRestart is shorter than the time in which an upstream ends and starts again.
const minRestart = 250 * time.Millisecond

// flow records when parts of a response are read. After a pause of this host or a cut of the
// network, parts that came long before are read at once.
type flow struct {
	// lastAt is the boot time of the last read, or of the request before the first.
	lastAt time.Duration
	// gapAt is the boot time of the read that followed the latest gap of minRestart or more,
	// 0 if there was none.
	gapAt time.Duration
}

// begin begins the flow of a response, when its request is written.
func (f *flow) begin(now time.Duration) { *f = flow{lastAt: now} }

// record records the result of a read.
func (f *flow) record(now time.Duration, n int, err error) {
	if n == 0 && !errors.Is(err, io.EOF) {
		return
	}
	if now-f.lastAt >= minRestart {
		f.gapAt = now
	}
	f.lastAt = now
}

// steady reports whether no gap came shortly before the last read. Some time behind a gap, all
// that came in it has been read.
func (f *flow) steady() bool { return f.gapAt == 0 || f.lastAt-f.gapAt >= 2*minRestart }

// Steady reports whether what was read last of a response was read soon after it came, so that
// its upstream can't have ended and started again meanwhile.
func (c *Conn) Steady() bool { return c.flow.steady() }

// LivenessConn is a connection to an upstream, opened no later than a response without a length
// begins, that shows at its end whether the same process still runs.
type LivenessConn struct {
	upstream string
	// opened is closed when conn is set, or the upstream has not accepted it.
	opened chan struct{}
	conn   net.Conn
	// users counts the responses that it is for.
	users int
}

// LivenessConns holds a LivenessConn for each upstream with responses that need one. It is safe
// for concurrent use.
type LivenessConns struct {
	mu         sync.Mutex
	byUpstream map[string]*LivenessConn
}

// NewLivenessConns returns an empty set.
func NewLivenessConns() *LivenessConns {
	return &LivenessConns{byUpstream: map[string]*LivenessConn{}}
}

// Get returns the connection to an upstream. If there is none that is open, it opens one in the
// background. The caller has to call Release.
func (l *LivenessConns) Get(id, address string) *LivenessConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byUpstream[id]
	if c == nil || c.hasEnded() {
		c = &LivenessConn{upstream: id, opened: make(chan struct{})}
		l.byUpstream[id] = c
		go c.open(address)
	}
	c.users++
	return c
}

// Release closes the connection if no other response needs it.
func (l *LivenessConns) Release(c *LivenessConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.users--
	if c.users > 0 {
		return
	}
	if l.byUpstream[c.upstream] == c {
		delete(l.byUpstream, c.upstream)
	}
	go func() {
		<-c.opened
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}()
}

func (c *LivenessConn) open(address string) {
	defer close(c.opened)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if conn, err := dialer.Dial("tcp4", address); err == nil {
		c.conn = conn
	}
}

// hasEnded reports whether the upstream has not accepted or has closed the connection.
func (c *LivenessConn) hasEnded() bool {
	select {
	case <-c.opened:
		return c.conn == nil || checkOpen(c.conn) != nil
	default:
		return false
	}
}

// Accepted reports whether the upstream has accepted the connection. It waits until that is
// known or ctx is done.
func (c *LivenessConn) Accepted(ctx context.Context) bool {
	select {
	case <-c.opened:
		return c.conn != nil
	case <-ctx.Done():
		return false
	}
}

// Outlives reports whether the upstream keeps the connection, which it has accepted, open for
// aliveFor from now on. It returns false when ctx ends earlier.
func (c *LivenessConn) Outlives(ctx context.Context) bool {
	timer := time.NewTimer(aliveFor)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return checkOpen(c.conn) == nil
}
