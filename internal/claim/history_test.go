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

// call is one call of a history, with the outcome that its caller received.
type call struct {
	key     string
	outcome request.Outcome
	// number is the number of the run whose answer the caller received.
	number            int
	invoked, returned time.Duration
}

// history records concurrent calls to a cluster.
type history struct {
	t       *testing.T
	cluster *testbed.Cluster
	start   time.Time

	mu    sync.Mutex
	calls []call
	keys  []string
}

func startHistory(t *testing.T, seed uint64) *history {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	cluster := testbed.Start(t, testbed.Options{
		Config: config, Hosts: historyHosts, Seed: seed, ListLag: time.Second,
		PlainDelay: 20 * time.Millisecond, Secret: []byte("deployment secret"),
		Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
	})
	return &history{t: t, cluster: cluster, start: time.Now()}
}

// randomNode returns a random host that is running.
func (h *history) randomNode(random *rand.Rand) *testbed.Node {
	nodes := h.cluster.Living()
	return nodes[random.IntN(len(nodes))]
}

func body(key string) string { return fmt.Sprintf(`{"for":%q}`, key) }

// book makes one call and records it.
func (h *history) book(node *testbed.Node, key string, timeout time.Duration) call {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	c := call{key: key, outcome: request.Unknown, invoked: time.Since(h.start)}
	response := node.Do(ctx, http.MethodPost, bookPath, body(key), map[string]string{
		entry.HeaderCustomer: "web-chat", entry.HeaderIdempotencyKey: key,
		entry.HeaderTimeout: fmt.Sprint(timeout.Milliseconds()),
	})
	c.returned = time.Since(h.start)
	switch response.Header().Get(entry.HeaderOutcome) {
	case request.NotRun.String():
		c.outcome = request.NotRun
	case request.Answer.String():
		var run standin.PlainRun
		require.NoError(h.t, json.Unmarshal(response.Body.Bytes(), &run))
		require.JSONEq(h.t, body(key), string(run.Echo), "answer to another call")
		c.outcome, c.number = request.Answer, run.Number
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
	return c
}

// newKey returns either a key that the caller made or a ticket from a host.
func (h *history) newKey(random *rand.Rand) string {
	key := fmt.Sprintf("%d.%d", time.Now().Unix(), random.Uint64())
	if random.IntN(2) == 0 {
		key = h.ticket(h.randomNode(random), key)
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
	response := node.Do(ctx, http.MethodGet, "/v1/hosts", "", nil)
	if json.Unmarshal(response.Body.Bytes(), &hosts) != nil || hosts.Ticket == "" {
		return fallback
	}
	return hosts.Ticket
}

// caller makes calls until a time. It repeats a call at once at a random host, and
// sometimes uses the key of another caller.
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
			if c := h.book(h.randomNode(random), key, timeout); c.outcome == request.Answer && random.IntN(2) == 0 {
				break
			}
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
	}
}

// run makes calls from several callers while the faults are injected.
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
	for _, run := range h.cluster.Store.Runs() {
		var content struct {
			For string `json:"for"`
		}
		require.NoError(h.t, json.Unmarshal(run.Echo, &content))
		runs[content.For] = append(runs[content.For], run.Number)
	}
	return runs
}

// checkCall is the model's input for a call: the call and the number of the run
// that its key actually had, 0 for none.
type checkCall struct {
	call
	actualRun int
}

// model is the sequential specification of a key. Its state is the number of the
// key's run, 0 before it. A call with the outcome "unknown" may or may not run the
// key, possibly after it returned.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		ran, c := state.(int), output.(checkCall)
		switch c.outcome {
		case request.Answer:
			if c.number != c.actualRun || (ran != 0 && ran != c.number) {
				return nil
			}
			return []any{c.number}
		case request.NotRun:
			if ran != 0 {
				return nil
			}
			return []any{0}
		default:
			if ran == 0 && c.actualRun != 0 {
				return []any{0, c.actualRun}
			}
			return []any{ran}
		}
	},
	Equal: func(a, b any) bool { return a.(int) == b.(int) },
}

const neverReturned = int64(1) << 62

// check checks the history of each key against the model: at most one run, all
// outcomes consistent with it, and not only "not run" for a key that ran.
func (h *history) check() {
	runs := h.runs()
	byKey := map[string][]porcupine.Operation{}
	for i, c := range h.calls {
		actualRun := 0
		if len(runs[c.key]) > 0 {
			actualRun = runs[c.key][0]
		}
		op := porcupine.Operation{
			ClientId: i, Call: int64(c.invoked), Return: int64(c.returned), Output: checkCall{c, actualRun},
		}
		if c.outcome == request.Unknown {
			op.Return = neverReturned
		}
		byKey[c.key] = append(byKey[c.key], op)
	}
	for key, ops := range byKey {
		require.LessOrEqual(h.t, len(runs[key]), 1, "%s ran more than once", key)
		require.True(h.t, porcupine.CheckOperations(model.ToModel(), ops), "%s: %s", key, describe(ops))
		require.False(h.t, len(runs[key]) == 1 && onlyNotRun(ops), "%s ran, but all its calls returned not run", key)
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
		fmt.Fprintf(&text, "\n%v..%v %v %d (ran %d)", c.invoked, c.returned, c.outcome, c.number, c.actualRun)
	}
	return text.String()
}

// tally counts calls by outcome; duplicates is the number of runs beyond the
// first of each key.
type tally struct {
	offered, answered, notRun, unknown, duplicates int
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
			sum.duplicates += len(numbers) - 1
		}
	}
	return sum
}
