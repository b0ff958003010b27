package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
)

// prompt returns a request whose content no other has, with shared parts.
func prompt(content uint64, parts ...string) poison.Request {
	request := whole(content)
	for _, id := range parts {
		request.Parts = append(request.Parts, poison.Part("engines", id))
	}
	return request
}

// crashUnder records requests as lost at an upstream that has crashed.
func crashUnder(table *poison.Table, upstream string, now time.Duration, requests ...poison.Request) {
	for _, request := range requests {
		table.RecordLoss(request, upstream)
	}
	table.FinishCheck(upstream, true, now)
}

// isHeld reports whether a request is held at a host that makes no trials.
func isHeld(table *poison.Table, request poison.Request, now time.Duration) bool {
	return table.Judge(request, "host", []string{"other"}, now).HeldUntil > 0
}

// Scenario: engines crash under a part of prompts. All requests with it share a customer's
// own part, of which no sound request came since, and a part that all requests share.
func TestOnlyRequestsWithTheCrashingPartAreHeld(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	for i := range uint64(3) {
		at := time.Duration(i+1) * time.Second
		crashUnder([]*poison.Table{a, b}[i%2], fmt.Sprint("u", i), at, prompt(i, "system", "own", "deadly"))
		exchange(at, a, b)
		b.RecordAnswering(prompt(100, "system", "others"), at+100*time.Millisecond)
		exchange(at+200*time.Millisecond, a, b)
	}
	for _, table := range []*poison.Table{a, b} {
		require.True(t, isHeld(table, prompt(200, "system", "own", "deadly"), 4*time.Second))
		require.False(t, isHeld(table, prompt(201, "system", "own"), 4*time.Second))
		require.False(t, isHeld(table, prompt(202, "system", "others"), 4*time.Second))
	}
	a.RecordResponse(prompt(203, "system", "own"), 5*time.Second)
	require.True(t, isHeld(a, prompt(204, "others", "deadly"), 6*time.Second), "whatever else it holds")
}

// Scenario: as above, but it is the customer's own part that crashes engines.
func TestPartThatIsTakenForSoundIsHeldAfterOneMoreCrash(t *testing.T) {
	table := poison.NewTable()
	for i := range uint64(3) {
		crashUnder(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Second, prompt(i, "own", "other"))
	}
	require.False(t, isHeld(table, prompt(10, "own"), 4*time.Second))
	crashUnder(table, "u3", 5*time.Second, prompt(10, "own"))
	require.True(t, isHeld(table, prompt(11, "own"), 6*time.Second))
}

func TestSeveralCrashingPartsAreHeld(t *testing.T) {
	table := poison.NewTable()
	for i := range uint64(6) {
		crashUnder(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Second, prompt(i, "system", fmt.Sprint("deadly-", i%2)))
		table.RecordAnswering(prompt(100+i, "system"), time.Duration(i+1)*time.Second+time.Millisecond)
	}
	require.True(t, isHeld(table, prompt(200, "system", "deadly-0"), 7*time.Second))
	require.True(t, isHeld(table, prompt(201, "system", "deadly-1"), 7*time.Second))
	require.False(t, isHeld(table, prompt(202, "system"), 7*time.Second))
}

// Scenario: each request with the part comes several times and crashes an engine each time.
func TestRepeatedRequestsDoNotExplainTheCrashesOfTheirPart(t *testing.T) {
	table := poison.NewTable()
	for i := range uint64(12) {
		crashUnder(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Second, prompt(i/4, "deadly"))
	}
	require.True(t, isHeld(table, prompt(100, "deadly"), 13*time.Second))
}

// Scenario: two parts crash engines, and requests with each are at every engine that
// crashes.
func TestPartsThatExplainEachOtherAreHeld(t *testing.T) {
	const most = 8
	table := poison.NewTable()
	crashes := uint64(0)
	for now := time.Second; now < time.Minute; now += 100 * time.Millisecond {
		a, b := prompt(uint64(now), "deadly-a"), prompt(uint64(now)+1, "deadly-b")
		if !isHeld(table, a, now) || !isHeld(table, b, now) {
			crashUnder(table, fmt.Sprint("u", crashes), now, a, b)
			crashes++
		}
	}
	require.LessOrEqual(t, crashes, uint64(most))
}

// Scenario: few upstreams crash again and again under several parts, all of whose requests
// have a part in common with all others. Nothing is answered for some seconds.
func TestPartInCommonIsFreeSoonAfterCrashesUnderSeveralParts(t *testing.T) {
	const deadlyParts = 3
	table := poison.NewTable()
	now := time.Second
	for i := range uint64(18) {
		crashUnder(table, fmt.Sprint("u", i), now, prompt(i, "system", fmt.Sprint("deadly-", i%deadlyParts)))
		now += 2100 * time.Millisecond
	}
	hosts := []string{"host"}
	require.True(t, isHeld(table, prompt(99, "system"), now), "nothing tells it from the others yet")
	freeAt := now + 5*time.Second
	for ; now < freeAt; now += 100 * time.Millisecond {
		sound := prompt(uint64(now), "system", "own")
		if table.Judge(sound, "host", hosts, now).HeldUntil == 0 {
			table.RecordAnswering(sound, now)
		}
	}
	require.False(t, isHeld(table, prompt(100, "system"), now))
	for k := range deadlyParts {
		require.True(t, isHeld(table, prompt(101, "system", fmt.Sprint("deadly-", k)), now))
	}
}

// Scenario: engines crash within moments under two parts. All requests with these have a part
// in common with all others, and nothing is answered meanwhile. Both parts together explain
// all crashes, so no trial of the part in common has failed.
func TestFirstTrialOfAPartWhoseCrashesAreExplainedIsNotMissed(t *testing.T) {
	for _, engines := range []int{6, 9, 40} {
		table := poison.NewTable()
		crashedAt := time.Second
		for i := range engines {
			crashedAt += 50 * time.Millisecond
			crashUnder(table, fmt.Sprint("u", i), crashedAt,
				prompt(uint64(2*i), "system", "deadly-0"), prompt(uint64(2*i+1), "system", "deadly-1"))
		}
		sound := prompt(99, "system")
		require.True(t, isHeld(table, sound, crashedAt+500*time.Millisecond))
		verdict := table.Judge(sound, "host", []string{"host"}, crashedAt+time.Second)
		require.True(t, verdict.Trial, "%d engines", engines)
	}
}

// Scenario: a stream breaks off long after its engine began to answer.
func TestPartsThatWereAnsweredAreNotBlamed(t *testing.T) {
	table := poison.NewTable()
	for i := range uint64(5) {
		answered := prompt(i, "system")
		answered.Parts = nil
		crashUnder(table, fmt.Sprint("u", i), time.Second, answered)
	}
	require.False(t, isHeld(table, prompt(10, "system"), 2*time.Second))
}

// Scenario: all engines crash at once, for another reason, while they read prompts of which
// many share a part. Nothing is left that could be answered.
func TestPopularPartIsFreeSoonAfterAllEnginesCrashedAtOnce(t *testing.T) {
	a, b := poison.NewTable(), poison.NewTable()
	tables := map[string]*poison.Table{"host": a, "other": b}
	for i := range uint64(9) {
		crashUnder(a, fmt.Sprint("u", i), time.Second, prompt(i, "system"))
	}
	exchange(time.Second, a, b)
	trials := 0
	for now := 2 * time.Second; now < 7*time.Second; now += 100 * time.Millisecond {
		for host, table := range tables {
			verdict := table.Judge(prompt(uint64(now), "system"), host, []string{"host", "other"}, now)
			if verdict.Trial {
				trials++
				table.RecordAnswering(prompt(1, "system"), now+50*time.Millisecond)
				exchange(now+60*time.Millisecond, a, b)
			}
		}
	}
	require.Equal(t, 1, trials)
	require.False(t, isHeld(a, prompt(50, "system"), 7*time.Second))
	require.False(t, isHeld(b, prompt(50, "system"), 7*time.Second))
}

// Scenario: all engines crash at once, and none is up yet when the first trial of a part that
// they had in common is due.
func TestTrialThatNoEngineHasRunIsMadeAgain(t *testing.T) {
	table, hosts := poison.NewTable(), []string{"host"}
	for i := range uint64(9) {
		crashUnder(table, fmt.Sprint("u", i), time.Second, prompt(i, "system", "own"))
	}
	dueAt, upAt := 5*time.Second, 7*time.Second
	for now := dueAt; now < upAt; now += 100 * time.Millisecond {
		verdict := table.Judge(prompt(uint64(now), "system", "own"), "host", hosts, now)
		require.True(t, verdict.Trial, now)
		require.False(t, table.Judge(prompt(uint64(now), "system", "own"), "host", hosts, now).Trial, "one at a time")
		table.ReturnTrial(verdict)
	}
	require.True(t, table.Judge(prompt(50, "system", "own"), "host", hosts, upAt).Trial)
	table.RecordAnswering(prompt(50, "system", "own"), upAt)
	require.False(t, isHeld(table, prompt(51, "system", "own"), upAt))
}

// Scenario: a trial of a popular part is at an engine that crashes under another request, whose
// part explains all crashes.
func TestTrialThatIsLostToAnotherPartIsMadeAgainSoon(t *testing.T) {
	table, hosts := poison.NewTable(), []string{"host"}
	sound := func(now time.Duration) poison.Verdict {
		return table.Judge(prompt(uint64(now), "system"), "host", hosts, now)
	}
	for i := range uint64(9) {
		crashUnder(table, fmt.Sprint("u", i), time.Second, prompt(i, "system", "deadly"))
	}
	const due = 2 * time.Second
	require.True(t, sound(due).Trial)
	crashUnder(table, "u9", due, prompt(uint64(due), "system"), prompt(100, "system", "deadly"))
	require.False(t, sound(due+900*time.Millisecond).Trial, "a part that crashes engines has few trials")
	require.True(t, sound(due+time.Second).Trial)
	require.False(t, sound(due+1100*time.Millisecond).Trial)
}

// Scenario: requests with a part that crashes engines come to all hosts for an hour.
func TestTrialsOfACrashingPartAreFew(t *testing.T) {
	const maxLate = 3
	hosts := []string{"a", "b", "c"}
	tables := []*poison.Table{poison.NewTable(), poison.NewTable(), poison.NewTable()}
	var crashes []time.Duration
	for now := time.Second; now < time.Hour; now += 100 * time.Millisecond {
		for i, table := range tables {
			request := prompt(uint64(now)+uint64(i), "system", "deadly")
			if table.Judge(request, hosts[i], hosts, now).HeldUntil == 0 {
				crashUnder(table, fmt.Sprint("u", len(crashes)), now, request)
				crashes = append(crashes, now)
			}
		}
		tables[0].RecordAnswering(prompt(1, "system"), now)
		exchange(now, tables...)
	}
	late := 0
	for _, at := range crashes {
		if at > crashes[4]+3*time.Second {
			late++
		}
	}
	require.LessOrEqual(t, late, maxLate)
}

// Scenario: engines with hundreds of requests crash one after the other.
func TestCrashingPartIsFoundAmongThousandsOfRequests(t *testing.T) {
	table := poison.NewTable()
	for i := range uint64(40) {
		lost := []poison.Request{prompt(i, "deadly")}
		for k := range uint64(200) {
			lost = append(lost, whole(1000+1000*i+k))
		}
		crashUnder(table, fmt.Sprint("u", i), time.Duration(i+1)*time.Second, lost...)
	}
	require.True(t, isHeld(table, prompt(100, "deadly"), 41*time.Second))
}

// Scenario: several parts that crash engines are held, each after many crashes, when another
// one comes to three hosts. A host that starts then learns of all of them.
func TestNewCrashingPartIsHeardBesideHeldOnes(t *testing.T) {
	const heldParts, crashesEach = 8, 10
	a, b, c := poison.NewTable(), poison.NewTable(), poison.NewTable()
	for part := range heldParts {
		for k := range crashesEach {
			crashUnder(a, fmt.Sprint("u", part, "-", k), time.Second, prompt(uint64(100*part+k), fmt.Sprint("held-", part)))
		}
	}
	exchange(2*time.Second, a, b, c)
	for i, table := range []*poison.Table{a, b, c} {
		at := time.Duration(3+i) * time.Second
		crashUnder(table, fmt.Sprint("n", i), at, prompt(uint64(9000+i), "new"))
		exchange(at, a, b, c)
	}
	late := poison.NewTable()
	for now := 6 * time.Second; now < 8*time.Second; now += 200 * time.Millisecond {
		exchange(now, a, b, c, late)
	}
	for _, table := range []*poison.Table{a, b, c, late} {
		require.True(t, isHeld(table, prompt(1, "new"), 8*time.Second))
		for part := range heldParts {
			require.True(t, isHeld(table, prompt(1, fmt.Sprint("held-", part)), 8*time.Second), part)
		}
	}
}

// Invariant: whatever parts the requests have, after five crashes at most three requests
// with the crashing part reach upstreams, and no other part is held for long.
func TestCrashingPartIsToldFromOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*poison.Table{poison.NewTable(), poison.NewTable(), poison.NewTable()}
		hosts := []string{"a", "b", "c"}
		crashes, refused := 0, 0
		const steps, most = 300, 5 + 3
		for step := range steps {
			now := time.Second + time.Duration(step)*100*time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "host")
			deadly := rapid.IntRange(0, 2).Draw(t, "deadly") == 0
			parts := []string{fmt.Sprint("system-", rapid.IntRange(0, 1).Draw(t, "system")), fmt.Sprint("own-", rapid.IntRange(0, 2).Draw(t, "own"))}
			if deadly {
				parts = append(parts, "deadly")
			}
			request := prompt(uint64(step), parts...)
			held := tables[i].Judge(request, hosts[i], hosts, now).HeldUntil > 0
			switch {
			case deadly && !held:
				crashUnder(tables[i], fmt.Sprint("u", step), now, request)
				crashes++
			case !held:
				tables[i].RecordResponse(request, now)
			case !deadly:
				refused++
			}
			exchange(now, tables...)
		}
		require.LessOrEqual(t, crashes, most)
		require.LessOrEqual(t, refused, steps/10)
	})
}
