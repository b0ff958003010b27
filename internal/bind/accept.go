package bind

import (
	"errors"
	"net"
)

// KeepAccepting returns a listener whose errors end no http.Server before it is closed: the
// server tries again after a pause. The kernel may refuse a connection for lack of memory,
// or since the connection itself has failed.
func KeepAccepting(listener net.Listener) net.Listener { return keeper{listener} }

type keeper struct{ net.Listener }

// Accept implements net.Listener.
func (k keeper) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		err = temporaryError{err}
	}
	return conn, err
}

// temporaryError is an error after which an http.Server tries again.
type temporaryError struct{ error }

func (e temporaryError) Unwrap() error   { return e.error }
func (e temporaryError) Timeout() bool   { return false }
func (e temporaryError) Temporary() bool { return true }
