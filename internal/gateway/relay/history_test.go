package relay_test

import (
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
)

// history is a run of hosts that read the log or follow one another. Responses
// are delayed or lost, as with network partitions and frozen processes.
type history struct {
	t     *rapid.T
	hosts []*historyHost
	// writtenAt holds the times at which configurations were written; the n-th
	// has version n+1.
	writtenAt []time.Duration
	steps     []historyStep
}

type historyHost struct {
	copy    *relay.Cache
	builder *view.Builder
}

type historyStep struct {
	at time.Duration
	do func()
}

const historyLength = 20 * time.Second

func drawHistory(t *rapid.T) *history {
	h := &history{t: t}
	for range 4 {
		h.hosts = append(h.hosts, &historyHost{copy: relay.NewCache(), builder: view.NewBuilder()})
	}
	for range rapid.IntRange(1, 12).Draw(t, "writes") {
		h.writtenAt = append(h.writtenAt, h.drawTime("written"))
	}
	sort.Slice(h.writtenAt, func(i, j int) bool { return h.writtenAt[i] < h.writtenAt[j] })
	for range rapid.IntRange(1, 60).Draw(t, "questions") {
		h.exchange()
	}
	sort.SliceStable(h.steps, func(i, j int) bool { return h.steps[i].at < h.steps[j].at })
	return h
}

func (h *history) drawTime(label string) time.Duration {
	return time.Second + time.Duration(rapid.IntRange(0, int(historyLength/time.Millisecond)).Draw(h.t, label))*time.Millisecond
}

// drawDelay returns a short delay or one as long as a freeze.
func (h *history) drawDelay(label string) time.Duration {
	maxMillis := 20
	if rapid.IntRange(0, 4).Draw(h.t, label+" is long") == 0 {
		maxMillis = 6000
	}
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(h.t, label)) * time.Millisecond
}

func (h *history) at(at time.Duration, do func()) { h.steps = append(h.steps, historyStep{at, do}) }

// exchange adds a request of a host to the log or to another host.
func (h *history) exchange() {
	requester := h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(h.t, "asker")]
	requestedAt := h.drawTime("asked")
	receivedAt := requestedAt + h.drawDelay("way there")
	respondedAt := receivedAt + h.drawDelay("wait")
	deliveredAt := respondedAt + h.drawDelay("way back")
	source := rapid.IntRange(-2, len(h.hosts)-1).Draw(h.t, "source")
	var request relay.Request
	var response relay.Response
	h.at(requestedAt, func() {
		operator, upstreams := requester.copy.Positions()
		request.Operator, request.Upstreams = operator.Offset, upstreams.Offset
	})
	h.at(respondedAt, func() {
		if source < 0 {
			response = h.fromLog(request, respondedAt)
			return
		}
		response = h.hosts[source].copy.Respond(h.t.Context(), request, receivedAt)
	})
	h.at(deliveredAt, func() {
		if response.Operator.Next < max(request.Operator, 0) {
			return
		}
		confirmedAt := requestedAt - response.OperatorAge
		requester.copy.ApplyOperator(response.Operator, confirmedAt)
		requester.builder.ApplyOperator(response.Operator, confirmedAt)
	})
}

// fromLog responds with the configurations that were written by a time.
func (h *history) fromLog(request relay.Request, at time.Duration) relay.Response {
	end := h.versionAt(at)
	update := catalog.OperatorUpdate{Whole: request.Operator < 0, Next: end}
	for version := max(request.Operator, 0) + 1; version <= end; version++ {
		update.Changes = append(update.Changes, catalog.OperatorChange{Document: &catalog.Document{Version: version}})
	}
	return relay.Response{Operator: update}
}

func (h *history) versionAt(at time.Duration) int64 {
	return int64(sort.Search(len(h.writtenAt), func(i int) bool { return h.writtenAt[i] > at }))
}

// A host may use keys for a limited time after its configuration was last
// confirmed. However responses are delayed, a host must know every configuration
// that was written before the time of the confirmation; otherwise a revoked key
// could be used for longer than allowed.
func TestConfirmedAtHoldsWithFreezesAndPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		versions := make([]int64, len(h.hosts))
		for _, step := range h.steps {
			step.do()
			for i, host := range h.hosts {
				current := host.builder.View()
				require.GreaterOrEqual(t, versionOf(current), h.versionAt(current.ConfirmedAt), "host %d at %v", i, step.at)
				require.LessOrEqual(t, current.ConfirmedAt, step.at)
				require.GreaterOrEqual(t, versionOf(current), versions[i], "an older version does not come back")
				versions[i] = versionOf(current)
			}
		}
	})
}
