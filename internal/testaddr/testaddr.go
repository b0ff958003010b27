// Package testaddr allocates loopback addresses for tests.
package testaddr

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

// FirstPort is the lowest port to use at an address. It is below the range from
// which the kernel picks ports for other sockets.
const FirstPort = 8001

// The host bits of an address in 127/8 are the low bits of the process ID,
// followed by a counter within the process.
const (
	countBits   = 10
	processBits = 24 - countBits
)

var issued atomic.Uint32

// Next returns a loopback address that no other test uses at the same time. All
// of its ports are free.
func Next() string {
	process := uint32(os.Getpid()) % (1 << processBits)
	count := issued.Add(1) % (1 << countBits)
	bits := process<<countBits | count
	return netip.AddrFrom4([4]byte{127, byte(bits >> 16), byte(bits >> 8), byte(bits)}).String()
}

// Port returns address with the port at an index, counted from FirstPort.
func Port(address string, index int) string {
	return net.JoinHostPort(address, strconv.Itoa(FirstPort+index))
}
