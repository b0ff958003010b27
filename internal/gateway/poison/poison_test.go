package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
)

// crash loses requests at an upstream, which then takes no connections.
func crash(table *poison.Table, upstream string, now time.Duration, requests ...uint64) []uint64 {
	for _, request := range requests {
		table.RecordLoss(request, upstream)
	}
	_, held := table.FinishCheck(upstream, true, now)
	return held
}

// share tells each table what the others know.
func share(now time.Duration, tables ...*poison.Table) {
	for _, from := range tables {
		crashes, cleared := from.DigestEntries(now)
		for _, to := range tables {
			if to != from {
				to.MergePeer(crashes, cleared, now)
			}
		}
	}
}

func TestThreeCrashesAtThreeHostsHoldARequestBackEverywhere(t *testing.T) {
	a, b, c := poison.NewTable(), poison.NewTable(), poison.NewTable()
	for i, table := range []*poison.Table{a, b, c} {
		require.Zero(t, table.HeldUntil(1, time.Second))
		crash(table, fmt.Sprint("u", i), time.Second, 1, uint64(100+i))
		share(time.Second, a, b, c)
	}
	for _, table := range []*poison.Table{a, b, c} {
		require.Positive(t, table.HeldUntil(1, 2*time.Second))
		require.Zero(t, table.HeldUntil(100, 2*time.Second), "a request beside it in one crash")
	}
	require.Zero(t, a.HeldUntil(1, 10*time.Minute), "the hold ends")
}

func TestLossesAtSoundUpstreamsDoNotCount(t *testing.T) {
	table := poison.NewTable()
	for i := range 10 {
		upstream := fmt.Sprint("u", i)
		require.True(t, table.RecordLoss(1, upstream))
		require.False(t, table.RecordLoss(2, upstream), "one check is enough")
		lost, held := table.FinishCheck(upstream, false, time.Second)
		require.Equal(t, 2, lost)
		require.Empty(t, held)
	}
	require.Zero(t, table.HeldUntil(1, time.Second))
	require.False(t, table.Any())
}

func TestRepeatedLossesAtOneUpstreamAreOneCrash(t *testing.T) {
	table := poison.NewTable()
	for range 5 {
		crash(table, "u", time.Second, 1)
	}
	require.Zero(t, table.HeldUntil(1, time.Second))
}

// Load pattern: upstreams crash by themselves, again and again, beside a lookup
// that many callers ask for.
func TestAnswersClearARequestAtAllHosts(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	crash(a, "u1", time.Second, 1)
	crash(a, "u2", time.Second, 1)
	share(time.Second, a, b)
	b.RecordAnswer(1, 2*time.Second)
	share(2*time.Second, a, b)
	share(2*time.Second, a, b)
	crash(a, "u3", 3*time.Second, 1)
	share(3*time.Second, a, b)
	require.Zero(t, a.HeldUntil(1, 3*time.Second))
	require.Zero(t, b.HeldUntil(1, 3*time.Second))
}

func TestHoldsLastFromTheThirdLastCrash(t *testing.T) {
	table := poison.NewTable()
	for i := range 3 {
		crash(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Minute, 1)
	}
	until := table.HeldUntil(1, 3*time.Minute)
	require.Equal(t, 6*time.Minute, until)
	require.Positive(t, table.HeldUntil(1, until-time.Second))
	require.Zero(t, table.HeldUntil(1, until))
}

// What peers echo to one another does not make a crash younger.
func TestEchoesDoNotKeepACrashAlive(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	for i := range 3 {
		crash(a, fmt.Sprint("u", i), time.Second, 1)
	}
	for now := time.Second; now < 6*time.Minute; now += time.Second {
		share(now, a, b)
	}
	require.False(t, a.Any())
	require.False(t, b.Any())
}

// However requests, crashes and digests fall, only requests that were lost in
// three crashes since their last answer at any host are held back.
func TestOnlyRequestsWithoutAnAnswerAreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*poison.Table{poison.NewTable(), poison.NewTable(), poison.NewTable()}
		crashed := map[uint64]map[string]bool{}
		now := time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Second
			table := tables[rapid.IntRange(0, 2).Draw(t, "host")]
			request := rapid.Uint64Range(1, 3).Draw(t, "request")
			if rapid.Bool().Draw(t, "answered") {
				table.RecordAnswer(request, now)
				delete(crashed, request)
			} else {
				upstream := fmt.Sprint("u", rapid.IntRange(0, 9).Draw(t, "upstream"))
				crash(table, upstream, now, request)
				if crashed[request] == nil {
					crashed[request] = map[string]bool{}
				}
				crashed[request][upstream] = true
			}
			// Digests follow within a second.
			share(now, tables...)
			for request := range uint64(4) {
				for _, table := range tables {
					if table.HeldUntil(request, now) > 0 {
						require.GreaterOrEqual(t, len(crashed[request]), 3)
					}
				}
			}
		}
		share(now, tables...)
		for request, upstreams := range crashed {
			for _, table := range tables {
				require.Equal(t, len(upstreams) >= 3, table.HeldUntil(request, now) > 0)
			}
		}
	})
}

// Load pattern: engines crash with hundreds of requests, most of which never come
// again. Digests to ninety hosts bear no list of them for minutes.
func TestCrashesAreToldWhileTheyAreNew(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	for request := range uint64(200) {
		crash(a, "u", time.Second, request)
	}
	told, _ := a.DigestEntries(2 * time.Second)
	require.Len(t, told, 32)
	for now := time.Second; now < 20*time.Second; now += time.Second {
		share(now, a, b)
	}
	for _, table := range []*poison.Table{a, b} {
		told, answered := table.DigestEntries(20 * time.Second)
		require.Empty(t, told)
		require.Empty(t, answered)
	}
	require.True(t, b.Any(), "they are remembered")
}

func TestHoldsAreToldToNewHosts(t *testing.T) {
	a := poison.NewTable()
	for i := range 3 {
		crash(a, fmt.Sprint("u", i), time.Second, 1)
	}
	late := poison.NewTable()
	share(2*time.Minute, a, late)
	require.Positive(t, late.HeldUntil(1, 2*time.Minute))
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := poison.Fingerprint("POST", "/a/", "c", []byte("body"))
	for _, other := range []uint64{
		poison.Fingerprint("GET", "/a/", "c", []byte("body")), poison.Fingerprint("POST", "/a/b", "c", []byte("body")),
		poison.Fingerprint("POST", "/a/", "d", []byte("body")), poison.Fingerprint("POST", "/a/", "c", []byte("bodyx")),
		poison.Fingerprint("POST", "/a/c", "", []byte("body")),
	} {
		require.NotEqual(t, base, other)
	}
}
