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
	faultTime  = 700 * time.Millisecond
	hostNotice = 4 * time.Second
)

// schedule is one run with callers and faults, all drawn from a seed.
type schedule struct {
	*testing.T
	bed  *testbed.Cluster
	rand *rand.Rand
	work sync.WaitGroup
	// left is the number of hosts that were told to leave.
	left int
	// cold tells that all upstreams were restarted: they bear so little then
	// that accepted requests may be refused as not run.
	cold atomic.Bool
}

// fault is something that goes wrong while callers are served.
type fault struct {
	name   string
	strike func(s *schedule)
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
		for _, e := range s.bed.Engines {
			e.Kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, e := range s.bed.Engines {
			e.Restart()
		}
	}},
	{"host stops", func(s *schedule) {
		n := s.leaver()
		s.work.Go(func() { require.NoError(s, n.Stop(context.Background())) })
	}},
	{"host reclaimed", func(s *schedule) {
		n := s.leaver()
		s.bed.Cloud.Notify(cloud.Notice{HostID: n.Self().ID, Deadline: time.Now().Add(hostNotice)})
		s.work.Go(func() {
			time.Sleep(hostNotice)
			n.Kill()
		})
	}},
	{"list stale", func(s *schedule) { s.bed.List.SetDown(true) }},
	{"link cut", func(s *schedule) {
		from := s.rand.IntN(entryHosts)
		to := (from + 1 + s.rand.IntN(entryHosts-1)) % entryHosts
		s.bed.SetPartition(s.bed.Nodes[from].Self().ID, s.bed.Nodes[to].Self().ID, true)
	}},
}

// reclaim gives notice and takes the engine away at its deadline.
func (s *schedule) reclaim(id string, notice time.Duration) {
	s.bed.Cloud.Notify(cloud.Notice{HostID: id, Deadline: time.Now().Add(notice)})
	time.AfterFunc(notice, func() { s.bed.Engines[id].Kill() })
}

func (s *schedule) engineIDs() []string {
	ids := make([]string, 0, len(s.bed.Engines))
	for i := range len(s.bed.Engines) {
		ids = append(ids, fmt.Sprintf("advice-%d", i))
	}
	return ids
}

func (s *schedule) engine() *standin.Engine {
	ids := s.engineIDs()
	return s.bed.Engines[ids[s.rand.IntN(len(ids))]]
}

// leaver returns the next host that is to leave.
func (s *schedule) leaver() *testbed.Node {
	s.left++
	return s.bed.Nodes[s.left]
}

// run serves callers while the faults strike and checks each answer.
func run(t *testing.T, seed uint64, strikes ...fault) {
	synctest.Test(t, func(t *testing.T) {
		config, err := deploy.Config("chomkaew")
		require.NoError(t, err)
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: entryHosts, Seed: seed,
			Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
		})
		defer bed.Close()
		s := &schedule{T: t, bed: bed, rand: rand.New(rand.NewPCG(seed, 5))}
		for i := range callers {
			s.work.Go(func() { s.call(seed*1000+uint64(i), i) })
		}
		for _, f := range strikes {
			time.Sleep(time.Duration(s.rand.Int64N(int64(faultTime))))
			f.strike(s)
		}
		s.work.Wait()
	})
}

// call asks one question and checks that its own whole answer comes back.
func (s *schedule) call(seed uint64, i int) {
	draw := rand.New(rand.NewPCG(seed, 6))
	time.Sleep(time.Duration(draw.Int64N(int64(faultTime))))
	q := testbed.Query{
		Customer: "web-chat", Service: "advice", Route: "notes",
		Prompt: fmt.Sprintf("question %d of seed %d about cakes that travel well in the heat", i, seed), MaxTokens: tokens,
	}
	if draw.IntN(3) == 0 {
		q.DropShare = 0.02
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	reply := s.bed.Send(ctx, seed, s.bed.Nodes[draw.IntN(entryHosts)], q)
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
