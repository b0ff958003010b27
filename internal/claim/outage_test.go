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
	outageDuration = 10 * time.Minute
	bookingPeriod  = 2 * time.Second
	// appendBound is the maximum of appends per second over all shards, at any rate
	// of calls: one per flush interval and shard.
	appendBound = claim.ShardCount * 5.0
)

func withCluster(t *testing.T, seed uint64, test func(h *history, random *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory(t, seed)
		defer h.cluster.Close()
		test(h, rand.New(rand.NewPCG(seed, 0)))
	})
}

// bookEvery makes calls with new keys to random hosts at a fixed rate and returns
// the keys.
func (h *history) bookEvery(random *rand.Rand, period, length time.Duration, newKey func() string) []string {
	var work sync.WaitGroup
	var keys []string
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		key, node := newKey(), h.randomNode(random)
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
	return func() string { return h.ticket(h.randomNode(random), "") }
}

// TestLogOutage makes calls during a 10-minute outage of the log service, and
// repeats them all at random hosts after it.
func TestLogOutage(t *testing.T) {
	t.Parallel()
	withCluster(t, 7, func(h *history, random *rand.Rand) {
		h.cluster.Log.SetDown(true)
		var own []string
		var work sync.WaitGroup
		work.Go(func() {
			own = h.bookEvery(rand.New(rand.NewPCG(1, 1)), bookingPeriod, outageDuration, h.ownKeys(random))
		})
		tickets := h.bookEvery(rand.New(rand.NewPCG(1, 2)), bookingPeriod, outageDuration, h.tickets(rand.New(rand.NewPCG(1, 3))))
		work.Wait()
		report(t, "log out for 10 minutes", h)
		withTickets := h.tally(true)
		require.Equal(t, withTickets.offered, withTickets.answered, "calls with tickets do not need the log service")
		require.Zero(t, h.tally(false).notRun, "without the log service, no host can know that a key did not run elsewhere")

		h.cluster.Log.SetDown(false)
		time.Sleep(5 * time.Second)
		for _, key := range append(own, tickets...) {
			require.Equal(t, request.Answer, h.book(h.randomNode(random), key, callerTimeout).outcome, key)
		}
		report(t, "with the repeats after the outage", h)
		h.check()
	})
}

func report(t *testing.T, when string, h *history) {
	t.Logf("%-36s %-12s %8s %9s %8s %8s %8s", when, "keys", "offered", "answered", "not run", "unknown", "doubled")
	for name, sum := range map[string]tally{"of callers": h.tally(false), "tickets": h.tally(true)} {
		t.Logf("%-36s %-12s %8d %9d %8d %8d %8d", "", name, sum.offered, sum.answered, sum.notRun, sum.unknown, sum.duplicates)
	}
}

// TestRepeatAfterHolderDied kills the host that ran a call during an outage of the
// log service: the other hosts return the answer from copies.
func TestRepeatAfterHolderDied(t *testing.T) {
	withCluster(t, 8, func(h *history, random *rand.Rand) {
		h.cluster.Log.SetDown(true)
		holder := h.randomNode(random)
		key := h.ticket(holder, "")
		first := h.book(holder, key, callerTimeout)
		require.Equal(t, request.Answer, first.outcome)
		holder.Kill()
		for _, node := range h.cluster.Living() {
			require.Equal(t, first.number, h.book(node, key, callerTimeout).number)
			require.Equal(t, http.StatusOK, keyStatus(node, key))
		}
		h.check()
	})
}

func keyStatus(node *testbed.Node, key string) int {
	return node.Do(context.Background(), http.MethodGet, "/v1/keys/"+key, "", map[string]string{entry.HeaderCustomer: "web-chat"}).Code
}

// TestHolderDiesDuringCall kills a host while an upstream runs its call. No host
// has the answer, and none may return that the call did not run.
func TestHolderDiesDuringCall(t *testing.T) {
	for _, withTicket := range []bool{true, false} {
		withCluster(t, 14, func(h *history, random *rand.Rand) {
			key := h.ownKeys(random)()
			holder := h.homeOf(key)
			if withTicket {
				key = h.ticket(holder, "")
			}
			var work sync.WaitGroup
			work.Go(func() { h.book(holder, key, callerTimeout) })
			time.Sleep(10 * time.Millisecond)
			holder.Kill()
			h.cluster.List.Remove(holder.Self().ID)
			time.Sleep(10 * time.Second)
			for _, node := range h.cluster.Living() {
				require.Equal(t, request.Unknown, h.book(node, key, callerTimeout).outcome)
			}
			work.Wait()
			require.Len(t, h.runs()[key], 1)
			h.check()
		})
	}
}

// homeOf returns the home host of the shard of a caller's key.
func (h *history) homeOf(key string) *testbed.Node {
	for _, node := range h.cluster.Living() {
		if node.Claims().HomeHost(claim.Scoped(key, "web-chat")) == node.Self().ID {
			return node
		}
	}
	h.t.Fatal("no live host is the home of the key")
	return nil
}

// TestUnusedTicketsOfStoppedHost stops a host that issued tickets: other hosts
// return that the unused ticket did not run, and the answer of the used one.
func TestUnusedTicketsOfStoppedHost(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		withCluster(t, 9, func(h *history, random *rand.Rand) {
			h.cluster.Log.SetDown(logDown)
			holder := h.randomNode(random)
			used, unused := h.ticket(holder, ""), h.ticket(holder, "")
			first := h.book(holder, used, callerTimeout)
			_ = holder.Stop(context.Background())
			holder.Kill()
			for _, node := range h.cluster.Living() {
				require.Equal(t, request.NotRun, h.book(node, unused, callerTimeout).outcome)
				require.Equal(t, first.number, h.book(node, used, callerTimeout).number)
			}
			h.check()
		})
	}
}

// TestCallRunsOnceWhenHolderPauses pauses the host that holds a key, for longer
// than any lease, while callers repeat the call at all other hosts. The call must
// not run twice, though the paused host may still dispatch it when it resumes.
func TestCallRunsOnceWhenHolderPauses(t *testing.T) {
	t.Parallel()
	withCluster(t, 10, func(h *history, random *rand.Rand) {
		for range 10 {
			holder := h.randomNode(random)
			for _, key := range []string{h.ticket(holder, ""), h.ownKeys(random)()} {
				var work sync.WaitGroup
				work.Go(func() { h.book(holder, key, callerTimeout) })
				time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
				holder.Pause()
				for _, node := range h.cluster.Living() {
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

// TestRefusedCallWithKeyIsUnknown makes calls that are refused before their keys
// are looked up. With a key, an earlier call may have run, so the outcome is
// "unknown"; without a key it is "not run".
func TestRefusedCallWithKeyIsUnknown(t *testing.T) {
	withCluster(t, 11, func(h *history, random *rand.Rand) {
		outcome := func(key string) string {
			header := map[string]string{entry.HeaderCustomer: "web-chat", entry.HeaderIdempotencyKey: key}
			response := h.randomNode(random).Do(context.Background(), http.MethodPost, "/v1/services/booking/routes/gone", "{}", header)
			return response.Header().Get(entry.HeaderOutcome)
		}
		require.Equal(t, request.Unknown.String(), outcome(h.ownKeys(random)()))
		require.Equal(t, request.NotRun.String(), outcome(""))
		require.Equal(t, http.StatusNotFound, keyStatus(h.randomNode(random), h.ownKeys(random)()))
	})
}

// TestUpstreamsRecoverBeforeDeadline stops all upstreams for a time shorter than
// the deadline; the calls are still answered.
func TestUpstreamsRecoverBeforeDeadline(t *testing.T) {
	withCluster(t, 13, func(h *history, random *rand.Rand) {
		setUpstreamsDown(h.cluster, true)
		time.AfterFunc(3*time.Second, func() { setUpstreamsDown(h.cluster, false) })
		for _, key := range []string{h.ownKeys(random)(), h.tickets(random)()} {
			require.Equal(t, request.Answer, h.book(h.randomNode(random), key, callerTimeout).outcome)
		}
		h.check()
	})
}

// claimBytes returns the size of the records of all shards.
func (h *history) claimBytes() int {
	size := 0
	for index := range claim.ShardCount {
		stream := fmt.Sprintf("%s/%02d", logsvc.StreamClaims, index)
		page, err := h.cluster.Log.Read(context.Background(), stream, 0, math.MaxInt32, 0)
		require.NoError(h.t, err)
		for _, rec := range page.Records {
			size += len(rec.Data)
		}
	}
	return size
}

// TestAppendsPerBooking logs the appends per call over all hosts at several rates,
// and checks that their rate stays below appendBound.
func TestAppendsPerBooking(t *testing.T) {
	t.Parallel()
	t.Logf("%-12s %12s %12s %18s %18s", "keys", "bookings/s", "appends/s", "appends/booking", "bytes/booking")
	for _, rate := range []int{1, 10, 100, 400} {
		for name, newKey := range map[string]func(*history, *rand.Rand) func() string{
			"of callers": (*history).ownKeys, "tickets": (*history).tickets,
		} {
			withCluster(t, 12, func(h *history, random *rand.Rand) {
				before := h.cluster.Log.Appends()
				const length = 10 * time.Second
				keys := h.bookEvery(random, time.Second/time.Duration(rate), length, newKey(h, random))
				// The append of the results of tickets is delayed.
				time.Sleep(5 * time.Second)
				appends := float64(h.cluster.Log.Appends() - before)
				count := float64(len(keys))
				t.Logf("%-12s %12d %12.1f %18.2f %18.0f",
					name, rate, appends/length.Seconds(), appends/count, float64(h.claimBytes())/count)
				sum := h.tally(name == "tickets")
				require.Equal(t, sum.offered, sum.answered)
				require.LessOrEqual(t, appends/length.Seconds(), appendBound, "appends per second over all shards")
			})
		}
	}
}
