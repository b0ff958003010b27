// Package upconn keeps connections to upstreams and sends one request at a time
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

// Timing of connections.
const (
	// dialTimeout bounds the time of a new connection.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is the time after which the kernel gives up on bytes that the
	// upstream does not acknowledge.
	userTimeout = 1500 * time.Millisecond
	// idleDefault is how long a connection is kept when the upstream does not
	// say how long it stays open.
	idleDefault = 800 * time.Millisecond
	// idleMargin is kept between reuse and the time at which the upstream
	// closes a connection.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 24
	// readBuffer is the size of the buffer of answers in bytes.
	readBuffer = 2048
)

// ErrDial is the root of errors from new connections; nothing was sent.
var ErrDial = eris.New("upstream cannot be reached")

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// OnReadTimeout is called when the read deadline passes. With no error, it has
	// set a new deadline and the read goes on.
	OnReadTimeout func() error
	idleFor       time.Duration
	since         time.Duration
}

// Pool holds idle connections by upstream. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// Dials counts new connections.
	dials uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*Conn{}} }

// AnyIdle is the idle time for Get that takes any kept connection.
const AnyIdle = time.Hour

// Get returns a connection to an upstream, one that was idle for less than a
// time or a new one.
func (p *Pool) Get(ctx context.Context, id, address string, idle time.Duration) (*Conn, error) {
	for {
		conn := p.take(id, idle)
		if conn == nil {
			return p.dial(ctx, address)
		}
		if conn.usable() {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// take returns the connection that was used last if it was idle for less than a
// time. Those before it were idle for longer.
func (p *Pool) take(id string, idle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[id]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	if boottime.Now()-conn.since >= idle {
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
	conn.Reader = bufio.NewReaderSize(conn, readBuffer)
	return conn, nil
}

// Read implements io.Reader.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || c.OnReadTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.OnReadTimeout(); err != nil {
			return 0, err
		}
	}
}

// Check reports whether an upstream takes connections, by opening one.
func Check(address string) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return eris.Wrap(ErrDial, err.Error())
	}
	return conn.Close()
}

func setUserTimeout(conn *net.TCPConn) {
	control, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// A kernel without the option leaves the gateway's own time limits.
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Put keeps a connection for reuse. The upstream keeps it open for a time when
// idle; 0 means unsaid.
func (p *Pool) Put(id string, conn *Conn, keepAlive time.Duration) {
	conn.idleFor = idleDefault
	if keepAlive > 0 {
		conn.idleFor = max(keepAlive-idleMargin, keepAlive/3)
	}
	conn.since = boottime.Now()
	conn.OnReadTimeout = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdle {
		_ = conn.Close()
		return
	}
	p.idle[id] = append(p.idle[id], conn)
}

// Retain closes the idle connections that are too old or whose upstream is not
// listed.
func (p *Pool) Retain(listed map[string]bool) {
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if listed[id] && now-conn.since < conn.idleFor {
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

// Dials returns the number of connections that were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// usable reports whether a connection is young enough, still open, and without
// bytes that nobody asked for.
func (c *Conn) usable() bool {
	if boottime.Now()-c.since >= c.idleFor || c.Reader.Buffered() > 0 {
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

// Write sends a request. The header holds no Host, Content-Length or
// connection headers. It returns the number of bytes handed to the kernel.
func (c *Conn) Write(method, target, host string, header http.Header, body []byte) (int, error) {
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
