package upstreams

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

var start = time.Unix(1000, 0)

const tick = 200 * time.Millisecond

// newMachine returns the machine of a deployment with one entry host.
func newMachine(t *testing.T) (*Machine, *document.Document) {
	t.Helper()
	config, err := deploy.Config("fundacion")
	require.NoError(t, err)
	doc, err := document.Parse(config)
	require.NoError(t, err)
	m := &Machine{}
	m.Init(control.Self{ID: "entry-0", Zone: "gt-a", Region: "gt-central"})
	m.Step(start, control.Configured{Document: doc})
	m.Step(start, control.HostsListed{List: hostlist.List{Hosts: upstreamHosts(doc)}})
	return m, doc
}

func upstreamHosts(doc *document.Document) []hostlist.Host {
	var hosts []hostlist.Host
	for i := range 12 {
		hosts = append(hosts, hostlist.Host{
			ID: fmt.Sprint("assistant-", i), Role: hostlist.RoleUpstream, Class: document.Reclaimable,
			Zone: doc.AvailabilityZones[i%4].Name, Service: "assistant", Version: "v1",
		})
	}
	return hosts
}

// run ticks a machine and responds to its polls with the load of an idle engine.
func run(m *Machine, now time.Time, duration time.Duration) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(tick) {
		for _, out := range m.Step(now, control.Tick{}) {
			if poll, ok := out.(control.PollUpstream); ok {
				m.Step(now, control.LoadReported{Upstream: poll.Upstream, Load: engine.Load{AsOf: now}})
			}
		}
	}
	return now
}

func published(m *Machine, now time.Time) map[string]*control.Upstream {
	var next control.Snapshot
	m.Publish(now, &next)
	byID := map[string]*control.Upstream{}
	for _, u := range next.Upstreams["assistant"] {
		byID[u.ID] = u
	}
	return byID
}

func TestSingleHostGetsWholeColdLimit(t *testing.T) {
	m, _ := newMachine(t)
	now := run(m, start, 4*time.Second)
	upstreams := published(m, now)
	require.Len(t, upstreams, 12)
	for _, u := range upstreams {
		require.Equal(t, 2, u.LimitAt(now))
		require.True(t, u.Cold)
		require.Zero(t, u.LimitAt(now.Add(3*time.Second)), "credits expire")
	}
}

func TestExcludedZoneMakesUpstreamsUnavailable(t *testing.T) {
	m, doc := newMachine(t)
	now := run(m, start, 4*time.Second)
	changed := *doc
	changed.AvailabilityZones = append([]document.AvailabilityZone(nil), doc.AvailabilityZones...)
	changed.AvailabilityZones[1].State = document.ZoneExcluded
	m.Step(now, control.Configured{Document: &changed})
	for id, u := range published(m, now) {
		require.Equal(t, u.Zone != "gt-b", u.Available, id)
	}
}

func TestPublishKeepsUnchangedUpstreams(t *testing.T) {
	m, _ := newMachine(t)
	now := run(m, start, 4*time.Second)
	before := published(m, now)
	m.Step(now, control.AttemptEnded{Upstream: "assistant-1", Service: "assistant", Took: time.Second})
	after := published(m, now)
	for id := range before {
		require.Same(t, before[id], after[id])
	}
}

func TestConsecutiveFailuresOpenBreaker(t *testing.T) {
	m, _ := newMachine(t)
	now := run(m, start, 4*time.Second)
	failure := &upstream.Failure{Kind: upstream.NotSent, Err: errors.New("no route")}
	for range tripFailures {
		m.Step(now, control.AttemptEnded{Upstream: "assistant-3", Service: "assistant", Failure: failure})
	}
	require.False(t, published(m, now)["assistant-3"].Available)
	require.True(t, published(m, now)["assistant-4"].Available)
	now = run(m, now, tripTime+tick)
	require.True(t, published(m, now)["assistant-3"].Available)
}

func TestBadVersionDoesNotLimitUpstreams(t *testing.T) {
	m, _ := newMachine(t)
	now := run(m, start, 4*time.Second)
	fault := &upstream.Failure{Kind: upstream.Faulted, Err: errors.New("status 500")}
	for i := range 120 {
		m.Step(now, control.AttemptEnded{Upstream: fmt.Sprint("assistant-", i%12), Service: "assistant", Failure: fault})
	}
	now = run(m, now, 20*time.Second)
	limited := 0
	for _, u := range published(m, now) {
		if !u.Available || u.LimitAt(now) == 0 {
			limited++
		}
	}
	require.Zero(t, limited)
}

func TestUpstreamWithoutLoadReportsGetsNoLimit(t *testing.T) {
	m, _ := newMachine(t)
	now := run(m, start, 4*time.Second)
	for range 2 {
		m.Step(now, control.LoadReported{Upstream: "assistant-5", Err: errors.New("timeout")})
	}
	now = now.Add(shortTiming.request)
	m.Step(now, control.Tick{})
	require.Zero(t, published(m, now)["assistant-5"].LimitAt(now))
	require.Equal(t, 2, published(m, now)["assistant-6"].LimitAt(now))
}
