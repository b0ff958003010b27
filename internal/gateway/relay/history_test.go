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

// history is a run of hosts that read the log or ask one another, with answers
// that take any time or are lost, as behind cuts and freezes.
type history struct {
	t     *rapid.T
	hosts []*historyHost
	// written holds the times at which configurations were written; the n-th
	// has version n+1.
	written []time.Duration
	steps   []historyStep
}

type historyHost struct {
	copy  *relay.Cache
	state *view.Builder
}

type historyStep struct {
	at time.Duration
	do func()
}

const historyLength = 20 * time.Second

func drawHistory(t *rapid.T) *history {
	h := &history{t: t}
	for range 4 {
		h.hosts = append(h.hosts, &historyHost{copy: relay.NewCache(), state: view.NewBuilder()})
	}
	for range rapid.IntRange(1, 12).Draw(t, "writes") {
		h.written = append(h.written, h.moment("written"))
	}
	sort.Slice(h.written, func(i, j int) bool { return h.written[i] < h.written[j] })
	for range rapid.IntRange(1, 60).Draw(t, "questions") {
		h.question()
	}
	sort.SliceStable(h.steps, func(i, j int) bool { return h.steps[i].at < h.steps[j].at })
	return h
}

func (h *history) moment(label string) time.Duration {
	return time.Second + time.Duration(rapid.IntRange(0, int(historyLength/time.Millisecond)).Draw(h.t, label))*time.Millisecond
}

// delay is short, or as long as a freeze.
func (h *history) delay(label string) time.Duration {
	most := 20
	if rapid.IntRange(0, 4).Draw(h.t, label+" is long") == 0 {
		most = 6000
	}
	return time.Duration(rapid.IntRange(0, most).Draw(h.t, label)) * time.Millisecond
}

func (h *history) at(at time.Duration, do func()) { h.steps = append(h.steps, historyStep{at, do}) }

// question is one question of a host to the log or to another host.
func (h *history) question() {
	asker := h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(h.t, "asker")]
	asked := h.moment("asked")
	arrived := asked + h.delay("way there")
	answered := arrived + h.delay("wait")
	delivered := answered + h.delay("way back")
	source := rapid.IntRange(-2, len(h.hosts)-1).Draw(h.t, "source")
	var ask relay.Request
	var answer relay.Response
	h.at(asked, func() { ask.Operator, ask.Upstreams = asker.copy.Offsets() })
	h.at(answered, func() {
		if source < 0 {
			answer = h.fromLog(ask, answered)
			return
		}
		answer = h.hosts[source].copy.Respond(h.t.Context(), ask, arrived)
	})
	h.at(delivered, func() {
		if answer.Operator.Next < max(ask.Operator, 0) {
			return
		}
		proven := asked - answer.OperatorAge
		asker.copy.ApplyOperator(answer.Operator, proven)
		asker.state.ApplyOperator(answer.Operator, proven)
	})
}

// fromLog answers with what was written by a time.
func (h *history) fromLog(ask relay.Request, at time.Duration) relay.Response {
	end := h.versionAt(at)
	update := catalog.OperatorUpdate{Whole: ask.Operator < 0, Next: end}
	for version := max(ask.Operator, 0) + 1; version <= end; version++ {
		update.Changes = append(update.Changes, catalog.OperatorChange{Document: &catalog.Document{Version: version}})
	}
	return relay.Response{Operator: update}
}

func (h *history) versionAt(at time.Duration) int64 {
	return int64(sort.Search(len(h.written), func(i int) bool { return h.written[i] > at }))
}

// A host may use keys as long as its configuration was proven newest lately.
// However answers travel, one that was written before the time of the proof is
// known, so a revoked key is used no longer than the bound allows.
func TestProofsHoldWithFreezesAndCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		versions := make([]int64, len(h.hosts))
		for _, step := range h.steps {
			step.do()
			for i, host := range h.hosts {
				current := host.state.View()
				require.GreaterOrEqual(t, versionOf(current), h.versionAt(current.ConfirmedAt), "host %d at %v", i, step.at)
				require.LessOrEqual(t, current.ConfirmedAt, step.at)
				require.GreaterOrEqual(t, versionOf(current), versions[i], "an older version does not come back")
				versions[i] = versionOf(current)
			}
		}
	})
}
