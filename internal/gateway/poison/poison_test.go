package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
)

// whole returns a request with some content and no prompt.
func whole(content uint64) poison.Request { return poison.Request{Content: poison.Trait{Key: content}} }

// crash records requests as lost at an upstream that has crashed.
func crash(table *poison.Table, upstream string, now time.Duration, contents ...uint64) {
	for _, content := range contents {
		table.RecordLoss(whole(content), upstream)
	}
	table.FinishCheck(upstream, true, now)
}

// heldUntil returns the time until which a request with some content is held, or 0.
func heldUntil(table *poison.Table, content uint64, now time.Duration) time.Duration {
	return table.Judge(whole(content), "host", []string{"host"}, now).HeldUntil
}

// exchange sends the digest entries of each table to the others.
func exchange(now time.Duration, tables ...*poison.Table) {
	for _, from := range tables {
		crashes, cleared := from.DigestEntries(now)
		for _, to := range tables {
			if to != from {
				to.MergePeer(crashes, cleared, now)
			}
		}
	}
}

func TestThreeCrashesAtThreeHostsHoldARequestAtAllHosts(t *testing.T) {
	a, b, c := poison.NewTable(), poison.NewTable(), poison.NewTable()
	for i, table := range []*poison.Table{a, b, c} {
		require.Zero(t, heldUntil(table, 1, time.Second))
		crash(table, fmt.Sprint("u", i), time.Second, 1, uint64(100+i))
		exchange(time.Second, a, b, c)
	}
	for _, table := range []*poison.Table{a, b, c} {
		require.Positive(t, heldUntil(table, 1, 2*time.Second))
		require.Zero(t, heldUntil(table, 100, 2*time.Second), "a request that was lost in one of the crashes")
	}
	require.Zero(t, heldUntil(a, 1, 10*time.Minute), "the hold ends")
}

func TestLossesAtLiveUpstreamsDoNotCount(t *testing.T) {
	table := poison.NewTable()
	for i := range 10 {
		upstream := fmt.Sprint("u", i)
		require.True(t, table.RecordLoss(whole(1), upstream))
		require.False(t, table.RecordLoss(whole(2), upstream), "one check is enough")
		lost, held := table.FinishCheck(upstream, false, time.Second)
		require.Equal(t, 2, lost)
		require.Empty(t, held)
	}
	require.Zero(t, heldUntil(table, 1, time.Second))
	require.False(t, table.Any())
}

func TestRepeatedLossesAtOneUpstreamAreOneCrash(t *testing.T) {
	table := poison.NewTable()
	for range 5 {
		crash(table, "u", time.Second, 1)
	}
	require.Zero(t, heldUntil(table, 1, time.Second))
}

// Scenario: upstreams crash repeatedly for other reasons while they run a request
// that many callers send.
func TestResponseClearsARequestAtAllHosts(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	crash(a, "u1", time.Second, 1)
	crash(a, "u2", time.Second, 1)
	exchange(time.Second, a, b)
	b.RecordResponse(whole(1), 2*time.Second)
	exchange(2*time.Second, a, b)
	exchange(2*time.Second, a, b)
	crash(a, "u3", 3*time.Second, 1)
	exchange(3*time.Second, a, b)
	require.Zero(t, heldUntil(a, 1, 3*time.Second))
	require.Zero(t, heldUntil(b, 1, 3*time.Second))
}

func TestHoldsLastFromTheThirdLastCrash(t *testing.T) {
	table := poison.NewTable()
	for i := range 3 {
		crash(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Minute, 1)
	}
	until := heldUntil(table, 1, 3*time.Minute)
	require.Equal(t, 6*time.Minute, until)
	require.Positive(t, heldUntil(table, 1, until-time.Second))
	require.Zero(t, heldUntil(table, 1, until))
}

// Guards against a crash that never expires since peers send it back to one another
// with a younger age.
func TestExchangedCrashesExpire(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	for i := range 3 {
		crash(a, fmt.Sprint("u", i), time.Second, 1)
	}
	for now := time.Second; now < 6*time.Minute; now += time.Second {
		exchange(now, a, b)
	}
	require.False(t, a.Any())
	require.False(t, b.Any())
}

// Invariant: in any order of requests, crashes and digests, the requests that are held
// are those that were lost in three crashes since their last response at any host.
func TestOnlyRequestsWithoutAResponseAreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*poison.Table{poison.NewTable(), poison.NewTable(), poison.NewTable()}
		crashed := map[uint64]map[string]bool{}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Second
			table := tables[rapid.IntRange(0, 2).Draw(t, "host")]
			request := rapid.Uint64Range(1, 3).Draw(t, "request")
			if rapid.Bool().Draw(t, "answered") {
				table.RecordResponse(whole(request), now)
				delete(crashed, request)
			} else {
				upstream := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "upstream"))
				crash(table, upstream, now, request)
				if crashed[request] == nil {
					crashed[request] = map[string]bool{}
				}
				crashed[request][upstream] = true
			}
			// Digests are received before the next step, a second later.
			exchange(now, tables...)
			for request := range uint64(4) {
				for _, table := range tables {
					if heldUntil(table, request, now) > 0 {
						require.GreaterOrEqual(t, len(crashed[request]), 3)
					}
				}
			}
		}
		exchange(now, tables...)
		for request, upstreams := range crashed {
			for _, table := range tables {
				require.Equal(t, len(upstreams) >= 3, heldUntil(table, request, now) > 0)
			}
		}
	})
}

// Scenario: engines crash with hundreds of requests, most of which are never sent
// again. Digests to ninety hosts have no room to list them for minutes.
func TestCrashesAreSentWhileTheyAreRecent(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	for request := range uint64(200) {
		crash(a, "u", time.Second, request)
	}
	crashes, _ := a.DigestEntries(2 * time.Second)
	require.Len(t, crashes, 32)
	for now := time.Second; now < 20*time.Second; now += time.Second {
		exchange(now, a, b)
	}
	for _, table := range []*poison.Table{a, b} {
		crashes, cleared := table.DigestEntries(20 * time.Second)
		require.Empty(t, crashes)
		require.Empty(t, cleared)
	}
	require.True(t, b.Any(), "peers keep the crashes")
}

func TestHoldsAreSentToNewHosts(t *testing.T) {
	a := poison.NewTable()
	for i := range 3 {
		crash(a, fmt.Sprint("u", i), time.Second, 1)
	}
	late := poison.NewTable()
	exchange(2*time.Minute, a, late)
	require.Positive(t, heldUntil(late, 1, 2*time.Minute))
}

func TestContentDistinguishesRequests(t *testing.T) {
	base := poison.Content("POST", "/a/", "c", []byte("body"))
	for _, other := range []poison.Trait{
		poison.Content("GET", "/a/", "c", []byte("body")), poison.Content("POST", "/a/b", "c", []byte("body")),
		poison.Content("POST", "/a/", "d", []byte("body")), poison.Content("POST", "/a/", "c", []byte("bodyx")),
		poison.Content("POST", "/a/c", "", []byte("body")),
	} {
		require.NotEqual(t, base, other)
	}
}
