package members

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// manyCustomers returns a digest of a host that serves a number of customers.
func manyCustomers(count int) *Digest {
	d := &Digest{Host: "host-1", PeerAddress: "10.0.0.1:7600", Incarnation: 1, Sequence: 1, Detail: Full, QuotaUsed: map[string]float64{}}
	for window := range int64(4) {
		counts := WindowCounts{Window: window, Counts: map[string]int64{}}
		for i := range count {
			customer := fmt.Sprintf("customer-%04d", i)
			d.QuotaUsed[customer] = float64(i) + 0.5
			counts.Counts[customer] = int64(1000 + i)
		}
		d.Usage = append(d.Usage, counts)
	}
	return d
}

// Guards against digests that are not sent, or not understood, once there are many customers:
// hosts would take each other for gone, and each grant all of a quota.
func TestDigestOfManyCustomersArrives(t *testing.T) {
	for _, customers := range []int{1, 600, 1300, 2000} {
		sent := manyCustomers(customers)
		data, err := Encode(sent)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), MaxMessageBytes)
		a, from := NewAssembler(), netip.MustParseAddrPort("10.0.0.1:7600")
		var message []byte
		for _, datagram := range Split(data, 1) {
			require.Nil(t, message)
			require.LessOrEqual(t, len(datagram), MaxDatagramBytes)
			message = a.Add(from, datagram)
		}
		got, err := Decode(message)
		require.NoError(t, err)
		require.Equal(t, sent.QuotaUsed, got.QuotaUsed)
		require.Equal(t, sent.Usage, got.Usage)
		require.Empty(t, a.bySender)
	}
}

func TestDigestThatIsTooLongIsNoMessage(t *testing.T) {
	d := manyCustomers(20_000)
	_, err := Encode(d)
	require.ErrorIs(t, err, ErrTooLong)
	require.ErrorIs(t, err, ErrDigest)
	data, err := Encode(d.Trim(Heartbeat))
	require.NoError(t, err)
	require.Less(t, len(data), 1<<10)
}

// Invariant: of fragments that are lost, repeated and overtake each other, a message is whole or
// does not arrive.
func TestFragmentsNeverMixMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			from     int
			datagram []byte
		}
		var all []sent
		messages := map[string]bool{}
		for i := range rapid.IntRange(1, 6).Draw(t, "messages") {
			size := rapid.IntRange(1, MaxMessageBytes).Draw(t, "size")
			message := make([]byte, size)
			for k := range message {
				message[k] = byte(i + 1)
			}
			messages[string(message)] = true
			from := rapid.IntRange(0, 1).Draw(t, "from")
			for _, datagram := range Split(message, uint64(i)) {
				for range rapid.IntRange(0, 2).Draw(t, "copies") {
					all = append(all, sent{from, datagram})
				}
			}
		}
		a := NewAssembler()
		for _, s := range rapid.Permutation(all).Draw(t, "order") {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(s.from)}), 7600)
			if message := a.Add(from, s.datagram); message != nil {
				require.True(t, messages[string(message)])
			}
		}
	})
}

func TestOddFragmentsAreDropped(t *testing.T) {
	a, from := NewAssembler(), netip.MustParseAddrPort("10.0.0.1:7600")
	header := []byte{fragmentMark, 0, 0, 0, 0, 0, 0, 0, 1}
	for _, rest := range [][]byte{{}, {0}, {0, 2}, {2, 2, 9}, {0, 0, 9}, {0, maxFragments + 1, 9}, {255, 255, 9}} {
		require.Nil(t, a.Add(from, append(header[:len(header):len(header)], rest...)))
	}
	require.Empty(t, a.bySender)
	for i := range 2 * maxPartialMessages {
		require.Nil(t, a.Add(netip.AddrPortFrom(from.Addr(), uint16(i)), append(header[:len(header):len(header)], 0, 2, 9)))
	}
	require.Len(t, a.bySender, maxPartialMessages)
}
