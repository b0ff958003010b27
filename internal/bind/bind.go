// Package bind opens sockets on addresses that may still be in use, as shortly after a
// restart.
package bind

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// retryInterval is the pause between two tries to open a socket.
const retryInterval = 50 * time.Millisecond

// passing are the errors that may pass without a change of the settings.
var passing = []error{
	syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
}

// Retry calls open until it succeeds, fails with an error that does not pass by itself, or
// ctx is done; then it returns the last error of open. It calls waiting with the first
// error after which it tries again.
func Retry[Socket any](ctx context.Context, open func() (Socket, error), waiting func(error)) (Socket, error) {
	for first := true; ; first = false {
		socket, err := open()
		if err == nil || !passes(err) || ctx.Err() != nil {
			return socket, err
		}
		if first {
			waiting(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func passes(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}
