package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

var start = time.Unix(1000, 0)

func upstreams(count, limit int) []*control.Upstream {
	list := make([]*control.Upstream, count)
	for i := range list {
		list[i] = &control.Upstream{ID: fmt.Sprint("u", i), Service: "s", Version: "v1", Available: true, Limit: limit}
	}
	return list
}

func snapshot(list []*control.Upstream) *control.Snapshot {
	return &control.Snapshot{
		Document: &document.Document{
			Services: []document.Service{{Name: "s", Routes: []document.Route{{Name: "r", FirstToken: jsonc.Duration(time.Second)}}}},
			Customers: []document.Customer{
				{Name: "large", Share: 1}, {Name: "small", Share: 1},
			},
		},
		Upstreams: map[string][]*control.Upstream{"s": list},
		Shares:    map[control.RouteKey][]control.VersionShare{{Service: "s", Route: "r"}: {{Version: "v1", Share: 1}}},
	}
}

func query(customer string, class document.Class) Query {
	return Query{Service: "s", Route: "r", Customer: customer, Class: class, Cost: 10, Deadline: start.Add(time.Minute)}
}

func end(u *control.Upstream, customer string, class document.Class, started time.Time) Ended {
	return Ended{Service: "s", Upstream: u.ID, Customer: customer, Class: class, Cost: 10, Started: started}
}

// TestLimitsHold makes random calls to the core and checks that no upstream is
// assigned more requests than its limit and that no request is lost or ended
// twice.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := NewCore(rapid.Uint64().Draw(t, "seed"))
		list := upstreams(rapid.IntRange(1, 12).Draw(t, "upstreams"), 2)
		now := start
		core.Update(now, snapshot(list))
		waiting := map[uint64]bool{}
		var running []Ended
		inFlight := map[string]int{}
		take := func(out []Assignment) {
			for _, a := range out {
				require.True(t, waiting[a.ID], "ended twice")
				delete(waiting, a.ID)
				if a.Err != nil {
					continue
				}
				inFlight[a.Upstream.ID]++
				require.LessOrEqual(t, inFlight[a.Upstream.ID], a.Upstream.LimitAt(now))
				require.True(t, a.Upstream.Available)
				running = append(running, end(a.Upstream, "small", document.ClassBatch, now))
			}
		}
		for id := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				waiting[id] = true
				take(core.Arrive(now, id, query("small", document.ClassBatch)))
			case 2:
				if len(running) > 0 {
					e := running[0]
					running = running[1:]
					inFlight[e.Upstream]--
					take(core.Release(now, e))
				}
			case 3:
				take(core.Tick(now))
			default:
				list = upstreams(len(list), rapid.IntRange(0, 4).Draw(t, "limit"))
				list[0].Available = rapid.Bool().Draw(t, "open")
				for _, u := range list {
					u.LimitUntil = now.Add(time.Second)
				}
				take(core.Update(now, snapshot(list)))
			}
			require.Equal(t, len(waiting), core.Waiting())
		}
	})
}

func TestFloodDoesNotStarveASmallCustomer(t *testing.T) {
	core := NewCore(1)
	list := upstreams(2, 2)
	core.Update(start, snapshot(list))
	now := start
	var running []Ended
	ended := map[bool]int{}
	take := func(out []Assignment) {
		for _, a := range out {
			if a.Err == nil {
				customer := "large"
				if a.ID%2 == 0 {
					customer = "small"
				}
				running = append(running, end(a.Upstream, customer, document.ClassInteractive, now))
				ended[a.ID%2 == 0]++
			}
		}
	}
	for i := range uint64(400) {
		customer := "large"
		if i >= 360 {
			customer = "small"
		}
		id := i * 2
		if customer == "large" {
			id++
		}
		take(core.Arrive(now, id, query(customer, document.ClassInteractive)))
	}
	clear(ended)
	for range 80 {
		now = now.Add(10 * time.Millisecond)
		e := running[0]
		running = running[1:]
		take(core.Release(now, e))
	}
	require.InDelta(t, 40, ended[true], 2, "small customer's share of %v", ended)
}

func TestBatchLeavesSlotsForInteractive(t *testing.T) {
	core := NewCore(1)
	list := upstreams(5, 2)
	core.Update(start, snapshot(list))
	for id := range uint64(4) {
		require.Len(t, core.Arrive(start, id, query("small", document.ClassInteractive)), 1)
	}
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		core.Tick(now)
	}
	started := 0
	for id := range uint64(20) {
		started += len(core.Arrive(now, 100+id, query("large", document.ClassBatch)))
	}
	require.Equal(t, 5, started, "4 interactive requests need 5 of 10 slots with headroom")
	require.Len(t, core.Arrive(now, 50, query("small", document.ClassInteractive)), 1)
}

func TestBatchIsServedWhileInteractiveNeedsEverySlot(t *testing.T) {
	core := NewCore(1)
	list := upstreams(5, 2)
	core.Update(start, snapshot(list))
	now := start
	var running []Ended
	batchStarts := 0
	take := func(out []Assignment) {
		for _, a := range out {
			if a.Err != nil {
				continue
			}
			class, customer := document.ClassInteractive, "small"
			if a.ID >= 1000 {
				class, customer = document.ClassBatch, "large"
				batchStarts++
			}
			running = append(running, end(a.Upstream, customer, class, now))
		}
	}
	for id := range uint64(10) {
		take(core.Arrive(now, 1000+id, query("large", document.ClassBatch)))
	}
	batchStarts = 0
	for id := range uint64(400) {
		now = now.Add(100 * time.Millisecond)
		take(core.Arrive(now, id, query("small", document.ClassInteractive)))
		e := running[0]
		running = running[1:]
		take(core.Release(now, e))
		if id%10 == 0 {
			take(core.Arrive(now, 2000+id, query("large", document.ClassBatch)))
		}
	}
	require.Positive(t, batchStarts)
}

func TestRequestThatWouldMissItsDeadlineIsRejectedOnArrival(t *testing.T) {
	core := NewCore(1)
	list := upstreams(1, 1)
	core.Update(start, snapshot(list))
	q := query("small", document.ClassInteractive)
	q.Deadline = start.Add(time.Hour)
	core.Arrive(start, 1, q)
	now := start.Add(10 * time.Second)
	require.Empty(t, core.Release(now, end(list[0], "small", document.ClassInteractive, start)))
	var out []Assignment
	for id := range uint64(8) {
		q.Deadline = now.Add(25 * time.Second)
		out = append(out, core.Arrive(now, 2+id, q)...)
	}
	require.Nil(t, out[0].Err)
	var overload *OverloadError
	require.ErrorAs(t, out[1].Err, &overload)
	require.Positive(t, overload.RetryAfter)
}

// Guards against rejecting requests that can be served in time when a burst of
// sixteen reaches a cold fleet of 18 slots: this host has one slot so far, but its
// share is four.
func TestRequestsWaitForShareUsedByOtherHosts(t *testing.T) {
	const duration = 5 * time.Second
	core := NewCore(1)
	list := upstreams(9, 0)
	for _, u := range list {
		u.Capacity, u.Owners = 2, 4
	}
	list[0].Limit = 1
	core.Update(start, snapshot(list))
	q := query("small", document.ClassStandard)
	core.Arrive(start, 1, q)
	now := start.Add(duration)
	core.Release(now, end(list[0], "small", document.ClassStandard, start))
	q.Deadline = now.Add(30 * time.Second)
	for id := range uint64(8) {
		for _, a := range core.Arrive(now, 2+id, q) {
			require.NoError(t, a.Err, "request %d", id)
		}
	}
	// An unavailable upstream does not count as a share to wait for.
	unavailable := upstreams(9, 0)
	unavailable[0].Limit = 1
	for _, u := range unavailable {
		u.Capacity, u.Owners, u.Available = 2, 4, false
	}
	core.Update(now, snapshot(unavailable))
	out := core.Arrive(now, 20, q)
	var overload *OverloadError
	require.ErrorAs(t, out[0].Err, &overload)
}

func TestNoAssignmentToUnavailableUpstream(t *testing.T) {
	core := NewCore(1)
	list := upstreams(2, 8)
	core.Update(start, snapshot(list))
	list = upstreams(2, 8)
	list[1].Available = false
	core.Update(start, snapshot(list))
	for id := range uint64(8) {
		for _, a := range core.Arrive(start, id, query("small", document.ClassStandard)) {
			require.Equal(t, "u0", a.Upstream.ID)
		}
	}
}

func TestPrefixReturnsToItsUpstream(t *testing.T) {
	core := NewCore(1)
	core.Update(start, snapshot(upstreams(12, 4)))
	q := query("small", document.ClassInteractive)
	used := map[string]int{}
	for id := range uint64(40) {
		q.Prefix = 1 + id%4
		a := core.Arrive(start, id, q)[0]
		used[fmt.Sprint(q.Prefix, a.Upstream.ID)]++
		core.Release(start.Add(time.Second), end(a.Upstream, "small", document.ClassInteractive, start))
	}
	require.Len(t, used, 4)
}

func TestLimitFallsToFloorWhenItExpires(t *testing.T) {
	u := &control.Upstream{Limit: 4, LimitUntil: start, Floor: 1}
	require.Equal(t, 4, u.LimitAt(start.Add(-time.Millisecond)))
	require.Equal(t, 1, u.LimitAt(start))
}

// rolloutSnapshot returns a snapshot in which 99% of requests go to v2, which is
// in rollout and has one upstream.
func rolloutSnapshot(list []*control.Upstream) *control.Snapshot {
	s := snapshot(list)
	list[0].Version = "v2"
	s.Shares[control.RouteKey{Service: "s", Route: "r"}] = []control.VersionShare{
		{Version: "v1", Share: 0.01}, {Version: "v2", Share: 0.99},
	}
	s.Rollouts = []control.Rollout{{Service: "s", Version: "v2", Phase: control.RolloutInProgress}}
	return s
}

func TestRequestFallsBackWhenNewVersionIsFull(t *testing.T) {
	core := NewCore(1)
	list := upstreams(3, 4)
	core.Update(start, rolloutSnapshot(list))
	for id := range uint64(12) {
		require.Len(t, core.Arrive(start, id, query("small", document.ClassStandard)), 1, "request %d waits", id)
	}
}

func TestRetryFallsBackWhenUpstreamsOfNewVersionFailed(t *testing.T) {
	core := NewCore(1)
	list := upstreams(3, 40)
	core.Update(start, rolloutSnapshot(list))
	for id := range uint64(40) {
		q := query("small", document.ClassStandard)
		q.Exclude = map[string]bool{list[0].ID: true}
		out := core.Arrive(start, id, q)
		require.Len(t, out, 1)
		require.Equal(t, "v1", out[0].Upstream.Version)
	}
}
