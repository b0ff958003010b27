package cold_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/cold"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// Scenario: a network partition divides the hosts, and all of them send all
// their requests to one upstream that has just restarted cold.
func TestPartitionedFleetSendsColdUpstreamWhatItCanHandle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 100).Draw(t, "hosts")
		parts := rapid.IntRange(2, min(hosts, 9)).Draw(t, "parts")
		rate := rapid.Float64Range(2, 30).Draw(t, "rate")
		tables := make([]*members.Table, hosts)
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
			tables[i] = members.NewTable(members.Self{Address: names[i]})
		}
		const partitionedAt = time.Second
		for i := range tables {
			for j, name := range names {
				tables[i].Receive(members.Digest{Host: name, PeerAddress: name, Incarnation: 1, Sequence: 1}, partitionedAt)
				if i%parts == j%parts {
					tables[i].Receive(members.Digest{Host: name, PeerAddress: name, Incarnation: 1, Sequence: 2}, partitionedAt+9*time.Second)
				}
			}
		}
		limiters := make([]*cold.Limiter, hosts)
		for i := range limiters {
			limiters[i] = cold.NewLimiter(names[i], -time.Minute)
		}
		var sent []float64
		for k := range 4000 {
			now := partitionedAt + 6*time.Second + time.Duration(k)*time.Millisecond
			i := k % hosts
			senders := append(tables[i].SenderNames(now), names[i])
			if limiters[i].Take("u", rate, senders, now) {
				sent = append(sent, now.Seconds())
			}
		}
		checkRate(t, sent, rate)
	})
}

// Load pattern: all hosts send all their requests to one upstream that has just
// restarted cold.
func TestColdUpstreamGetsWhatItCanHandle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		rate := rapid.Float64Range(2, 30).Draw(t, "rate")
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
		}
		limiters := make([]*cold.Limiter, hosts)
		for i := range limiters {
			limiters[i] = cold.NewLimiter(names[i], -time.Minute)
		}
		var sent []float64
		for k := range 4000 {
			now := time.Duration(k) * time.Millisecond
			if limiters[k%hosts].Take("u", rate, names, now) {
				sent = append(sent, now.Seconds())
			}
		}
		checkRate(t, sent, rate)
	})
}

// checkRate checks the times of requests to an upstream that can handle a rate.
func checkRate(t *rapid.T, sent []float64, rate float64) {
	first := 0
	for last := range sent {
		for ; sent[first] <= sent[last]-1; first++ {
		}
		count := last - first + 1
		if limit := rate*1.5 + 5; float64(count) > limit {
			t.Fatalf("%d requests in a second, bound %.0f", count, limit)
		}
	}
	if len(sent) == 0 {
		t.Fatal("a cold upstream gets no requests")
	}
}

// Scenario: all hosts are killed and restart at once while an upstream is
// cold; none has received digests of the others yet.
func TestNewProcessesSendNothingToColdUpstreams(t *testing.T) {
	for i := range 90 {
		name := fmt.Sprint("host-", i)
		limiter := cold.NewLimiter(name, time.Minute)
		for now := time.Minute; now < time.Minute+time.Second; now += 50 * time.Millisecond {
			require.False(t, limiter.Take("u", 18, []string{name}, now))
		}
		require.True(t, limiter.Take("u", 18, []string{name}, time.Minute+time.Second))
	}
}

// Guards against a host that sends to cold upstreams like the only one since it knows no others.
func TestNothingIsSentWithoutAKnownFleet(t *testing.T) {
	limiter := cold.NewLimiter("self", 0)
	require.False(t, limiter.Take("u", 10, nil, time.Minute))
	require.True(t, limiter.Take("u", 10, []string{"self"}, time.Minute))
}
