package survive_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	entryHosts = 4
	callers    = 16
	tokens     = 250
	// maxDelay bounds the random delay before a request and before a fault.
	maxDelay      = 700 * time.Millisecond
	reclaimNotice = 4 * time.Second
)

// schedule is one run with callers and faults, drawn from a seed.
type schedule struct {
	*testing.T
	cluster *testbed.Cluster
	rand    *rand.Rand
	wg      sync.WaitGroup
	// leaving is the number of hosts that a fault stopped or reclaimed.
	leaving int
	// cold is set when all upstreams were restarted: hosts then treat them as in
	// their cold start and send them so few requests that accepted ones may end
	// without having run.
	cold atomic.Bool
}

// fault is a failure that is injected while callers are served.
type fault struct {
	name   string
	inject func(s *schedule)
}

var faults = []fault{
	{"none", func(*schedule) {}},
	{"upstream dies", func(s *schedule) { s.engine().Kill() }},
	{"upstreams reclaimed", func(s *schedule) {
		for i, id := range s.engineIDs() {
			if i%4 == 1 {
				s.reclaim(id, 4*time.Second)
			}
		}
	}},
	{"all upstreams restart", func(s *schedule) {
		s.cold.Store(true)
		for _, e := range s.cluster.Engines {
			e.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, e := range s.cluster.Engines {
			e.Restart()
		}
	}},
	{"host stops", func(s *schedule) {
		n := s.nextLeaving()
		s.wg.Go(func() { require.NoError(s, n.Stop(context.Background())) })
	}},
	{"host reclaimed", func(s *schedule) {
		n := s.nextLeaving()
		s.cluster.Cloud.Notify(cloud.Notice{HostID: n.Self().ID, Deadline: time.Now().Add(reclaimNotice)})
		s.wg.Go(func() {
			time.Sleep(reclaimNotice)
			n.Kill()
		})
	}},
	{"list stale", func(s *schedule) { s.cluster.List.SetDown(true) }},
	{"link cut", func(s *schedule) {
		from := s.rand.IntN(entryHosts)
		to := (from + 1 + s.rand.IntN(entryHosts-1)) % entryHosts
		s.cluster.SetPartition(s.cluster.Nodes[from].Self().ID, s.cluster.Nodes[to].Self().ID, true)
	}},
}

// reclaim issues a reclaim notice and kills the engine at its deadline.
func (s *schedule) reclaim(id string, notice time.Duration) {
	s.cluster.Cloud.Notify(cloud.Notice{HostID: id, Deadline: time.Now().Add(notice)})
	time.AfterFunc(notice, func() { s.cluster.Engines[id].Kill() })
}

func (s *schedule) engineIDs() []string {
	ids := make([]string, 0, len(s.cluster.Engines))
	for i := range len(s.cluster.Engines) {
		ids = append(ids, fmt.Sprintf("advice-%d", i))
	}
	return ids
}

func (s *schedule) engine() *standin.Engine {
	ids := s.engineIDs()
	return s.cluster.Engines[ids[s.rand.IntN(len(ids))]]
}

// nextLeaving returns the next host to stop or reclaim.
func (s *schedule) nextLeaving() *testbed.Node {
	s.leaving++
	return s.cluster.Nodes[s.leaving]
}

// run serves callers while it injects the faults; call checks each response.
func run(t *testing.T, seed uint64, injected ...fault) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		cluster := testbed.Start(t, testbed.Options{
			Config: config, Hosts: entryHosts, Seed: seed,
			Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
		})
		defer cluster.Close()
		s := &schedule{T: t, cluster: cluster, rand: rand.New(rand.NewPCG(seed, 5))}
		for i := range callers {
			s.wg.Go(func() { s.call(seed*1000+uint64(i), i) })
		}
		for _, f := range injected {
			time.Sleep(time.Duration(s.rand.Int64N(int64(maxDelay))))
			f.inject(s)
		}
		s.wg.Wait()
	})
}

// call sends one request and checks that its own complete response is received
// and, unless all upstreams were restarted, that it did not have to be sent again
// after it was accepted.
func (s *schedule) call(seed uint64, i int) {
	rng := rand.New(rand.NewPCG(seed, 6))
	time.Sleep(time.Duration(rng.Int64N(int64(maxDelay))))
	q := testbed.Query{
		Customer: "web-chat", Service: "advice", Route: "notes",
		Prompt: fmt.Sprintf("question %d of seed %d about cakes that travel well in the heat", i, seed), MaxTokens: tokens,
	}
	if rng.IntN(3) == 0 {
		q.DropShare = 0.02
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	reply := s.cluster.Send(ctx, seed, s.cluster.Nodes[rng.IntN(entryHosts)], q)
	if reply.Outcome != request.Answer.String() || reply.StreamError != "" {
		s.Errorf("call %d of seed %d: id %q, outcome %q, reason %q, %d tokens, %d reconnects, %d refusals, %s", i, seed,
			reply.ID, reply.Outcome, reply.Reason, len(reply.Tokens), reply.Reconnects, reply.Resubmissions, reply.StreamError)
		return
	}
	if reply.Resubmissions > 0 && !s.cold.Load() {
		s.Errorf("call %d: refused %d times after it was accepted", i, reply.Resubmissions)
	}
	want := standin.Answer(q.Prompt, tokens)
	for j := range want {
		if j >= len(reply.Tokens) || reply.Tokens[j] != want[j] {
			s.Errorf("call %d: token %d is not of its answer", i, j)
			return
		}
	}
}

func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("SURVIVE_SEEDS")); err == nil {
		return uint64(n)
	}
	return 4
}

func TestAnswersAreWholeUnderFaults(t *testing.T) {
	for i, first := range faults {
		for _, second := range faults[i:] {
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				for seed := range seeds() {
					run(t, seed, first, second)
				}
			})
		}
	}
}
