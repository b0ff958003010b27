package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/place"
)

const (
	engines     = 8
	sessions    = 97
	sessionSize = 4870
	ownSize     = 6610
	// prefillPerMs is the number of tokens that the model's engines process per
	// ms.
	prefillPerMs = 112.0
	// cachedSessions is the number of sessions that an engine keeps cached.
	cachedSessions = 40
)

// model replays drafts of sessions at engines: each engine processes prompts one
// after the other and caches the sessions that it used last.
type model struct {
	freeAt [engines]float64
	queued [engines][]float64
	cached [engines][]string
	// reread is the number of session tokens processed again, slowest the longest
	// wait in ms.
	reread  int
	slowest float64
	seen    map[string]bool
}

type chooser func(m *model, session string, now float64, random uint64) int

func (m *model) run(choose chooser, seed uint64, perSecond, seconds, hot float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	m.seen = map[string]bool{}
	for now := 0.0; now < seconds*1000; now += random.ExpFloat64() * 1000 / perSecond {
		session := fmt.Sprint("s", random.IntN(sessions))
		if random.Float64() < hot {
			session = "hot"
		}
		i := choose(m, session, now, random.Uint64())
		m.place(i, session, now)
	}
}

func (m *model) place(i int, session string, now float64) {
	tokens := ownSize
	if !m.touch(i, session) {
		tokens += sessionSize
		if m.seen[session] {
			m.reread += sessionSize
		}
	}
	m.seen[session] = true
	done := max(m.freeAt[i], now) + float64(tokens)/prefillPerMs
	m.freeAt[i] = done
	m.queued[i] = append(m.queued[i], done)
	m.slowest = max(m.slowest, done-now)
}

// touch moves a session to the end of an engine's cache and reports whether it
// was there.
func (m *model) touch(i int, session string) bool {
	for k, s := range m.cached[i] {
		if s == session {
			m.cached[i] = append(append(m.cached[i][:k:k], m.cached[i][k+1:]...), session)
			return true
		}
	}
	m.cached[i] = append(m.cached[i], session)
	if len(m.cached[i]) > cachedSessions {
		m.cached[i] = m.cached[i][1:]
	}
	return false
}

func (m *model) candidates(now float64) []place.Candidate {
	candidates := make([]place.Candidate, engines)
	for i := range candidates {
		waiting := 0
		for _, done := range m.queued[i] {
			if done > now {
				waiting++
			}
		}
		candidates[i] = place.Candidate{ID: fmt.Sprint("e", i), Slots: 128, Requests: waiting, Tokens: waiting * ownSize}
	}
	return candidates
}

func byPlace(m *model, session string, now float64, random uint64) int {
	request := place.Request{Engine: true, Prefix: session, SharedTokens: sessionSize}
	return place.Choose(request, m.candidates(now), random)
}

func roundRobin() chooser {
	next := 0
	return func(*model, string, float64, uint64) int {
		next++
		return next % engines
	}
}

func leastLoad(m *model, _ string, now float64, random uint64) int {
	return place.Choose(place.Request{Engine: true}, m.candidates(now), random)
}

// Load pattern: drafts of 97 sessions at four tenths of the engines' speed.
func TestSessionsStayWhereTheyAreCached(t *testing.T) {
	for seed := range uint64(5) {
		var placed, turns, least model
		placed.run(byPlace, seed, 35, 40, 0)
		turns.run(roundRobin(), seed, 35, 40, 0)
		least.run(leastLoad, seed, 35, 40, 0)
		t.Logf("seed %d: tokens read again: placed %d, in turns %d, least load %d", seed, placed.reread, turns.reread, least.reread)
		require.Less(t, placed.reread*20, turns.reread, "seed %d", seed)
		require.Less(t, placed.reread*20, least.reread, "seed %d", seed)
		require.Less(t, placed.slowest, 800.0, "the objective of drafts in ms, seed %d", seed)
	}
}

// Load pattern: three tenths of the drafts belong to one session.
func TestBurstOfOneSessionIsSpread(t *testing.T) {
	for seed := range uint64(5) {
		var placed, pinned model
		placed.run(byPlace, seed, 45, 20, 0.3)
		pinned.run(func(_ *model, session string, _ float64, _ uint64) int {
			return byPlace(&model{}, session, 0, 0)
		}, seed, 45, 20, 0.3)
		require.Less(t, placed.slowest, 800.0, "seed %d", seed)
		require.Less(t, placed.slowest, pinned.slowest, "seed %d", seed)
	}
}

func TestSuspectsAreChosenLast(t *testing.T) {
	candidates := []place.Candidate{{ID: "a", Suspect: true}, {ID: "b", Requests: 50, Slots: 8}}
	for random := range uint64(8) {
		require.Equal(t, 1, place.Choose(place.Request{}, candidates, random))
	}
	require.Equal(t, 0, place.Choose(place.Request{}, candidates[:1], 0), "a suspect is better than none")
	require.Equal(t, -1, place.Choose(place.Request{}, nil, 0))
}

// Scenario: a plain upstream fails half of its requests while its health
// checks succeed.
func TestFailingUpstreamIsAvoidedNotAbandoned(t *testing.T) {
	bad := place.Candidate{ID: "bad", Slots: 6, Failures: 0.5}
	good := place.Candidate{ID: "good", Slots: 6, Requests: 5}
	require.Equal(t, 1, place.Choose(place.Request{}, []place.Candidate{bad, good}, 0))
	good.Requests = 100
	require.Equal(t, 0, place.Choose(place.Request{}, []place.Candidate{bad, good}, 0))
}

func TestFullUpstreamCostsMore(t *testing.T) {
	free := place.Cost(place.Request{}, &place.Candidate{Slots: 6, Requests: 5})
	full := place.Cost(place.Request{}, &place.Candidate{Slots: 6, Requests: 6})
	require.Greater(t, full-free, 10*time.Millisecond)
}

// BenchmarkChoose measures one choice by the number of upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{13, 95} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			candidates := make([]place.Candidate, count)
			for i := range candidates {
				candidates[i] = place.Candidate{ID: fmt.Sprint("u", i), Zone: "a", Slots: 16, Requests: i % 7, Tokens: 900 * i}
			}
			request := place.Request{Prefix: "session", SharedTokens: 5000, Engine: true, Zone: "a"}
			for b.Loop() {
				place.Choose(request, candidates, 5)
			}
		})
	}
}
