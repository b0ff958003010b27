package poison_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/poison"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/standin"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
)

const crashingRequest = uint64(666)

// fixture is one machine that is its own coordinator.
type fixture struct {
	machine poison.Machine
	now     time.Time
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	f.machine.Init(control.Self{ID: "entry-0"})
	return f
}

func (f *fixture) attempt(id string, fingerprint uint64, started time.Time, failure *upstream.Failure) {
	f.machine.Step(f.now, control.AttemptEnded{
		Upstream: id, Service: "s", Fingerprint: fingerprint, Started: started, Failure: failure,
	})
}

// crash loses requests with an upstream and waits until the crash is evaluated.
func (f *fixture) crash(id string, lost ...uint64) {
	for _, fingerprint := range lost {
		f.attempt(id, fingerprint, f.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
	}
	f.wait()
}

// wait advances the time and ticks, so that crashes are evaluated.
func (f *fixture) wait() {
	f.now = f.now.Add(10 * time.Second)
	f.machine.Step(f.now, control.Tick{})
}

func (f *fixture) held() map[uint64]time.Time {
	var snapshot control.Snapshot
	f.machine.Publish(f.now, &snapshot)
	return snapshot.Holds
}

func TestSecondCrashHoldsOnlyTheCrashingRequest(t *testing.T) {
	f := newFixture()
	f.crash("u1", crashingRequest, 1, 2, 3)
	require.Empty(t, f.held())
	f.crash("u2", 4, 5, crashingRequest)
	require.Len(t, f.held(), 1)
	require.Contains(t, f.held(), crashingRequest)
}

// TestRequestsLostTogetherAreNotHeld checks that two requests lost in the same
// two crashes are not held, since either may be the cause. The crashing one is
// held once the other has completed and it is lost again alone.
func TestRequestsLostTogetherAreNotHeld(t *testing.T) {
	f := newFixture()
	f.crash("u1", crashingRequest, 1)
	f.crash("u2", crashingRequest, 1)
	require.Empty(t, f.held(), "either request may be the cause")
	f.attempt("u3", 1, f.now, nil)
	f.crash("u4", crashingRequest)
	require.Len(t, f.held(), 1)
	require.Contains(t, f.held(), crashingRequest)
}

func TestLossesWithoutACrashDoNotCount(t *testing.T) {
	f := newFixture()
	for i := range 6 {
		id := fmt.Sprintf("u%d", i)
		f.attempt(id, crashingRequest, f.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
		f.attempt(id, uint64(i), f.now.Add(-time.Second), nil)
		f.wait()
	}
	require.Empty(t, f.held(), "each upstream completed another request")

	f = newFixture()
	f.machine.Step(f.now, control.NoticesListed{Notices: []cloud.Notice{{HostID: "u1"}, {HostID: "u2"}}})
	f.crash("u1", crashingRequest)
	f.crash("u2", crashingRequest)
	require.Empty(t, f.held(), "the upstreams were reclaimed")
}

// TestSimultaneousRestartsHoldNoRequest guards against holding a harmless
// request that was lost with one upstream, and again when all upstreams
// restarted at once.
func TestSimultaneousRestartsHoldNoRequest(t *testing.T) {
	f := newFixture()
	f.crash("u1", 1)
	for i := range 5 {
		f.attempt(fmt.Sprintf("u%d", i+2), uint64(i+1), f.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
	}
	f.wait()
	require.Empty(t, f.held())
}

// TestOnlyTheCoordinatorHoldsRequests guards against holding a harmless request
// that was sent on while all upstreams restarted: a host that knows only its own
// losses sees one request lost in two crashes and none besides.
func TestOnlyTheCoordinatorHoldsRequests(t *testing.T) {
	ids := []string{"entry-0", "entry-1", "entry-2", "entry-3"}
	coordinator := rendezvous.First("poison/s", ids)
	withoutIt := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == coordinator })
	successor := rendezvous.First("poison/s", withoutIt)
	members := func(ids []string) control.MembersChanged {
		var in control.MembersChanged
		for _, id := range ids {
			in.Hosts = append(in.Hosts, control.EntryHost{ID: id})
		}
		return in
	}
	loseTwice := func(f *fixture) {
		for _, id := range []string{"u1", "u2"} {
			f.attempt(id, crashingRequest, f.now.Add(-time.Second), &upstream.Failure{Kind: upstream.Lost})
		}
		f.wait()
	}
	for _, self := range ids {
		f := newFixture()
		f.machine.Init(control.Self{ID: self})
		f.machine.Step(f.now, members(ids))
		f.wait()
		loseTwice(f)
		require.Equal(t, self == coordinator, len(f.held()) > 0, "%s of %s", self, coordinator)
	}

	f := newFixture()
	f.machine.Init(control.Self{ID: successor})
	f.machine.Step(f.now, members(ids))
	f.wait()
	f.machine.Step(f.now, members(withoutIt))
	loseTwice(f)
	require.Empty(t, f.held(), "other hosts may have reported to the former coordinator")
	f.crash("u3", crashingRequest)
	require.Len(t, f.held(), 1, "the losses count in later crashes")
}

// TestInterruptedStreamIsNotHeldForTwoLosses checks that a stream that is lost
// twice after its first token is not held.
func TestInterruptedStreamIsNotHeldForTwoLosses(t *testing.T) {
	f := newFixture()
	for _, id := range []string{"u1", "u2"} {
		f.machine.Step(f.now, control.AttemptEnded{
			Upstream: id, Service: "s", Fingerprint: 1, Tokens: 20, Failure: &upstream.Failure{Kind: upstream.Lost},
		})
		f.wait()
	}
	require.Empty(t, f.held())
}

func TestCompleteResponseClearsLosses(t *testing.T) {
	f := newFixture()
	f.crash("u1", 1)
	f.attempt("u2", 1, f.now, nil)
	f.crash("u3", 1)
	require.Empty(t, f.held())
}

// TestPoisonRequestIsHeldOnEveryHost sends a request that crashes engines to one
// host after another while the log is down. At most two engines may crash, all
// other requests complete, and every host rejects the request afterwards.
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
		statuses := make(chan int)
		const otherRequests = 24
		for i := range otherRequests {
			go func() { statuses <- sendRequest(bed.Nodes[i%4], fmt.Sprintf("which cake for table %d", i), 100) }()
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 12 {
			sendRequest(bed.Nodes[i%4], "please "+standin.CrashMarker, 10)
			time.Sleep(500 * time.Millisecond)
		}
		for range otherRequests {
			require.Equal(t, http.StatusOK, <-statuses)
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
			require.Equal(t, http.StatusUnprocessableEntity, sendRequest(n, "please "+standin.CrashMarker, 10))
		}
	})
}

// Scenario: prompts of which no two are alike begin with the same words, which crash the
// engines that run them, beside sound prompts with other beginnings.
func TestPromptsThatShareACrashingBeginningAreHeld(t *testing.T) {
	const beginning, maxCrashes = "you are the desk of a studio please " + standin.CrashMarker, 5 + 3
	config, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		bed := testbed.Start(t, testbed.Options{
			Config: config, Hosts: 4, Seed: 5,
			Engine: standin.EngineOptions{Between: 20 * time.Millisecond, Prefill: time.Millisecond},
		})
		defer bed.Close()
		time.Sleep(10 * time.Second)
		crashes := 0
		sound := func(i int) int {
			return sendRequest(bed.Nodes[i%4], fmt.Sprintf("you are the desk of a studio for cakes at table %d", i), 10)
		}
		for i := range 12 {
			sendRequest(bed.Nodes[i%4], fmt.Sprintf("%s for table %d", beginning, i), 10)
			for _, engine := range bed.Engines {
				if _, err := engine.Load(context.Background()); err != nil {
					crashes++
					engine.Restart()
				}
			}
			time.Sleep(2500 * time.Millisecond)
			require.Equal(t, http.StatusOK, sound(i))
		}
		require.LessOrEqual(t, crashes, maxCrashes)
		for i, n := range bed.Nodes {
			require.Equal(t, http.StatusUnprocessableEntity, sendRequest(n, fmt.Sprintf("%s for guest %d", beginning, i), 10))
			require.Equal(t, http.StatusOK, sound(i))
		}
	})
}

// TestPopularBeginningIsNotHeldForCrashes checks that prompts with a beginning that many
// share are not held while engines crash for other reasons.
func TestPopularBeginningIsNotHeldForCrashes(t *testing.T) {
	const popular = uint64(7<<16 | 0x9e37)
	attempt := func(f *fixture, id string, fingerprint uint64, failure *upstream.Failure) {
		f.machine.Step(f.now, control.AttemptEnded{
			Upstream: id, Service: "s", Fingerprint: fingerprint, Beginning: popular, Started: f.now.Add(-time.Second), Failure: failure,
		})
	}
	lost := &upstream.Failure{Kind: upstream.Lost}
	f := newFixture()
	for i := range uint64(6) {
		attempt(f, fmt.Sprint("u", i), i, lost)
		f.wait()
		attempt(f, "other", 100+i, nil)
	}
	require.Empty(t, f.held(), "sound prompts begin alike")
	f = newFixture()
	for i := range uint64(6) {
		attempt(f, fmt.Sprint("u", i), i, lost)
	}
	f.wait()
	require.Empty(t, f.held(), "all upstreams restarted at once")
	f = newFixture()
	for i := range uint64(3) {
		attempt(f, fmt.Sprint("u", i), i, lost)
		f.wait()
	}
	require.Contains(t, f.held(), popular)
}

// TestHoldReachesALateHostThroughTheLog checks that a host that starts after the
// hold was sent to the members reads it from the log.
func TestHoldReachesALateHostThroughTheLog(t *testing.T) {
	data := `{"fingerprint": 666, "until": "2030-01-01T00:00:00Z"}`
	f := newFixture()
	f.machine.Step(f.now, control.Record{Stream: logsvc.StreamHolds, Record: logsvc.Record{Data: []byte(data)}})
	require.Contains(t, f.held(), crashingRequest)
}

func sendRequest(n *testbed.Node, prompt string, tokens int) int {
	body := fmt.Sprintf(`{"prompt": %q, "maxTokens": %d}`, prompt, tokens)
	response := n.Do(context.Background(), http.MethodPost, "/v1/services/advice/routes/menu", body,
		map[string]string{"X-Customer": "web-chat"})
	return response.Code
}
