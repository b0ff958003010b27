package claim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

const (
	historyHosts   = 5
	historyCallers = 6
	historyRepeats = 4
	callerTimeout  = 10 * time.Second
	bookPath       = "/v1/services/booking/routes/book"
)

// call is one call of the history, with what its caller was told.
type call struct {
	key     string
	outcome request.Outcome
	// number is the number of the run whose answer the caller got.
	number            int
	invoked, returned time.Duration
}

// history records the concurrent calls on a bed.
type history struct {
	t     *testing.T
	bed   *testbed.Cluster
	start time.Time

	mu    sync.Mutex
	calls []call
	keys  []string
}

func startHistory(t *testing.T, seed uint64) *history {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	bed := testbed.Start(t, testbed.Options{
		Config: config, Hosts: historyHosts, Seed: seed, ListLag: time.Second,
		PlainDelay: 20 * time.Millisecond, Secret: []byte("deployment secret"),
		Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
	})
	return &history{t: t, bed: bed, start: time.Now()}
}

// live returns a random host that was not killed.
func (h *history) live(random *rand.Rand) *testbed.Node {
	nodes := h.bed.Living()
	return nodes[random.IntN(len(nodes))]
}

func body(key string) string { return fmt.Sprintf(`{"for":%q}`, key) }

// book makes one call and records it.
func (h *history) book(node *testbed.Node, key string, timeout time.Duration) call {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	c := call{key: key, outcome: request.Unknown, invoked: time.Since(h.start)}
	answer := node.Do(ctx, http.MethodPost, bookPath, body(key), map[string]string{
		entry.HeaderCustomer: "web-chat", entry.HeaderIdempotencyKey: key,
		entry.HeaderTimeout: fmt.Sprint(timeout.Milliseconds()),
	})
	c.returned = time.Since(h.start)
	switch answer.Header().Get(entry.HeaderOutcome) {
	case request.NotRun.String():
		c.outcome = request.NotRun
	case request.Answer.String():
		var run standin.PlainRun
		require.NoError(h.t, json.Unmarshal(answer.Body.Bytes(), &run))
		require.JSONEq(h.t, body(key), string(run.Echo), "another caller's answer")
		c.outcome, c.number = request.Answer, run.Number
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
	return c
}

// newKey returns a key of the caller's or a ticket of a host.
func (h *history) newKey(random *rand.Rand) string {
	key := fmt.Sprintf("%d.%d", time.Now().Unix(), random.Uint64())
	if random.IntN(2) == 0 {
		key = h.ticket(h.live(random), key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys = append(h.keys, key)
	return key
}

func (h *history) ticket(node *testbed.Node, fallback string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	var hosts entry.HostsResponse
	answer := node.Do(ctx, http.MethodGet, "/v1/hosts", "", nil)
	if json.Unmarshal(answer.Body.Bytes(), &hosts) != nil || hosts.Ticket == "" {
		return fallback
	}
	return hosts.Ticket
}

// caller makes calls until a time; it repeats a call at another host at once,
// and sometimes calls with the key of another caller.
func (h *history) caller(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		h.mu.Lock()
		key := ""
		if len(h.keys) > 0 && random.IntN(3) > 0 {
			key = h.keys[len(h.keys)-1-random.IntN(min(3, len(h.keys)))]
		}
		h.mu.Unlock()
		if key == "" {
			key = h.newKey(random)
		}
		for range historyRepeats {
			timeout := time.Duration(1+random.IntN(8)) * time.Second
			if c := h.book(h.live(random), key, timeout); c.outcome == request.Answer && random.IntN(2) == 0 {
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// run makes calls from several callers while faults come and go.
func (h *history) run(seed uint64, length time.Duration, faults ...fault) {
	var work sync.WaitGroup
	until := time.Now().Add(length)
	for i := range historyCallers {
		work.Go(func() { h.caller(rand.New(rand.NewPCG(seed, uint64(i))), until) })
	}
	for i, f := range faults {
		work.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(100+i)))
			time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
			f.apply(h, random)
		})
	}
	work.Wait()
}

// runs returns the numbers of the runs of each key.
func (h *history) runs() map[string][]int {
	runs := map[string][]int{}
	for _, run := range h.bed.Store.Runs() {
		var content struct {
			For string `json:"for"`
		}
		require.NoError(h.t, json.Unmarshal(run.Echo, &content))
		runs[content.For] = append(runs[content.For], run.Number)
	}
	return runs
}

// checkCall is what the model sees of a call: the call and the number of the
// run that its key had in truth, 0 for none.
type checkCall struct {
	call
	truth int
}

// model holds the number of a key's run, 0 before it. A call that ends as
// "unknown" may run the key or not, also after it returned.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		ran, c := state.(int), output.(checkCall)
		switch c.outcome {
		case request.Answer:
			if c.number != c.truth || (ran != 0 && ran != c.number) {
				return nil
			}
			return []any{c.number}
		case request.NotRun:
			if ran != 0 {
				return nil
			}
			return []any{0}
		default:
			if ran == 0 && c.truth != 0 {
				return []any{0, c.truth}
			}
			return []any{ran}
		}
	},
	Equal: func(a, b any) bool { return a.(int) == b.(int) },
}

const endOfTime = int64(1) << 62

// check proves the history against the model, a key at a time.
func (h *history) check() {
	runs := h.runs()
	byKey := map[string][]porcupine.Operation{}
	for i, c := range h.calls {
		truth := 0
		if len(runs[c.key]) > 0 {
			truth = runs[c.key][0]
		}
		op := porcupine.Operation{
			ClientId: i, Call: int64(c.invoked), Return: int64(c.returned), Output: checkCall{c, truth},
		}
		if c.outcome == request.Unknown {
			op.Return = endOfTime
		}
		byKey[c.key] = append(byKey[c.key], op)
	}
	for key, ops := range byKey {
		require.LessOrEqual(h.t, len(runs[key]), 1, "%s ran more than once", key)
		require.True(h.t, porcupine.CheckOperations(model.ToModel(), ops), "%s: %s", key, describe(ops))
		require.False(h.t, len(runs[key]) == 1 && onlyNotRun(ops), "%s ran, and all were told it did not", key)
	}
}

func onlyNotRun(ops []porcupine.Operation) bool {
	for _, op := range ops {
		if op.Output.(checkCall).outcome != request.NotRun {
			return false
		}
	}
	return true
}

func describe(ops []porcupine.Operation) string {
	var text strings.Builder
	for _, op := range ops {
		c := op.Output.(checkCall)
		fmt.Fprintf(&text, "\n%v..%v %v %d (ran %d)", c.invoked, c.returned, c.outcome, c.number, c.truth)
	}
	return text.String()
}

// tally counts the calls by outcome, and the answered calls with tickets.
type tally struct {
	offered, answered, notRun, unknown, doubled int
}

func (h *history) tally(tickets bool) tally {
	var sum tally
	for _, c := range h.calls {
		if ticket.Is(c.key) != tickets {
			continue
		}
		sum.offered++
		switch c.outcome {
		case request.Answer:
			sum.answered++
		case request.NotRun:
			sum.notRun++
		default:
			sum.unknown++
		}
	}
	for key, numbers := range h.runs() {
		if ticket.Is(key) == tickets {
			sum.doubled += len(numbers) - 1
		}
	}
	return sum
}
