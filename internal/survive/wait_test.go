package survive_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

// accepted returns the number of requests that all hosts accepted.
func accepted(cluster *testbed.Cluster) int64 {
	count := int64(0)
	for _, n := range cluster.Nodes {
		count += n.Dispatcher().Counters().Accepted.Load()
	}
	return count
}

// Load pattern: all upstreams are down for 6 s, longer than callers keep a
// connection without an event.
func TestCallersThatWaitDoNotSendTheirRequestAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := start(t, 3)
		defer cluster.Close()
		warm(cluster, 20*time.Second)
		before := accepted(cluster)
		for _, e := range cluster.Engines {
			e.Kill()
		}
		time.AfterFunc(6*time.Second, func() {
			for _, e := range cluster.Engines {
				e.Restart()
			}
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		reply := cluster.Send(ctx, 1, cluster.Nodes[0], testbed.Query{
			Customer: "web-chat", Service: "advice", Route: "notes", Prompt: "cakes that travel well", MaxTokens: 50,
		})
		require.Equal(t, request.Answer.String(), reply.Outcome, "%+v", reply)
		require.Positive(t, reply.Reconnects, "it waited for longer than a connection")
		require.EqualValues(t, 1, accepted(cluster)-before)
	})
}
