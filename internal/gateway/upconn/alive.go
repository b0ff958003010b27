package upconn

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// aliveFor is the time for which an upstream must go on to run. The kernel closes the
// sockets of a process that ends one by one; with a thousand connections, its listener
// accepts up to 90 ms after the first of them was closed.
const aliveFor = 150 * time.Millisecond

// Outlives reports whether an upstream still runs after aliveFor: it keeps a connection
// open until then, or accepts one then. It returns false when ctx ends earlier.
func Outlives(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveFor+dialTimeout)
	defer cancel()
	until := time.Now().Add(aliveFor)
	err := hold(ctx, address, until)
	if errors.Is(err, syscall.ECONNRESET) {
		// The listener was closed, or the upstream takes no more connections.
		err = holdLater(ctx, address, until)
	}
	return err == nil && ctx.Err() == nil
}

// holdLater opens a connection at the given time. It returns an error if there is none, or
// if it is closed at once other than by a reset.
func holdLater(ctx context.Context, address string, at time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(at)):
	}
	err := hold(ctx, address, time.Now())
	if errors.Is(err, syscall.ECONNRESET) {
		return nil
	}
	return err
}

// hold opens a connection and keeps it until the given time. It returns an error if the
// upstream does not accept it or closes it earlier: a proxy accepts connections to an
// upstream that is gone, and closes them.
func hold(ctx context.Context, address string, until time.Time) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(until); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, err = conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
