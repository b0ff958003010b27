package upconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// aliveFor is the time for which an upstream must go on to run. The kernel closes the
// sockets of a process that ends one by one; with a thousand connections, its listener
// accepts up to 90 ms after the first of them was closed.
const aliveFor = 150 * time.Millisecond

// Outlives reports whether an upstream still runs after aliveFor, as it shows by keeping a
// connection open for so long. If it resets the first, as one at its limit of connections
// does, a second one is tried. Outlives returns false when ctx ends earlier.
func Outlives(ctx context.Context, address string) bool {
	next := time.Now().Add(aliveFor)
	err := hold(ctx, address)
	if errors.Is(err, syscall.ECONNRESET) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(time.Until(next)):
			err = hold(ctx, address)
		}
	}
	return err == nil && ctx.Err() == nil
}

// Probe opens a connection to an upstream and closes it after aliveFor. It returns an error
// if the upstream does not accept it or closes it earlier.
func Probe(ctx context.Context, address string) error {
	if err := hold(ctx, address); err != nil {
		return eris.Wrap(ErrDial, err.Error())
	}
	return nil
}

// hold opens a connection and keeps it for aliveFor. It returns an error if the upstream
// does not accept it or closes it earlier: a proxy accepts connections to an upstream that
// is gone, and closes them.
func hold(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(aliveFor)); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	_, err = conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return checkOpen(conn)
	}
	return err
}

// checkOpen returns an error if the other side has closed a connection. A read reports a
// deadline that has passed first, as behind a pause of this process.
func checkOpen(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	n := 0
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case controlErr != nil:
		return controlErr
	case errors.Is(err, unix.EAGAIN):
		return nil
	case err == nil && n == 0:
		return io.EOF
	}
	return err
}
