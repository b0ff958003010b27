package bind

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

func TestAddressInUseIsWaitedFor(t *testing.T) {
	address := testaddr.Port(testaddr.Next(), 0)
	other, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	waits := 0
	listener, err := Retry(t.Context(), func() (net.Listener, error) { return net.Listen("tcp4", address) }, func(err error) {
		waits++
		require.ErrorContains(t, err, address)
		require.NoError(t, other.Close())
	})
	require.NoError(t, err)
	require.Equal(t, 1, waits)
	require.NoError(t, listener.Close())
}

func TestWaitForAnAddressEndsWithTheContext(t *testing.T) {
	address := testaddr.Port(testaddr.Next(), 0)
	other, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	defer func() { _ = other.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	_, err = Retry(ctx, func() (net.Listener, error) { return net.Listen("tcp4", address) }, func(error) { cancel() })
	require.Error(t, err)
}

func TestOtherErrorsAreReturnedAtOnce(t *testing.T) {
	wrong := errors.New("no such network")
	_, err := Retry(t.Context(), func() (net.Listener, error) { return nil, wrong }, func(error) { t.Error("waited") })
	require.ErrorIs(t, err, wrong)
}
