package claim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	outageLength  = 10 * time.Minute
	bookingPeriod = 2 * time.Second
	// appendBound is what the shards take in a second, whatever the rate of calls.
	appendBound = claim.Shards * 5.0
)

func onBed(t *testing.T, seed uint64, test func(h *history, random *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory(t, seed)
		defer h.bed.Close()
		test(h, rand.New(rand.NewPCG(seed, 0)))
	})
}

// bookEvery makes a call with a new key at random hosts at a fixed rate, for a
// while, and returns the keys.
func (h *history) bookEvery(random *rand.Rand, period, length time.Duration, newKey func() string) []string {
	var work sync.WaitGroup
	var keys []string
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		key, node := newKey(), h.live(random)
		keys = append(keys, key)
		work.Go(func() { h.book(node, key, callerTimeout) })
		time.Sleep(period)
	}
	work.Wait()
	return keys
}

func (h *history) ownKeys(random *rand.Rand) func() string {
	return func() string { return fmt.Sprintf("%d.%d", time.Now().Unix(), random.Uint64()) }
}

func (h *history) tickets(random *rand.Rand) func() string {
	return func() string { return h.ticket(h.live(random), "") }
}

// TestLogOutage books through an outage of the log service of 10 minutes and
// repeats all calls, at other hosts, after it.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	onBed(t, 7, func(h *history, random *rand.Rand) {
		h.bed.Log.SetDown(true)
		var own []string
		var work sync.WaitGroup
		work.Go(func() { own = h.bookEvery(rand.New(rand.NewPCG(1, 1)), bookingPeriod, outageLength, h.ownKeys(random)) })
		tickets := h.bookEvery(rand.New(rand.NewPCG(1, 2)), bookingPeriod, outageLength, h.tickets(rand.New(rand.NewPCG(1, 3))))
		work.Wait()
		report(t, "log out for 10 minutes", h)
		served := h.tally(true)
		require.Equal(t, served.offered, served.answered, "bookings with tickets go on")
		require.Zero(t, h.tally(false).notRun, "nobody knows that a key did not run elsewhere")

		h.bed.Log.SetDown(false)
		time.Sleep(5 * time.Second)
		for _, key := range append(own, tickets...) {
			require.Equal(t, request.Answer, h.book(h.live(random), key, callerTimeout).outcome, key)
		}
		report(t, "with the repeats after the outage", h)
		h.check()
	})
}

func report(t *testing.T, when string, h *history) {
	t.Logf("%-36s %-12s %8s %9s %8s %8s %8s", when, "keys", "offered", "answered", "not run", "unknown", "doubled")
	for name, sum := range map[string]tally{"of callers": h.tally(false), "tickets": h.tally(true)} {
		t.Logf("%-36s %-12s %8d %9d %8d %8d %8d", "", name, sum.offered, sum.answered, sum.notRun, sum.unknown, sum.doubled)
	}
}

// TestRepeatAfterHolderDied kills the host that ran a call, with the log
// service out all the time: other hosts have the answer.
func TestRepeatAfterHolderDied(t *testing.T) {
	onBed(t, 8, func(h *history, random *rand.Rand) {
		h.bed.Log.SetDown(true)
		holder := h.live(random)
		key := h.ticket(holder, "")
		first := h.book(holder, key, callerTimeout)
		require.Equal(t, request.Answer, first.outcome)
		holder.Kill()
		for _, node := range h.bed.Living() {
			require.Equal(t, first.number, h.book(node, key, callerTimeout).number)
			require.Equal(t, http.StatusOK, keyOutcome(node, key))
		}
		h.check()
	})
}

func keyOutcome(node *testbed.Node, key string) int {
	return node.Do(context.Background(), http.MethodGet, "/v1/keys/"+key, "", map[string]string{entry.HeaderCustomer: "web-chat"}).Code
}

// TestHolderDiesInTheCall kills a host while an upstream runs its call. Nobody
// has the answer, and nobody may say that the call did not run.
func TestHolderDiesInTheCall(t *testing.T) {
	for _, withTicket := range []bool{true, false} {
		onBed(t, 14, func(h *history, random *rand.Rand) {
			key := h.ownKeys(random)()
			holder := h.homeOf(key)
			if withTicket {
				key = h.ticket(holder, "")
			}
			var work sync.WaitGroup
			work.Go(func() { h.book(holder, key, callerTimeout) })
			time.Sleep(10 * time.Millisecond)
			holder.Kill()
			h.bed.List.Remove(holder.Self().ID)
			time.Sleep(10 * time.Second)
			for _, node := range h.bed.Living() {
				require.Equal(t, request.Unknown, h.book(node, key, callerTimeout).outcome)
			}
			work.Wait()
			require.Len(t, h.runs()[key], 1)
			h.check()
		})
	}
}

// homeOf returns the host at which the claims of a caller's key meet.
func (h *history) homeOf(key string) *testbed.Node {
	for _, node := range h.bed.Living() {
		if node.Claims().HomeHost(claim.Scoped(key, "web-chat")) == node.Self().ID {
			return node
		}
	}
	h.t.Fatal("no host is home")
	return nil
}

// TestStoppedHostsTicketsDidNotRun stops a host before its tickets are used.
func TestStoppedHostsTicketsDidNotRun(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		onBed(t, 9, func(h *history, random *rand.Rand) {
			h.bed.Log.SetDown(logDown)
			holder := h.live(random)
			used, unused := h.ticket(holder, ""), h.ticket(holder, "")
			first := h.book(holder, used, callerTimeout)
			_ = holder.Stop(context.Background())
			holder.Kill()
			for _, node := range h.bed.Living() {
				require.Equal(t, request.NotRun, h.book(node, unused, callerTimeout).outcome)
				require.Equal(t, first.number, h.book(node, used, callerTimeout).number)
			}
			h.check()
		})
	}
}

// TestPausedHolderRunsItsCallAlone pauses the host that holds a key, past any
// lease, while callers repeat the call everywhere.
func TestPausedHolderRunsItsCallAlone(t *testing.T) {
	t.Parallel()
	onBed(t, 10, func(h *history, random *rand.Rand) {
		for range 10 {
			holder := h.live(random)
			for _, key := range []string{h.ticket(holder, ""), h.ownKeys(random)()} {
				var work sync.WaitGroup
				work.Go(func() { h.book(holder, key, callerTimeout) })
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				holder.Pause()
				for _, node := range h.bed.Living() {
					if node != holder {
						work.Go(func() { h.book(node, key, callerTimeout) })
					}
				}
				time.Sleep(time.Duration(5+random.IntN(60)) * time.Second)
				holder.Resume()
				work.Wait()
			}
		}
		h.check()
	})
}

// TestRefusalOfARepeatIsUnknown refuses calls before anything is known of
// their keys.
func TestRefusalOfARepeatIsUnknown(t *testing.T) {
	onBed(t, 11, func(h *history, random *rand.Rand) {
		outcome := func(key string) string {
			header := map[string]string{entry.HeaderCustomer: "web-chat", entry.HeaderIdempotencyKey: key}
			answer := h.live(random).Do(context.Background(), http.MethodPost, "/v1/services/booking/routes/gone", "{}", header)
			return answer.Header().Get(entry.HeaderOutcome)
		}
		require.Equal(t, request.Unknown.String(), outcome(h.ownKeys(random)()))
		require.Equal(t, request.NotRun.String(), outcome(""))
		require.Equal(t, http.StatusNotFound, keyOutcome(h.live(random), h.ownKeys(random)()))
	})
}

// TestUpstreamsComeBackInTime stops all upstreams for less than the deadline.
func TestUpstreamsComeBackInTime(t *testing.T) {
	onBed(t, 13, func(h *history, random *rand.Rand) {
		setPlainsDown(h.bed, true)
		time.AfterFunc(3*time.Second, func() { setPlainsDown(h.bed, false) })
		for _, key := range []string{h.ownKeys(random)(), h.tickets(random)()} {
			require.Equal(t, request.Answer, h.book(h.live(random), key, callerTimeout).outcome)
		}
		h.check()
	})
}

// claimBytes returns the size of the records of all shards.
func (h *history) claimBytes() int {
	size := 0
	for index := range claim.Shards {
		stream := fmt.Sprintf("%s/%02d", logsvc.StreamClaims, index)
		page, err := h.bed.Log.Read(context.Background(), stream, 0, math.MaxInt32, 0)
		require.NoError(h.t, err)
		for _, rec := range page.Records {
			size += len(rec.Data)
		}
	}
	return size
}

// TestAppendsPerBooking reports how many appends a booking costs at several
// rates, over all hosts.
func TestAppendsPerBooking(t *testing.T) {
	t.Parallel()
	t.Logf("%-12s %12s %12s %18s %18s", "keys", "bookings/s", "appends/s", "appends/booking", "bytes/booking")
	for _, rate := range []int{1, 10, 100, 400} {
		for name, newKey := range map[string]func(*history, *rand.Rand) func() string{
			"of callers": (*history).ownKeys, "tickets": (*history).tickets,
		} {
			onBed(t, 12, func(h *history, random *rand.Rand) {
				before := h.bed.Log.Appends()
				const length = 10 * time.Second
				keys := h.bookEvery(random, time.Second/time.Duration(rate), length, newKey(h, random))
				// The results of tickets take a while to be appended.
				time.Sleep(5 * time.Second)
				appends := float64(h.bed.Log.Appends() - before)
				count := float64(len(keys))
				t.Logf("%-12s %12d %12.1f %18.2f %18.0f",
					name, rate, appends/length.Seconds(), appends/count, float64(h.claimBytes())/count)
				sum := h.tally(name == "tickets")
				require.Equal(t, sum.offered, sum.answered)
				require.LessOrEqual(t, appends/length.Seconds(), appendBound, "more appends than the shards take")
			})
		}
	}
}
