package members_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

func digest(address string, incarnation, sequence uint64) members.Digest {
	return members.Digest{Host: "h-" + address, PeerAddress: address, Incarnation: incarnation, Sequence: sequence}
}

func TestHostsAreLiveWhileTheySendDigests(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	require.True(t, table.Receive(digest("a", 1, 1), time.Second))
	require.False(t, table.Receive(digest("a", 1, 2), 1200*time.Millisecond))
	require.Len(t, table.Live(2*time.Second), 1)
	require.Empty(t, table.Live(2300*time.Millisecond))
	require.Equal(t, 1, table.SenderCount(10*time.Second), "a silent host may still hold shares of limits")
	require.Zero(t, table.SenderCount(20*time.Second))
	require.True(t, table.Receive(digest("a", 2, 1), 20*time.Second), "a new process is reported")
}

func TestLeavingHostHoldsNoShare(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	d := digest("a", 1, 1)
	d.Stopping = true
	table.Receive(d, time.Second)
	require.Equal(t, 1, table.SenderCount(time.Second))
	require.Zero(t, table.SenderCount(3*time.Second))
}

// Guards against a host that does not count those that it has the addresses of, but no digest.
func TestListedHostsCountAsSendersUntilTheyAreForgotten(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	table.AddListed([]members.ListedHost{{Name: "h-a", PeerAddress: "a"}, {Name: "h-b", PeerAddress: "b"}, {Name: "self", PeerAddress: "self"}}, true, time.Second)
	require.True(t, table.Complete())
	require.Equal(t, []string{"h-a", "h-b"}, table.SenderNames(time.Second))
	require.Zero(t, table.LiveCount(time.Second))
	table.Receive(digest("a", 1, 1), 2*time.Second)
	require.Equal(t, []string{"h-a", "h-b"}, table.SenderNames(2*time.Second))
	require.Equal(t, 1, table.LiveCount(2*time.Second))
	require.Equal(t, []string{"h-a"}, table.SenderNames(16500*time.Millisecond), "b may be gone for good")
	table.AddListed([]members.ListedHost{{Name: "h-c", PeerAddress: "c"}}, true, 17*time.Second)
	require.NotContains(t, table.SenderNames(17*time.Second), "h-c", "a host that is listed later knows this one")
}

func TestOldDigestsAndOwnOnesAreIgnored(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	table.Receive(digest("a", 1, 5), time.Second)
	require.False(t, table.Receive(digest("a", 1, 4), 5*time.Second))
	require.Empty(t, table.Live(5*time.Second), "an old digest does not revive a host")
	require.False(t, table.Receive(digest("self", 1, 1), time.Second))
}

func fullDigests(addresses ...string) []members.Outgoing {
	var digests []members.Outgoing
	for _, address := range addresses {
		digests = append(digests, members.Outgoing{Address: address, Detail: members.Full})
	}
	return digests
}

func TestSilentHostsAreProbedAndForgotten(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	table.AddAddresses([]string{"a", "self", "b"}, 0)
	table.Receive(digest("a", 1, 1), time.Second)
	require.Equal(t, fullDigests("a", "b"), table.Due(time.Second))
	require.Empty(t, table.Due(1100*time.Millisecond))
	require.Equal(t, fullDigests("a", "b"), table.Due(1200*time.Millisecond))
	table.Due(30 * time.Second)
	require.Empty(t, table.Due(30200*time.Millisecond), "silent hosts are probed slowly")
	require.Len(t, table.Due(31500*time.Millisecond), 2)
	require.Empty(t, table.Due(10*time.Minute))
}

// step is the time between two calls of Due.
const step = 50 * time.Millisecond

// countSent returns the number of digests that a table sends in a period by
// detail, and the largest number that it sends at once.
func countSent(table *members.Table, from, until time.Duration) (map[members.Detail]int, int) {
	counts, maxAtOnce := map[members.Detail]int{}, 0
	for now := from; now < until; now += step {
		due := table.Due(now)
		maxAtOnce = max(maxAtOnce, len(due))
		for _, outgoing := range due {
			counts[outgoing.Detail]++
		}
	}
	return counts, maxAtOnce
}

func TestSilentHostsGetEachProbe(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	table.AddAddresses([]string{"a"}, 0)
	counts, _ := countSent(table, 20*time.Second, 50*time.Second)
	require.Equal(t, map[members.Detail]int{members.Full: 30}, counts, "one a second")
}

// Load pattern: ninety hosts behind links of 10 Mbit/s. Full digests of 1 KB to
// each host five times a second take 3.6 Mbit/s each way, in bursts.
func TestLargeFleetSendsLess(t *testing.T) {
	const hosts = 90
	table := members.NewTable(members.Self{Address: "self"})
	now := time.Second
	for i := range hosts {
		d := digest(fmt.Sprint("10.0.0.", i, ":7600"), 1, 1)
		d.Ready = true
		if i == 7 {
			d.LedgerToken = 3
		}
		table.Receive(d, now)
	}
	countSent(table, now, now+time.Second)
	counts, maxAtOnce := countSent(table, now+time.Second, now+9*time.Second)
	require.InDelta(t, 8*1.25*4, counts[members.Full], 8, "the holder of the duties and three candidates")
	require.InDelta(t, 8*1.25*(hosts-4), counts[members.Load], 90)
	require.InDelta(t, 8*2.5*hosts, counts[members.Full]+counts[members.Load]+counts[members.Heartbeat], 180)
	require.Less(t, maxAtOnce, hosts/3, "digests are spread")
}

func TestHeartbeatsKeepThePartsOfEarlierDigests(t *testing.T) {
	table := members.NewTable(members.Self{Address: "self"})
	d := digest("a", 1, 1)
	d.QuotaUsed = map[string]float64{"c": 4}
	d.Usage = []members.WindowCounts{{Window: 3}}
	d.InFlight = []members.UpstreamLoad{{Upstream: 5}}
	table.Receive(*d.Trim(members.Full), time.Second)
	next := d
	next.Sequence, next.Ready = 2, true
	table.Receive(*next.Trim(members.Heartbeat), 1200*time.Millisecond)
	peer := table.Live(1200 * time.Millisecond)[0]
	require.True(t, peer.Ready)
	require.Equal(t, d.QuotaUsed, peer.QuotaUsed)
	require.Equal(t, d.Usage, peer.Usage)
	require.Equal(t, d.InFlight, peer.InFlight)
	restarted := digest("a", 2, 1)
	table.Receive(*restarted.Trim(members.Heartbeat), 1400*time.Millisecond)
	require.Empty(t, table.Live(1400 * time.Millisecond)[0].QuotaUsed, "another process used nothing yet")
}

func TestDigestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := members.Digest{
			Host: rapid.String().Draw(t, "host"), PeerAddress: rapid.String().Draw(t, "peers"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Ready: rapid.Bool().Draw(t, "ready"), LedgerAge: time.Duration(rapid.Int64().Draw(t, "age")),
			InFlight:  []members.UpstreamLoad{{Upstream: rapid.Uint32().Draw(t, "u"), Requests: 3, Tokens: 9}},
			Suspects:  []uint32{rapid.Uint32().Draw(t, "s")},
			Crashes:   []members.Crash{{Request: rapid.Uint64().Draw(t, "r"), Upstream: 8, Age: time.Second}},
			Cleared:   []members.Cleared{{Request: rapid.Uint64().Draw(t, "c"), Age: time.Second}},
			QuotaUsed: map[string]float64{"c": rapid.Float64Range(0, 1e9).Draw(t, "spent")},
			Usage:     []members.WindowCounts{{Window: rapid.Int64().Draw(t, "w"), Counts: map[string]int64{"c": 4}}},
			Demand:    map[string]members.Demand{"svc": {Requests: 1, Tokens: 2}},
		}
		data, err := members.Encode(&d)
		require.NoError(t, err)
		got, err := members.Decode(data)
		require.NoError(t, err)
		require.Equal(t, d, got)
	})
}

func FuzzDecode(f *testing.F) {
	d := digest("a", 1, 1)
	data, err := members.Encode(&d)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0x91})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := members.Decode(data)
		if err != nil {
			require.Empty(t, d.Host)
		}
	})
}
