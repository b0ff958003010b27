package poison_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/poison"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const crasher = uint64(666)

// bench is one machine that is its own coordinator.
type bench struct {
	machine poison.Machine
	now     time.Time
}

func newBench() *bench {
	b := &bench{now: time.Unix(1_800_000_000, 0)}
	b.machine.Init(control.Self{ID: "entry-0"})
	return b
}

func (b *bench) attempt(id string, fingerprint uint64, started time.Time, failure *upstream.Failure) {
	b.machine.Step(b.now, control.AttemptEnded{
		Upstream: id, Service: "s", Fingerprint: fingerprint, Started: started, Failure: failure,
	})
}

// crash loses requests with an upstream.
func (b *bench) crash(id string, lost ...uint64) {
	for _, fingerprint := range lost {
		b.attempt(id, fingerprint, b.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
	}
	b.wait()
}

// wait lets the losses of a crash be evaluated.
func (b *bench) wait() {
	b.now = b.now.Add(10 * time.Second)
	b.machine.Step(b.now, control.Tick{})
}

func (b *bench) held() map[uint64]time.Time {
	var snapshot control.Snapshot
	b.machine.Publish(b.now, &snapshot)
	return snapshot.Holds
}

func TestSecondCrashHoldsTheRequestAndNoNeighbour(t *testing.T) {
	b := newBench()
	b.crash("u1", crasher, 1, 2, 3)
	require.Empty(t, b.held())
	b.crash("u2", 4, 5, crasher)
	require.Len(t, b.held(), 1)
	require.Contains(t, b.held(), crasher)
}

// TestRequestsLostTogetherAreNotHeld retries a neighbour at the same
// upstreams as the crashing request; only the first is lost again alone.
func TestRequestsLostTogetherAreNotHeld(t *testing.T) {
	b := newBench()
	b.crash("u1", crasher, 1)
	b.crash("u2", crasher, 1)
	require.Empty(t, b.held(), "both are as suspect")
	b.attempt("u3", 1, b.now, nil)
	b.crash("u4", crasher)
	require.Len(t, b.held(), 1)
	require.Contains(t, b.held(), crasher)
}

func TestLossesThatAreNoCrashDoNotCount(t *testing.T) {
	b := newBench()
	for i := range 6 {
		id := fmt.Sprintf("u%d", i)
		b.attempt(id, crasher, b.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
		b.attempt(id, uint64(i), b.now.Add(-time.Second), nil)
		b.wait()
	}
	require.Empty(t, b.held(), "each upstream went on with another request")

	b = newBench()
	b.machine.Step(b.now, control.NoticesListed{Notices: []cloud.Notice{{HostID: "u1"}, {HostID: "u2"}}})
	b.crash("u1", crasher)
	b.crash("u2", crasher)
	require.Empty(t, b.held(), "the upstreams were reclaimed")
}

// TestUpstreamsThatRestartTogetherBlameNoRequest loses a request with one
// upstream, and again when all upstreams restart at once.
func TestUpstreamsThatRestartTogetherBlameNoRequest(t *testing.T) {
	b := newBench()
	b.crash("u1", 1)
	for i := range 5 {
		b.attempt(fmt.Sprintf("u%d", i+2), uint64(i+1), b.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
	}
	b.wait()
	require.Empty(t, b.held())
}

// TestInterruptedStreamIsNotHeldForTwoLosses loses a stream twice after tokens.
func TestInterruptedStreamIsNotHeldForTwoLosses(t *testing.T) {
	b := newBench()
	for _, id := range []string{"u1", "u2"} {
		b.machine.Step(b.now, control.AttemptEnded{
			Upstream: id, Service: "s", Fingerprint: 1, Tokens: 20, Failure: &upstream.Failure{Kind: upstream.Lost},
		})
		b.wait()
	}
	require.Empty(t, b.held())
}

func TestAnswerClears(t *testing.T) {
	b := newBench()
	b.crash("u1", 1)
	b.attempt("u2", 1, b.now, nil)
	b.crash("u3", 1)
	require.Empty(t, b.held())
}

// TestPoisonRequestIsHeldOnEveryHost sends a request that kills engines to one
// host after another, beside other requests.
func TestPoisonRequestIsHeldOnEveryHost(t *testing.T) {
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 4, Seed: 5,
			Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
		})
		defer bed.Close()
		time.Sleep(10 * time.Second)
		bed.Log.SetDown(true)
		answers := make(chan int)
		const neighbours = 24
		for i := range neighbours {
			go func() { answers <- ask(bed.Nodes[i%4], fmt.Sprintf("which cake for table %d", i), 100) }()
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 12 {
			ask(bed.Nodes[i%4], "please "+standin.CrashMarker, 10)
			time.Sleep(500 * time.Millisecond)
		}
		for range neighbours {
			require.Equal(t, http.StatusOK, <-answers)
		}
		dead := 0
		for _, engine := range bed.Engines {
			if _, err := engine.Load(context.Background()); err != nil {
				dead++
			}
		}
		require.LessOrEqual(t, dead, 2, "engines crashed")
		fingerprint := request.Fingerprint("advice", "menu", "please "+standin.CrashMarker, nil)
		for _, n := range bed.Nodes {
			require.Contains(t, n.Loop().Snapshot().Holds, fingerprint)
			require.Equal(t, http.StatusUnprocessableEntity, ask(n, "please "+standin.CrashMarker, 10))
		}
	})
}

// TestHoldReachesALateHostThroughTheLog starts a host after the decision.
func TestHoldReachesALateHostThroughTheLog(t *testing.T) {
	data := `{"fingerprint": 666, "until": "2030-01-01T00:00:00Z"}`
	b := newBench()
	b.machine.Step(b.now, control.Record{Stream: logsvc.StreamHolds, Record: logsvc.Record{Data: []byte(data)}})
	require.Contains(t, b.held(), crasher)
}

func ask(n *testbed.Node, prompt string, tokens int) int {
	body := fmt.Sprintf(`{"prompt": %q, "maxTokens": %d}`, prompt, tokens)
	answer := n.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu", body,
		map[string]string{"X-Customer": "web-chat"})
	return answer.Code
}
