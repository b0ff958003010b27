package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// link is the way to a worker. While it is cut, nothing passes; what was sent meanwhile arrives
// when it has healed, as the network sends it again, unless its sender has reset the connection.
type link struct {
	address, to string

	mu   sync.Mutex
	open chan struct{}
}

func newLink(to string) *link {
	l := &link{to: to, open: make(chan struct{})}
	close(l.open)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	l.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.open)
}

// await waits until the link is not cut.
func (l *link) await() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) serve(near *net.TCPConn) {
	l.await()
	conn, err := net.Dial("tcp4", l.to)
	if err != nil {
		// Nobody listens there: the connection is reset.
		reset(near)
		return
	}
	far := conn.(*net.TCPConn)
	var passing sync.WaitGroup
	passing.Go(func() { l.pass(near, far) })
	passing.Go(func() { l.pass(far, near) })
	passing.Wait()
	_, _ = near.Close(), far.Close()
}

// pass passes bytes and their end on.
func (l *link) pass(from, to *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if n > 0 {
			if _, failed := to.Write(buf[:n]); failed != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, syscall.ECONNRESET):
			reset(to)
			return
		case err != nil:
			_ = to.CloseWrite()
			return
		}
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
