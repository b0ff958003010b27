// Package upconn pools connections to upstreams and sends one request at a time
// on each.
package upconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
)

// Limits of connections.
const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 600 * time.Millisecond
	// tcpUserTimeout is the time after which the kernel closes a connection whose
	// data the upstream does not acknowledge.
	tcpUserTimeout = 1500 * time.Millisecond
	// defaultIdleLimit is how long an idle connection is kept if the upstream
	// does not state its keep-alive time.
	defaultIdleLimit = 800 * time.Millisecond
	// idleMargin is the time before the end of the upstream's keep-alive time
	// from which a connection is not reused, since the upstream may close it
	// while a request is on its way.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 24
	// readBufferBytes is the size of the buffer for responses.
	readBufferBytes = 2048
	// maxHeadBytes bounds the head of a response, with interim responses before
	// it and what was read ahead of its body.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLong is returned by Read when the head of a response does not end
// within maxHeadBytes.
var ErrHeadTooLong = eris.New("head of the response does not end")

// ErrDial is the root of errors from opening a connection; nothing was sent.
var ErrDial = eris.New("upstream cannot be reached")

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// OnReadTimeout is called when the read deadline passes. If it returns nil,
	// it has set a new deadline and the read continues; else the read fails with
	// its error.
	OnReadTimeout func() error
	// headLeft is the number of bytes that may still be read of a head, if
	// headBounded is set.
	headLeft    int
	headBounded bool
	// received is set when a byte was read since the latest request was written.
	received bool
	flow     flow
	// idleLimit is how long the connection may be idle before it is closed, and
	// idleSince the boot time at which it became idle.
	idleLimit time.Duration
	idleSince time.Duration
}

// Pool holds idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// dials counts the attempts to open a connection.
	dials uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// AnyIdle is the idle time with which Get reuses any pooled connection.
const AnyIdle = time.Hour

// Get returns a connection to an upstream: a pooled one that was idle for less
// than the given time, or else a new one.
func (p *Pool) Get(ctx context.Context, id, address string, idle time.Duration) (*Conn, error) {
	for {
		conn := p.takeIdle(id, idle)
		if conn == nil {
			return p.dial(ctx, address)
		}
		if conn.usable() {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// takeIdle removes and returns the connection used last if it was idle for less
// than the given time, else nil: the others were idle for longer.
func (p *Pool) takeIdle(id string, idle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if boottime.Now()-conn.idleSince >= idle {
		return nil
	}
	p.idle[id] = conns[:len(conns)-1]
	return conn
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, eris.Wrap(ErrDial, err.Error())
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		setUserTimeout(tcp)
	}
	conn := &Conn{Conn: raw}
	conn.Reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn, nil
}

// BoundHead makes Read fail with ErrHeadTooLong after maxHeadBytes, until
// UnboundHead is called.
func (c *Conn) BoundHead() { c.headLeft, c.headBounded = maxHeadBytes, true }

// UnboundHead ends the bound that BoundHead set.
func (c *Conn) UnboundHead() { c.headBounded = false }

// Read implements io.Reader. It calls OnReadTimeout when the read deadline
// passes.
func (c *Conn) Read(b []byte) (int, error) {
	if c.headBounded {
		if c.headLeft <= 0 {
			return 0, ErrHeadTooLong
		}
		b = b[:min(len(b), c.headLeft)]
	}
	for {
		n, err := c.Conn.Read(b)
		c.flow.record(boottime.Now(), n, err)
		c.headLeft -= n
		c.received = c.received || n > 0
		if n > 0 || c.OnReadTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.OnReadTimeout(); err != nil {
			return 0, err
		}
	}
}

// Abort closes the connection with a reset, so that the kernel drops what it has not
// delivered. A request that was given up would else reach the upstream later, as after a
// partition.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Where it fails, the connection is closed as usual.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Check opens and closes a connection to an upstream. It returns an error if
// the upstream does not accept it.
func Check(address string) error {
	if err := probe(address); err != nil {
		return eris.Wrap(ErrDial, err.Error())
	}
	return nil
}

// probe opens and closes a connection.
func probe(address string) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func setUserTimeout(conn *net.TCPConn) {
	control, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// On a kernel without the option, only the gateway's own time limits apply.
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// Put returns a connection to the pool. keepAlive is the time for which the
// upstream keeps an idle connection open, 0 if not stated.
func (p *Pool) Put(id string, conn *Conn, keepAlive time.Duration) {
	conn.idleLimit = defaultIdleLimit
	if keepAlive > 0 {
		conn.idleLimit = max(keepAlive-idleMargin, keepAlive/3)
	}
	conn.idleSince = boottime.Now()
	conn.OnReadTimeout = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerUpstream {
		_ = conn.Close()
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// Retain closes idle connections that have reached their idle limit or whose
// upstream is not listed.
func (p *Pool) Retain(listed map[string]bool) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if listed[id] && now-conn.idleSince < conn.idleLimit {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		p.idle[id] = kept
		if len(kept) == 0 {
			delete(p.idle, id)
		}
	}
}

// Dials returns the number of attempts to open a connection, also of those that
// failed.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// usable reports whether an idle connection is within its idle limit, still
// open, and without unread data. Data on an idle connection belongs to no
// request.
func (c *Conn) usable() bool {
	if boottime.Now()-c.idleSince >= c.idleLimit || c.Reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errno == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// Reused reports whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.idleSince > 0 }

// Received reports whether a byte was read since the latest request was written.
func (c *Conn) Received() bool { return c.received }

// Write sends a request. The header must not contain Host, Content-Length or
// connection headers. It returns the number of bytes handed to the kernel.
func (c *Conn) Write(method, target, host string, header http.Header, body []byte) (int, error) {
	c.received = false
	c.flow.begin(boottime.Now())
	buf := make([]byte, 0, 512+len(body))
	buf = append(buf, method...)
	buf = append(buf, ' ')
	buf = append(buf, target...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, host...)
	buf = append(buf, "\r\n"...)
	for name, values := range header {
		for _, value := range values {
			buf = append(buf, name...)
			buf = append(buf, ": "...)
			buf = append(buf, value...)
			buf = append(buf, "\r\n"...)
		}
	}
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(body)), 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	buf = append(buf, body...)
	return c.Conn.Write(buf)
}
