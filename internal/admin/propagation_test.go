package admin_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/publish"
	"github.com/marigoldmux/marigoldmux/internal/testbed"
)

const (
	// inForceLimit is the time within which a change must be in force everywhere.
	inForceLimit = 17 * time.Second
	forcePoll    = 10 * time.Millisecond
	forceChanges = 20
)

// TestTimeToForce measures the time from the acceptance of a change to the
// moment at which the last of 9 hosts has it in force, and the time that the
// operator waits for the acceptance. Run it with -v to see the figures.
func TestTimeToForce(t *testing.T) {
	cases := []struct {
		name    string
		hosts   int
		disturb func(*testbed.Cluster)
	}{
		{"log up", 9, func(*testbed.Cluster) {}},
		{"log slow (500ms a call)", 9, func(b *testbed.Cluster) { b.Log.SetDelay(500 * time.Millisecond) }},
		{"log slow (2s a call)", 9, func(b *testbed.Cluster) { b.Log.SetDelay(2 * time.Second) }},
		{"log out for 4 of 9 hosts", 9, func(b *testbed.Cluster) { logOut(b, 4) }},
		{"log out for 8 of 9 hosts", 9, func(b *testbed.Cluster) { logOut(b, 8) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withBedOf(t, c.hosts, func(t *testing.T, bed *testbed.Cluster) {
				c.disturb(bed)
				time.Sleep(5 * time.Second)
				var accept, force time.Duration
				for i := range forceChanges {
					a, f := change(t, bed, i)
					accept, force = max(accept, a), max(force, f)
				}
				t.Logf("%-28s %d changes: accepted within %v, then in force on all hosts within %v (max)",
					c.name, forceChanges, accept, force)
				require.LessOrEqual(t, force, inForceLimit)
			})
		})
	}
}

// logOut cuts the last hosts off from the log service.
func logOut(bed *testbed.Cluster, count int) {
	for _, n := range bed.Nodes[len(bed.Nodes)-count:] {
		n.SetLogUnreachable(true)
	}
}

// change puts a change in force through the first host and returns how long
// acceptance took and how long after it the last host followed.
func change(t *testing.T, bed *testbed.Cluster, index int) (accepted, everywhere time.Duration) {
	config := current(t, bed.Nodes[0])
	started := time.Now()
	first := strings.Index(config.Document, `"objective": `)
	comma := first + strings.IndexAny(config.Document[first:], ",}")
	text := config.Document[:first] + fmt.Sprintf(`"objective": 0.9%02d`, index) + config.Document[comma:]
	code, answer := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
	require.Equal(t, http.StatusOK, code, answer)
	require.Equal(t, publish.Accepted, answer.Status)
	accepted = time.Since(started)
	for !allHave(bed, answer.Offset) {
		require.Less(t, time.Since(started), time.Minute)
		time.Sleep(forcePoll)
	}
	return accepted, time.Since(started) - accepted
}

func allHave(bed *testbed.Cluster, offset int64) bool {
	for _, n := range bed.Nodes {
		if n.Loop().Snapshot().Offset < offset {
			return false
		}
	}
	return true
}
