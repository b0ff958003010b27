package reach

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// asked returns a prober with one peer for each sight, which that peer responds with, and counts
// the questions. Peer i has the address "i".
func asked(sights []Sight, adjust func(i int, p *Peer), questions *atomic.Int64) *IndirectProber {
	peers := make([]Peer, len(sights))
	for i := range peers {
		peers[i].Address = fmt.Sprint(i)
		adjust(i, &peers[i])
	}
	return NewIndirectProber(func(_ context.Context, address, _ string) (Sight, error) {
		questions.Add(1)
		for i, sight := range sights {
			if address == peers[i].Address {
				if sight == Unknown {
					return Unknown, ErrPeerUnavailable
				}
				return sight, nil
			}
		}
		return Unknown, ErrPeerUnavailable
	}, func() []Peer { return peers })
}

func TestUpstreamIsGoneUnlessAPeerReachesIt(t *testing.T) {
	for _, c := range []struct {
		sights []Sight
		gone   bool
	}{
		{nil, true},
		{[]Sight{Reached}, false},
		{[]Sight{OutOfReach}, true},
		{[]Sight{AllOutOfReach}, true},
		{[]Sight{Unknown, Unknown}, false},
		{[]Sight{Unknown, AllOutOfReach, Unknown}, true},
		{[]Sight{AllOutOfReach, AllOutOfReach, Reached}, false},
		{[]Sight{OutOfReach, Reached, Unknown}, false},
	} {
		var questions atomic.Int64
		w := asked(c.sights, func(int, *Peer) {}, &questions)
		require.Equal(t, c.gone, w.Gone(t.Context(), "u"), c.sights)
	}
}

// Load pattern: an availability zone of hosts is cut off, while the other hosts reach upstreams.
func TestPeersBehindTheSameCutAreNotAskedWhileOthersAre(t *testing.T) {
	sights := make([]Sight, 40)
	for i := range sights {
		sights[i] = AllOutOfReach
	}
	for i := range peersAsked {
		sights[3+i] = Reached
	}
	near := func(i int, p *Peer) { p.Near = i < 3; p.Isolated = i >= 3+peersAsked }
	for range 100 {
		var questions atomic.Int64
		require.False(t, asked(sights, near, &questions).Gone(t.Context(), "u"))
		require.LessOrEqual(t, questions.Load(), int64(peersAsked))
	}
}

// Load pattern: a host that is cut off loses its responses of a thousand upstreams at once.
func TestPeersAreAskedFewQuestionsByAHostThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var questions atomic.Int64
		w := asked([]Sight{Reached, Reached, Reached, Reached}, func(int, *Peer) {}, &questions)
		start := time.Now()
		w.now = func() time.Duration { return time.Hour + time.Since(start) }
		done := make(chan bool)
		for i := range 1000 {
			go func() { done <- w.Gone(t.Context(), fmt.Sprint("u", i)) }()
		}
		for range 1000 {
			require.False(t, <-done)
		}
		require.LessOrEqual(t, questions.Load(), int64(maxQuestions*peersAsked))
		time.Sleep(cutOffFor)
		before := questions.Load()
		require.False(t, w.Gone(t.Context(), "u"))
		require.Greater(t, questions.Load(), before)
	})
}

func TestQuestionEndsWithItsContext(t *testing.T) {
	w := NewIndirectProber(func(ctx context.Context, _, _ string) (Sight, error) {
		<-ctx.Done()
		return Unknown, ctx.Err()
	}, func() []Peer { return []Peer{{Address: "a"}} })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	for range maxQuestions + 1 {
		go func() { ended <- w.Gone(ctx, "u") }()
	}
	cancel()
	for range maxQuestions + 1 {
		require.False(t, <-ended)
	}
}

func TestPeerIsAskedOverItsListener(t *testing.T) {
	services := http.NewServeMux()
	services.Handle(Handler(func(_ context.Context, upstream string) Sight {
		return map[string]Sight{"up": Reached, "down": OutOfReach, "all": AllOutOfReach}[upstream]
	}))
	server := httptest.NewServer(services)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for upstream, want := range map[string]Sight{"up": Reached, "down": OutOfReach, "all": AllOutOfReach, "none": Unknown} {
		got, err := NewClient().Look(t.Context(), address, upstream)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	former := httptest.NewServer(http.NewServeMux())
	defer former.Close()
	_, err := NewClient().Look(t.Context(), strings.TrimPrefix(former.URL, "http://"), "up")
	require.ErrorIs(t, err, ErrPeerUnavailable)
}

func TestSightOfAnUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes atomic.Int64
		var allDown atomic.Bool
		m, _ := watched(t, func(address string) bool { return allDown.Load() || address == "chat/a/0" }, &probes)
		require.Equal(t, Reached, m.Look(t.Context(), "chat/a/1"))
		require.Equal(t, OutOfReach, m.Look(t.Context(), "chat/a/0"))
		allDown.Store(true)
		time.Sleep(freshFor)
		require.Equal(t, AllOutOfReach, m.Look(t.Context(), "chat/a/0"))
	})
}
