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

// envSchedules sets the number of schedules of each pair of faults.
const envSchedules = "ONCE_SCHEDULES"

const (
	historyLength = 25 * time.Second
	faultLength   = 12 * time.Second
)

// fault disturbs a bed for a while.
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
	node := h.live(random)
	node.Kill()
	time.Sleep(faultLength / 2)
	h.bed.StartNode(node.Self().ID, node.Self().Zone)
}

func stopHost(h *history, random *rand.Rand) {
	node := h.live(random)
	_ = node.Stop(context.Background())
	node.Kill()
	time.Sleep(faultLength / 4)
	h.bed.StartNode(node.Self().ID, node.Self().Zone)
}

func pauseHost(h *history, random *rand.Rand) {
	node := h.live(random)
	node.Pause()
	time.Sleep(faultLength)
	node.Resume()
}

func logDown(h *history, _ *rand.Rand) {
	h.bed.Log.SetDown(true)
	time.Sleep(faultLength)
	h.bed.Log.SetDown(false)
}

func logCut(h *history, random *rand.Rand) {
	node := h.live(random)
	node.SetLogUnreachable(true)
	time.Sleep(faultLength)
	node.SetLogUnreachable(false)
}

func lostAppends(h *history, _ *rand.Rand) {
	h.bed.Log.LoseAnswers(0.5)
	time.Sleep(faultLength)
	h.bed.Log.LoseAnswers(0)
}

func staleList(h *history, _ *rand.Rand) {
	h.bed.List.SetLag(faultLength)
	time.Sleep(faultLength)
	h.bed.List.SetLag(time.Second)
}

func cutLinks(h *history, random *rand.Rand) {
	for range 4 {
		a, b := h.live(random).Self().ID, h.live(random).Self().ID
		h.bed.SetPartition(a, b, true)
		defer h.bed.SetPartition(a, b, false)
	}
	time.Sleep(faultLength)
}

func upstreamFault(f standin.PlainFault) func(*history, *rand.Rand) {
	return func(h *history, _ *rand.Rand) {
		for _, p := range h.bed.Plains {
			p.SetFault(f)
		}
		time.Sleep(faultLength)
		for _, p := range h.bed.Plains {
			p.SetFault(standin.PlainFault{})
		}
	}
}

func upstreamDown(h *history, _ *rand.Rand) {
	setPlainsDown(h.bed, true)
	time.Sleep(faultLength / 2)
	setPlainsDown(h.bed, false)
}

func setPlainsDown(bed *testbed.Cluster, down bool) {
	for _, p := range bed.Plains {
		p.SetDown(down)
	}
}

func schedules() int {
	if n, err := strconv.Atoi(os.Getenv(envSchedules)); err == nil {
		return n
	}
	return 3
}

// TestUndisturbedHistory checks that all calls are answered without faults.
func TestUndisturbedHistory(t *testing.T) { checkSchedule(t, 1, faults[0]) }

// TestHistories checks recorded histories of concurrent callers under each
// fault alone and each pair of faults.
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
		defer h.bed.Close()
		h.run(seed, historyLength, faults...)
		t.Logf("own keys %+v, tickets %+v", h.tally(false), h.tally(true))
		h.check()
		if len(faults) == 1 && !t.Failed() {
			own, tickets := h.tally(false), h.tally(true)
			require.Equal(t, own.offered+tickets.offered, own.answered+tickets.answered, "without a fault all are answered")
		}
	})
}
