// Package delivery closes connections such that what was written to them still arrives.
package delivery

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxWait is how long a connection that was closed waits for its peer's
	// acknowledgements.
	maxWait = 10 * time.Second
	// checkInterval is the interval at which it checks them.
	checkInterval = 10 * time.Millisecond
	// maxWaiting is the number of connections of a listener that may wait at a time: each
	// keeps its descriptor.
	maxWaiting = 256
	// discardBytes is the most that is read at once of what is discarded.
	discardBytes = 4 << 10
)

// Listener accepts connections that deliver what was written to them before they end.
// The kernel resets a connection that is closed while bytes of its peer are unread, and one
// whose peer sends bytes after the close; a reset drops what the peer has not received.
type Listener struct {
	net.Listener
	closing sync.WaitGroup
	// waiting has a value for each connection that waits for acknowledgements.
	waiting chan struct{}
	// released is closed when connections wait no longer.
	released chan struct{}
}

// NewListener returns a Listener that accepts the connections of another.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, waiting: make(chan struct{}, maxWaiting), released: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp, listener: l}, err
	}
	return c, err
}

// Finish waits until all connections that were closed have ended, at most for a time, and
// ends those that are left. It is called once, when all connections are closed.
func (l *Listener) Finish(atMost time.Duration) {
	timer := time.AfterFunc(atMost, func() { close(l.released) })
	defer timer.Stop()
	l.closing.Wait()
}

// conn is a connection that ends when all that was written to it has been received.
type conn struct {
	*net.TCPConn
	listener *Listener
	once     sync.Once
	err      error
	// reset is set when the peer must see that the connection broke off.
	reset atomic.Bool
}

// Reset closes a connection of a Listener such that its peer does not take the end for that
// of a whole response. What the peer has not received is dropped.
func Reset(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		// It fails only on a connection that has ended.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// SetLinger sets what happens to bytes that were not sent when the connection is closed, as
// that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.reset.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn. Reads and writes fail from now on, and the peer sees the end
// behind what was written before.
func (c *conn) Close() error {
	c.once.Do(func() {
		if c.reset.Load() || c.unacknowledged() == 0 {
			c.err = c.TCPConn.Close()
			return
		}
		// A read or write in progress would keep the connection in use.
		_ = c.SetDeadline(time.Unix(1, 0))
		select {
		case c.listener.waiting <- struct{}{}:
			c.err = c.CloseWrite()
			c.listener.closing.Go(c.end)
		default:
			// The kernel delivers the rest, if the peer sends nothing more.
			c.discardUnread()
			c.err = c.TCPConn.Close()
		}
	})
	return c.err
}

// end closes the connection once its peer has received everything. What the peer sent is
// read only if that takes too long, so that a request is not taken and left unanswered.
func (c *conn) end() {
	defer func() {
		_ = c.TCPConn.Close()
		<-c.listener.waiting
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	timeout := time.After(maxWait)
	for c.unacknowledged() > 0 {
		select {
		case <-ticker.C:
		case <-c.listener.released:
			c.discardUnread()
			return
		case <-timeout:
			c.discardUnread()
			return
		}
	}
}

// unacknowledged returns the number of bytes that the peer has not received, 0 if the
// kernel does not say.
func (c *conn) unacknowledged() int {
	n := 0
	c.control(func(fd int) {
		if unsent, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			n = unsent
		}
	})
	return n
}

// discardUnread reads what the peer has sent, so that the kernel delivers the rest after the
// close instead of resetting the connection.
func (c *conn) discardUnread() {
	buf := make([]byte, discardBytes)
	c.control(func(fd int) {
		for {
			n, _, err := unix.Recvfrom(fd, buf, unix.MSG_DONTWAIT)
			if n <= 0 || err != nil {
				return
			}
		}
	})
}

func (c *conn) control(f func(fd int)) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	// It fails only on a connection that is closed.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
