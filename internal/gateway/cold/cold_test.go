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

// Load pattern: a cut divides the hosts, and all of them send all they have to
// one upstream that has just come back cold.
func TestColdUpstreamGetsWhatItBearsFromPartsOfAFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 100).Draw(t, "hosts")
		count := rapid.IntRange(2, min(hosts, 9)).Draw(t, "parts")
		rate := rapid.Float64Range(2, 30).Draw(t, "rate")
		table := make([]*members.Table, hosts)
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
			table[i] = members.NewTable(names[i])
		}
		const cutAt = time.Second
		for i := range table {
			for j, name := range names {
				table[i].Receive(members.Digest{Host: name, PeerAddress: name, Incarnation: 1, Sequence: 1}, cutAt)
				if i%count == j%count {
					table[i].Receive(members.Digest{Host: name, PeerAddress: name, Incarnation: 1, Sequence: 2}, cutAt+9*time.Second)
				}
			}
		}
		guards := make([]*cold.Limiter, hosts)
		for i := range guards {
			guards[i] = cold.NewLimiter(names[i], -time.Minute)
		}
		var sent []float64
		for k := range 4000 {
			now := cutAt + 6*time.Second + time.Duration(k)*time.Millisecond
			i := k % hosts
			senders := append(table[i].SenderNames(now), names[i])
			if guards[i].Take("u", rate, senders, now) {
				sent = append(sent, now.Seconds())
			}
		}
		checkRate(t, sent, rate)
	})
}

// Load pattern: all hosts send all they have to one upstream that has just come
// back cold.
func TestColdUpstreamGetsWhatItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 100).Draw(t, "hosts")
		rate := rapid.Float64Range(2, 30).Draw(t, "rate")
		names := make([]string, hosts)
		for i := range names {
			names[i] = fmt.Sprint("host-", i)
		}
		guards := make([]*cold.Limiter, hosts)
		for i := range guards {
			guards[i] = cold.NewLimiter(names[i], -time.Minute)
		}
		var sent []float64
		for k := range 4000 {
			now := time.Duration(k) * time.Millisecond
			if guards[k%hosts].Take("u", rate, names, now) {
				sent = append(sent, now.Seconds())
			}
		}
		checkRate(t, sent, rate)
	})
}

// checkRate checks the times of requests to an upstream that bears a rate.
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
		t.Fatal("a cold upstream is not abandoned")
	}
}

// Load pattern: all hosts are killed and start again at once, while an upstream
// is cold; none has heard of the others yet.
func TestNewProcessesSendNothingToColdUpstreams(t *testing.T) {
	for i := range 90 {
		name := fmt.Sprint("host-", i)
		guard := cold.NewLimiter(name, time.Minute)
		for now := time.Minute; now < time.Minute+time.Second; now += 50 * time.Millisecond {
			require.False(t, guard.Take("u", 18, []string{name}, now))
		}
		require.True(t, guard.Take("u", 18, []string{name}, time.Minute+time.Second))
	}
}
