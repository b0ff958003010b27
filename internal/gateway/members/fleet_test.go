package members_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// busyDigest returns the digest of a host with sixteen customers, requests at six
// upstreams and three usage windows.
func busyDigest(address string) members.Digest {
	d := digest(address, 1<<60, 1<<30)
	d.Ready, d.Zone, d.CallerAddress = true, "zone-one", "10.100.200.14:8221"
	d.QuotaUsed = map[string]float64{}
	counts := map[string]int64{}
	for i := range 16 {
		name := fmt.Sprint("customer", i)
		d.QuotaUsed[name], counts[name] = 1e6+float64(i)/3, int64(40+i)
	}
	for i := range 6 {
		d.InFlight = append(d.InFlight, members.UpstreamLoad{Upstream: 1<<31 + uint32(i), Requests: 3, Tokens: 9000})
	}
	for i := range 3 {
		d.Usage = append(d.Usage, members.WindowCounts{Window: 355774610 + int64(i), Counts: counts})
	}
	d.Demand = map[string]members.Demand{"engines": {Requests: 1e5, Tokens: 1e9}, "services": {Requests: 1e5}}
	return d
}

// traffic returns the bytes and datagrams that one host of a fleet sends per
// second, including IP and UDP headers.
func traffic(t testing.TB, hosts int) (bytes, datagrams float64) {
	const headers, seconds = 28, 10
	table := members.NewTable(members.Self{Address: "self"})
	start := time.Second
	for i := range hosts - 1 {
		table.Receive(busyDigest(fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200)), start)
	}
	size := map[members.Detail]int{}
	for _, detail := range []members.Detail{members.Heartbeat, members.Load, members.Full} {
		data, err := members.Encode(busyDigest("10.0.0.1:7600").Trim(detail))
		require.NoError(t, err)
		size[detail] = len(data) + headers
	}
	counts, _ := countSent(table, start, start+seconds*time.Second)
	for detail, count := range counts {
		bytes += float64(count * size[detail])
		datagrams += float64(count)
	}
	return bytes / seconds, datagrams / seconds
}

// Load pattern: the smallest hosts have links of 10 Mbit/s, 1,250,000 bytes a
// second, which callers need.
func TestDigestsLeaveBandwidthToCallers(t *testing.T) {
	const link = 1_250_000
	for _, hosts := range []int{9, 30, 91, 300} {
		bytes, datagrams := traffic(t, hosts)
		require.Less(t, bytes, 0.1*link, "%d hosts", hosts)
		require.Less(t, datagrams, 400.0, "%d hosts", hosts)
	}
}

// BenchmarkFleet measures the digests that one host sends and the time to select
// them, by the size of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{9, 30, 91, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			bytes, datagrams := traffic(b, hosts)
			table := members.NewTable(members.Self{Address: "self"})
			for i := range hosts - 1 {
				table.Receive(busyDigest(fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200)), time.Second)
			}
			now := time.Second
			for b.Loop() {
				now += step
				table.Due(now)
				if now > 10*time.Second {
					now = time.Second
				}
			}
			b.ReportMetric(bytes, "B/s")
			b.ReportMetric(datagrams, "datagrams/s")
		})
	}
}
