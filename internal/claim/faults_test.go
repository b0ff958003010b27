package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

// envSchedules names the environment variable that sets the number of schedules
// for each pair of faults.
const envSchedules = "ONCE_SCHEDULES"

const (
	historyDuration = 25 * time.Second
	faultDuration   = 12 * time.Second
)

// fault injects a fault into a cluster for some seconds.
type fault struct {
	name  string
	apply func(h *history, random *rand.Rand)
}

var faults = []fault{
	{"none", func(*history, *rand.Rand) {}},
	{"kill", killHost},
	{"stop", stopHost},
	{"pause", pauseHost},
	{"log-down", logDown},
	{"log-cut", logCut},
	{"lost-appends", lostAppends},
	{"stale-list", staleList},
	{"cut-links", cutLinks},
	{"upstream-lost", upstreamFault(standin.PlainFault{LoseBefore: 0.2, LoseAfter: 0.2})},
	{"upstream-down", upstreamDown},
	{"upstream-crossed", upstreamFault(standin.PlainFault{CrossShare: 0.2, FailShare: 0.2})},
}

func killHost(h *history, random *rand.Rand) {
	node := h.randomNode(random)
	node.Kill()
	time.Sleep(faultDuration / 2)
	h.cluster.StartNode(node.Self().ID, node.Self().Zone)
}

func stopHost(h *history, random *rand.Rand) {
	node := h.randomNode(random)
	_ = node.Stop(context.Background())
	node.Kill()
	time.Sleep(faultDuration / 4)
	h.cluster.StartNode(node.Self().ID, node.Self().Zone)
}

func pauseHost(h *history, random *rand.Rand) {
	node := h.randomNode(random)
	node.Pause()
	time.Sleep(faultDuration)
	node.Resume()
}

func logDown(h *history, _ *rand.Rand) {
	h.cluster.Log.SetDown(true)
	time.Sleep(faultDuration)
	h.cluster.Log.SetDown(false)
}

func logCut(h *history, random *rand.Rand) {
	node := h.randomNode(random)
	node.SetLogUnreachable(true)
	time.Sleep(faultDuration)
	node.SetLogUnreachable(false)
}

func lostAppends(h *history, _ *rand.Rand) {
	h.cluster.Log.LoseResponses(0.5)
	time.Sleep(faultDuration)
	h.cluster.Log.LoseResponses(0)
}

func staleList(h *history, _ *rand.Rand) {
	h.cluster.List.SetLag(faultDuration)
	time.Sleep(faultDuration)
	h.cluster.List.SetLag(time.Second)
}

func cutLinks(h *history, random *rand.Rand) {
	for range 4 {
		a, b := h.randomNode(random).Self().ID, h.randomNode(random).Self().ID
		h.cluster.SetPartition(a, b, true)
		defer h.cluster.SetPartition(a, b, false)
	}
	time.Sleep(faultDuration)
}

func upstreamFault(f standin.PlainFault) func(*history, *rand.Rand) {
	return func(h *history, _ *rand.Rand) {
		for _, p := range h.cluster.Plains {
			p.SetFault(f)
		}
		time.Sleep(faultDuration)
		for _, p := range h.cluster.Plains {
			p.SetFault(standin.PlainFault{})
		}
	}
}

func upstreamDown(h *history, _ *rand.Rand) {
	setUpstreamsDown(h.cluster, true)
	time.Sleep(faultDuration / 2)
	setUpstreamsDown(h.cluster, false)
}

func setUpstreamsDown(cluster *testbed.Cluster, down bool) {
	for _, p := range cluster.Plains {
		p.SetDown(down)
	}
}

func schedules() int {
	if n, err := strconv.Atoi(os.Getenv(envSchedules)); err == nil {
		return n
	}
	return 3
}

// TestHistoryWithoutFaults checks that all calls are answered without faults.
func TestHistoryWithoutFaults(t *testing.T) { checkSchedule(t, 1, faults[0]) }

// TestHistories checks recorded histories of concurrent callers for
// linearizability under each pair of faults, including each fault with "none" and
// with itself.
func TestHistories(t *testing.T) {
	for i, first := range faults {
		for j, second := range faults[:i+1] {
			t.Run(first.name+"+"+second.name, func(t *testing.T) {
				t.Parallel()
				for n := range schedules() {
					seed := uint64(i*10000 + j*100 + n)
					t.Run(fmt.Sprint(seed), func(t *testing.T) { checkSchedule(t, seed, first, second) })
				}
			})
		}
	}
}

func checkSchedule(t *testing.T, seed uint64, faults ...fault) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory(t, seed)
		defer h.cluster.Close()
		h.run(seed, historyDuration, faults...)
		t.Logf("own keys %+v, tickets %+v", h.tally(false), h.tally(true))
		h.check()
		if len(faults) == 1 && !t.Failed() {
			own, tickets := h.tally(false), h.tally(true)
			require.Equal(t, own.offered+tickets.offered, own.answered+tickets.answered, "calls without an answer though no fault was injected")
		}
	})
}
