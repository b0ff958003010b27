// Package connlimit bounds what the connections to a host take of it, over all listeners:
// descriptors, and memory for the heads of requests.
//
// Each listener has a part of the connections for itself and shares the rest with the others.
// One that is full closes the connection that has been idle longest to make room for a new
// one. A head draws on one memory that all listeners share, beyond a small part that
// each connection has for itself, so that short heads always find room.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// yieldAfter is the time from which an idle connection yields to a new one. On a new
	// connection, or one behind a response, a request may be on its way.
	yieldAfter = 300 * time.Millisecond
	// slowHeadAfter is the time from which a head that is still arriving yields to a new
	// connection at a listener that is full and has no idle connection.
	slowHeadAfter = 300 * time.Millisecond
	// roomCheckInterval is the pause between two looks for heads that have become slow.
	roomCheckInterval = 50 * time.Millisecond
	// maxLooks bounds the idle connections that are looked at for one to close.
	maxLooks = 16
	// refusalTimeout bounds the write of a refusal, which fits into a socket's buffer.
	refusalTimeout = 10 * time.Millisecond
)

// Gate is what the listeners of a host share. It is safe for concurrent use.
type Gate struct {
	// limit is the number of connections that may be open.
	limit int

	mu        sync.Mutex
	listeners []*Listener
	heads     headMemory

	closedIdle, refusedHeads atomic.Int64
}

// NewGate returns a gate for a number of connections, whose heads may take a number of bytes
// beyond the part that each connection has for itself.
func NewGate(connections, headBytes int) *Gate {
	return &Gate{limit: connections, heads: headMemory{free: headBytes}}
}

// ClosedIdle returns the number of idle connections that were closed to make room.
func (g *Gate) ClosedIdle() int64 { return g.closedIdle.Load() }

// RefusedHeads returns the number of heads that were refused, since there was no memory for
// them or since they came slowly at a listener that was full.
func (g *Gate) RefusedHeads() int64 { return g.refusedHeads.Load() }

// Encryption says whether the bytes of a listener's connections can be read as HTTP.
type Encryption bool

// The kinds of listeners.
const (
	Plain     Encryption = false
	Encrypted Encryption = true
)

// Listen returns a listener that may always have a number of connections open, and more
// while all listeners together leave room.
func (g *Gate) Listen(inner net.Listener, reserved int, encryption Encryption) *Listener {
	l := &Listener{
		Listener: inner, gate: g, reserved: reserved, encryption: encryption,
		idle: list.New(), arriving: list.New(), room: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// hasRoom reports whether a listener may have one more connection. The gate is locked.
func (g *Gate) hasRoom(l *Listener) bool {
	if l.open < l.reserved {
		return true
	}
	taken := 0
	for _, other := range g.listeners {
		taken += max(other.open, other.reserved)
	}
	return taken < g.limit
}

// Listener bounds the open connections of a net.Listener. Its server must have ConnState
// and ConnContext of this package, and a handler from Handler.
type Listener struct {
	net.Listener
	gate       *Gate
	reserved   int
	encryption Encryption
	// open is the number of open connections. idle holds those on which no request has
	// begun to arrive and arriving those whose head is arriving, the longest first. The
	// gate's lock guards them.
	open           int
	idle, arriving *list.List
	// room receives a value when a connection was closed or may have become idle.
	room      chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener. If the listener is full, it waits for room with the new
// connection in hand.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.awaitRoom() {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	c := &Conn{Conn: raw, listener: l}
	c.move(idle)
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// awaitRoom waits until the listener may have one more connection, and counts it. It
// returns false if the listener is closed.
func (l *Listener) awaitRoom() bool {
	for !l.takeRoom() {
		if l.closeOne() {
			continue
		}
		select {
		case <-l.closed:
			return false
		case <-l.room:
		case <-time.After(roomCheckInterval):
		}
	}
	return true
}

func (l *Listener) takeRoom() bool {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if !l.gate.hasRoom(l) {
		return false
	}
	l.open++
	return true
}

// closeOne closes the connection whose end costs least, if there is one of which nothing
// has been passed on: the one that was idle longest, or else the slowest head.
func (l *Listener) closeOne() bool {
	if victim := l.gate.remove(l, (*Listener).idleLongest); victim != nil {
		l.gate.closedIdle.Add(1)
		_ = victim.Conn.Close()
		return true
	}
	if victim := l.gate.remove(l, (*Listener).slowestHead); victim != nil {
		victim.writeRefusal()
		_ = victim.Conn.Close()
		return true
	}
	return false
}

// remove takes a connection out of the count, to make room at l: one of l, or else of
// another listener that has more connections than are reserved for it.
func (g *Gate) remove(l *Listener, choose func(*Listener) *Conn) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	victim := choose(l)
	for _, other := range g.listeners {
		if victim == nil && other != l && other.open > other.reserved {
			victim = choose(other)
		}
	}
	if victim != nil {
		victim.move(closed)
	}
	return victim
}

// idleLongest returns the connection that was idle longest, if it may yield and the kernel
// holds no bytes of it. The gate is locked.
func (l *Listener) idleLongest() *Conn {
	looks := 0
	for e := l.idle.Front(); e != nil && looks < maxLooks; e = e.Next() {
		c := e.Value.(*Conn)
		if time.Since(c.since) < yieldAfter {
			return nil
		}
		if !c.hasUnread() {
			return c
		}
		looks++
	}
	return nil
}

// slowestHead returns the connection whose head has been arriving longest, if it is slow.
// The gate is locked.
func (l *Listener) slowestHead() *Conn {
	front := l.arriving.Front()
	if front == nil {
		return nil
	}
	if c := front.Value.(*Conn); time.Since(c.since) > slowHeadAfter {
		return c
	}
	return nil
}

// signalRoom wakes Accept if it waits for room.
func (l *Listener) signalRoom() {
	select {
	case l.room <- struct{}{}:
	default:
	}
}

// Shares of the descriptors of a process.
const (
	// reservedDescriptors are for files and for sockets that are opened once.
	reservedDescriptors = 200
	// Of the others, two of three are for accepted connections and one for connections
	// to other processes.
	acceptedNumerator, acceptedDenominator = 2, 3
	// maxAccepted bounds the connections of processes with very many descriptors.
	maxAccepted = 1 << 16
)

// Accepted returns how many connections a process may have accepted at a time under its
// limit of descriptors.
func Accepted() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxAccepted
	}
	return acceptedOf(limit.Cur)
}

func acceptedOf(descriptors uint64) int {
	n := int(min(descriptors, 2*maxAccepted))
	n -= min(reservedDescriptors, n/4)
	return min(n*acceptedNumerator/acceptedDenominator, maxAccepted)
}
