package testaddr_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/testaddr"
)

func TestAddressesDifferAndCanBeListenedOn(t *testing.T) {
	first, second := testaddr.Next(), testaddr.Next()
	require.NotEqual(t, first, second)
	require.True(t, netip.MustParseAddr(first).IsLoopback())
	for _, address := range []string{first, second} {
		l, err := net.Listen("tcp4", testaddr.Port(address, 0))
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}

// Load pattern: other packages' tests open listeners on 127.0.0.1 all the time.
func TestListenersOnOtherAddressesDoNotConflict(t *testing.T) {
	address := testaddr.Next()
	_, port, err := net.SplitHostPort(testaddr.Port(address, 0))
	require.NoError(t, err)
	other, err := net.Listen("tcp4", net.JoinHostPort(testaddr.Next(), port))
	require.NoError(t, err)
	defer func() { require.NoError(t, other.Close()) }()
	l, err := net.Listen("tcp4", testaddr.Port(address, 0))
	require.NoError(t, err)
	require.NoError(t, l.Close())
}
