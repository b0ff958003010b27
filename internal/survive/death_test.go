package survive_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/standin"
)

// TestRequestsThatMayWaitSurviveTheDeathOfTheirHost kills, without notice, the
// host that accepted asynchronous requests and fetches their results from the
// others.
func TestRequestsThatMayWaitSurviveTheDeathOfTheirHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := start(t, 5)
		defer cluster.Close()
		ids := submit(t, cluster.Nodes[0], 8)
		require.EqualValues(t, 8, cluster.Nodes[0].Dispatcher().Counters().Copied.Load())
		time.Sleep(time.Second)
		cluster.Nodes[0].Kill()
		time.Sleep(10 * time.Second)
		for i, id := range ids {
			resp := cluster.Nodes[1+i%4].Do(context.Background(), http.MethodGet, "/v1/requests/"+id, "", nil)
			require.Equal(t, http.StatusOK, resp.Code, resp.Body)
			want := strings.Join(standin.Answer(draft(i), draftTokens), " ")
			require.Contains(t, resp.Body.String(), `"`+want+`"`)
		}
	})
}

// TestLivingHostsRequestsAreNotTakenOver guards against a host that runs its copy
// of a request while the host that accepted it is alive.
func TestLivingHostsRequestsAreNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := start(t, 5)
		defer cluster.Close()
		submit(t, cluster.Nodes[0], 8)
		time.Sleep(time.Minute)
		for _, n := range cluster.Nodes {
			require.Zero(t, n.Dispatcher().Counters().Adopted.Load())
		}
	})
}
