package connlimit

import (
	"bytes"
	"container/list"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// state is what a connection is used for.
type state int

const (
	// unlisted connections have not been accepted yet.
	unlisted state = iota
	// idle connections have no request.
	idle
	// arriving connections have the beginning of a head.
	arriving
	// busy connections have requests at the handler.
	busy
	// closed connections no longer count.
	closed
)

// preface is how HTTP/2 begins on a connection without TLS.
var preface = []byte("PRI * HTTP/2.0\r\n")

// refusal is the response to a head for which there is no room. Nothing of the request has
// been read further or passed on.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

var errNoMemory = errors.New("no memory for the head of a request")

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	// passing is set while bytes are read that are no head: behind the head of a request in
	// progress, and with HTTP/2, whose heads the handler counts.
	passing atomic.Bool
	// scan finds the end of the current head, ahead is what was read beyond it, and bodyLeft
	// is what is still to be read of the body, below 0 if that is not known. The server does
	// not read and change the state at the same time.
	scan     headScan
	ahead    []byte
	bodyLeft atomic.Int64
	// held is the length of ahead, and behind is set when a byte behind the current request
	// was handed out. The handler reads them while the server reads on.
	held   atomic.Int64
	behind atomic.Bool
	// The gate's lock guards the rest.
	state state
	// since is when the connection became idle or the current head began to arrive.
	since   time.Time
	element *list.Element
	// head is what the head of the current request takes.
	head headUse
	// multiplexed is set for HTTP/2.
	multiplexed bool
}

// Read implements net.Conn. In a head it fails when there is no memory for it. It does not
// read beyond a head, or a body of known length, so that the next head counts from its
// beginning.
func (c *Conn) Read(p []byte) (int, error) {
	if c.passing.Load() {
		return c.readBody(p)
	}
	n, err := c.take(p)
	if n == 0 {
		return n, err
	}
	used, refused := c.headArrived(p[:n])
	if refused != nil {
		if errors.Is(refused, errNoMemory) {
			c.writeRefusal()
		}
		// The server takes this for a failure of the connection and writes nothing more.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	if used < n {
		c.ahead = append(bytes.Clone(p[used:n]), c.ahead...)
		c.held.Store(int64(len(c.ahead)))
	}
	return used, err
}

func (c *Conn) readBody(p []byte) (int, error) {
	left := c.bodyLeft.Load()
	if left > 0 {
		p = p[:min(int64(len(p)), left)]
	}
	n, err := c.take(p)
	switch {
	case left > 0:
		c.bodyLeft.Store(left - int64(n))
	case left == 0 && n > 0:
		c.behind.Store(true)
	}
	return n, err
}

// hasMore reports whether bytes behind the current request have arrived. It returns false
// if that is not known: before the request was read to its end, if the length of its body is
// not known, and on encrypted connections.
func (c *Conn) hasMore() bool {
	if c.listener.encryption == Encrypted || c.bodyLeft.Load() != 0 {
		return false
	}
	return c.behind.Load() || c.held.Load() > 0 || c.hasUnread()
}

// take returns what was read ahead, or else reads from the connection.
func (c *Conn) take(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	c.held.Store(int64(len(c.ahead)))
	return n, nil
}

// headArrived counts a piece of a head and returns how much of it the head has. It fails with
// errNoMemory if there is no memory for it, and net.ErrClosed if the connection was closed to
// make room.
func (c *Conn) headArrived(piece []byte) (int, error) {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case c.state == closed:
		return 0, net.ErrClosed
	case c.state == idle && bytes.HasPrefix(piece, preface):
		c.multiplexed = true
		c.passing.Store(true)
		return len(piece), nil
	case c.state == idle:
		c.move(arriving)
	}
	n, lines := len(piece), 0
	if c.listener.encryption == Plain {
		n, lines = c.scan.next(piece)
	}
	if !g.heads.grow(&c.head, costOf(n, lines, c.listener.encryption)) {
		return 0, errNoMemory
	}
	return n, nil
}

// writeRefusal refuses the request whose head is arriving.
func (c *Conn) writeRefusal() {
	c.listener.gate.refusedHeads.Add(1)
	if c.listener.encryption == Encrypted {
		return
	}
	// The connection is closed either way.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write([]byte(refusal))
}

// begin marks that a request is at the handler. It returns false if the connection was
// closed to make room, so that the request must not be passed on.
func (c *Conn) begin(multiplexed bool, bodyBytes int64) bool {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == closed {
		return false
	}
	if !multiplexed {
		c.move(busy)
		c.bodyLeft.Store(bodyBytes)
		c.passing.Store(true)
		return true
	}
	c.passing.Store(true)
	// The server says when the first stream begins and the last one ends.
	if !c.multiplexed {
		c.multiplexed = true
		g.heads.release(&c.head)
		if c.state == arriving {
			// The beginning of HTTP/2 came in parts and was taken for that of a head.
			c.move(busy)
		}
	}
	return true
}

// becomeActive marks that the head of a request over HTTP/1 was read, or that a connection
// with HTTP/2 has streams. The server then reads on, perhaps before it calls the handler.
func (c *Conn) becomeActive() {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.passing.Store(true)
	if c.multiplexed || c.listener.encryption == Encrypted {
		c.move(busy)
	}
}

// becomeIdle marks that the last request has its response.
func (c *Conn) becomeIdle() {
	g := c.listener.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.state == closed {
		return
	}
	g.heads.release(&c.head)
	c.move(idle)
	if len(c.ahead) > 0 {
		c.move(arriving)
	}
	c.passing.Store(c.multiplexed)
	c.bodyLeft.Store(0)
	c.behind.Store(false)
	c.listener.signalRoom()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.listener.gate
	g.mu.Lock()
	g.heads.release(&c.head)
	c.move(closed)
	g.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite lets the server end a response to a request that it does not read whole.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// move puts the connection into a state and into the list of the state. The gate is locked.
func (c *Conn) move(to state) {
	if c.state == closed || c.state == to {
		return
	}
	l := c.listener
	switch c.state {
	case idle:
		l.idle.Remove(c.element)
	case arriving:
		l.arriving.Remove(c.element)
	case unlisted, busy, closed:
	}
	c.state, c.element = to, nil
	switch to {
	case idle:
		c.since = time.Now()
		c.element = l.idle.PushBack(c)
	case arriving:
		c.since = time.Now()
		c.element = l.arriving.PushBack(c)
	case closed:
		l.open--
		l.signalRoom()
	case unlisted, busy:
	}
}

// hasUnread reports whether the kernel holds bytes of the connection that have not been
// read. Where it does not say, there are none.
func (c *Conn) hasUnread() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = control.Control(func(fd uintptr) { unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && unread > 0
}
