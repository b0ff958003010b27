package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// TestHostReadsAsSoonAsItIsTo checks that a host does not lose time between the
// decision that it reads the log and its first read: after a kill of all hosts, none
// can serve before.
func TestHostReadsAsSoonAsItIsTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{}
		g.source.Store(&relay.Source{})
		changed := make(chan struct{})
		g.sourceChanged.Store(&changed)
		start := time.Now()
		var woken time.Duration
		go func() {
			require.True(t, g.awaitRole(t.Context()))
			woken = time.Since(start)
		}()
		time.Sleep(33 * time.Millisecond)
		require.True(t, g.setSource(relay.Source{Reader: "a"}))
		require.False(t, g.setSource(relay.Source{Reader: "a"}))
		time.Sleep(10 * time.Millisecond)
		require.True(t, g.setSource(relay.Source{ReadsLog: true}))
		synctest.Wait()
		require.Equal(t, 43*time.Millisecond, woken)
	})
}
