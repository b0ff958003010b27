package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is the network between all hosts and one worker, or a worker and the store. While it is
// cut it carries nothing in either direction, as a partition does: bytes that were under way, and
// the end of a connection, arrive when it heals, and connections that were opened meanwhile are
// lost.
type link struct {
	address, target string

	mu     sync.Mutex
	cut    bool
	healed chan struct{}
}

// newLink returns a link to an address, on a loopback address.
func newLink(ip, target string) (*link, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), target: target, healed: make(chan struct{})}
	close(l.healed)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(conn.(*net.TCPConn))
		}
	}()
	return l, nil
}

// setCut cuts or heals the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut && !l.cut {
		l.healed = make(chan struct{})
	}
	if !cut && l.cut {
		close(l.healed)
	}
	l.cut = cut
}

// state returns whether the link is cut, and a channel that is closed when it is not.
func (l *link) state() (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.healed
}

func (l *link) carry(near *net.TCPConn) {
	if cut, healed := l.state(); cut {
		<-healed
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	conn, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	far := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { l.copy(far, near) })
	both.Go(func() { l.copy(near, far) })
	both.Wait()
	_ = near.Close()
	_ = far.Close()
}

// copy carries what one side sends to the other, with its end: a regular end as such, a reset
// as a reset.
func (l *link) copy(to, from *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		_, healed := l.state()
		<-healed
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				_ = from.SetLinger(0)
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
