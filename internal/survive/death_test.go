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

// TestRequestsThatMayWaitSurviveTheDeathOfTheirHost kills the host that
// accepted drafts, without notice, and collects them at the others.
func TestRequestsThatMayWaitSurviveTheDeathOfTheirHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := start(t, 5)
		defer bed.Close()
		ids := submit(t, bed.Nodes[0], 8)
		require.EqualValues(t, 8, bed.Nodes[0].Dispatcher().Counters().Copied.Load())
		time.Sleep(time.Second)
		bed.Nodes[0].Kill()
		time.Sleep(10 * time.Second)
		for i, id := range ids {
			answer := bed.Nodes[1+i%4].Do(context.Background(), http.MethodGet, "/v1/requests/"+id, "", nil)
			require.Equal(t, http.StatusOK, answer.Code, answer.Body)
			want := strings.Join(standin.Answer(draft(i), draftTokens), " ")
			require.Contains(t, answer.Body.String(), `"`+want+`"`)
		}
	})
}

// TestLivingHostsRequestsAreNotTakenOver pauses nobody and kills nobody: no
// copy is ever run.
func TestLivingHostsRequestsAreNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bed := start(t, 5)
		defer bed.Close()
		submit(t, bed.Nodes[0], 8)
		time.Sleep(time.Minute)
		for _, n := range bed.Nodes {
			require.Zero(t, n.Dispatcher().Counters().Adopted.Load())
		}
	})
}
