package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
)

// Guards against a version that was rolled back, or gets a small share, and gets all requests while
// the upstreams of the others ask for a pause (the case review/5).
func TestVersionGetsItsShareOnlyWhileTheOthersPause(t *testing.T) {
	const draws, pause = 2000, time.Minute
	for _, share := range []float64{0, 0.25, 1} {
		h, state := newFixture(t)
		state.snapshot.View.Rollouts["look"], state.share = catalog.Rollout{Service: "look", Target: "v2"}, share
		for _, id := range []string{"look-03", "look-04"} {
			state.member(id).Version = "v2"
		}
		for _, id := range []string{"look-00", "look-01", "look-02"} {
			h.Advisories.Pause(state.member(id), pause, boottime.Now(), time.Now())
		}
		target := 0
		for range draws {
			p := requestOf(h, &explain.Query{Route: "look"})
			p.service = "look"
			if m, _ := p.chooseUpstream(); m != nil {
				require.Equal(t, "v2", m.Version)
				target++
				continue
			}
			require.Positive(t, p.upstreamPause, "callers learn when to come back")
		}
		require.InDelta(t, share, float64(target)/draws, 0.05)
	}
}

// A service whose only upstreams are those of the target is served by them.
func TestVersionGetsAllRequestsIfThereIsNoOther(t *testing.T) {
	h, state := newFixture(t)
	state.snapshot.View.Rollouts["look"] = catalog.Rollout{Service: "look", Target: "v1"}
	p := requestOf(h, &explain.Query{Route: "look"})
	p.service = "look"
	m, reason := p.chooseUpstream()
	require.NotNil(t, m, reason)
}
