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
	// propagationLimit bounds the time from the acceptance of a change until it is
	// active on all hosts.
	propagationLimit = 17 * time.Second
	pollInterval     = 10 * time.Millisecond
	changeCount      = 20
)

// TestConfigurationPropagationTime measures how long the acceptance of a change
// takes, and how long after it the change is active on all 9 hosts, with the log
// service up, slow, and unreachable for some of the hosts. -v prints the figures.
func TestConfigurationPropagationTime(t *testing.T) {
	cases := []struct {
		name    string
		hosts   int
		disturb func(*testbed.Cluster)
	}{
		{"log up", 9, func(*testbed.Cluster) {}},
		{"log slow (500ms a call)", 9, func(b *testbed.Cluster) { b.Log.SetDelay(500 * time.Millisecond) }},
		{"log slow (2s a call)", 9, func(b *testbed.Cluster) { b.Log.SetDelay(2 * time.Second) }},
		{"log down for 4 of 9 hosts", 9, func(b *testbed.Cluster) { cutFromLog(b, 4) }},
		{"log down for 8 of 9 hosts", 9, func(b *testbed.Cluster) { cutFromLog(b, 8) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withBedOf(t, c.hosts, func(t *testing.T, bed *testbed.Cluster) {
				c.disturb(bed)
				time.Sleep(5 * time.Second)
				var accept, propagate time.Duration
				for i := range changeCount {
					a, p := change(t, bed, i)
					accept, propagate = max(accept, a), max(propagate, p)
				}
				t.Logf("%-28s %d changes: accepted within %v, then active on all hosts within %v (max)",
					c.name, changeCount, accept, propagate)
				require.LessOrEqual(t, propagate, propagationLimit)
			})
		})
	}
}

// cutFromLog makes the log service unreachable for the last count hosts.
func cutFromLog(bed *testbed.Cluster, count int) {
	for _, n := range bed.Nodes[len(bed.Nodes)-count:] {
		n.SetLogUnreachable(true)
	}
}

// change puts a change through the first host. It returns how long the acceptance
// took, and how long after it the change was active on all hosts.
func change(t *testing.T, bed *testbed.Cluster, index int) (accepted, everywhere time.Duration) {
	config := current(t, bed.Nodes[0])
	started := time.Now()
	first := strings.Index(config.Document, `"objective": `)
	comma := first + strings.IndexAny(config.Document[first:], ",}")
	text := config.Document[:first] + fmt.Sprintf(`"objective": 0.9%02d`, index) + config.Document[comma:]
	code, resp := put(t, bed.Nodes[0], operatorToken, config.Offset, text)
	require.Equal(t, http.StatusOK, code, resp)
	require.Equal(t, publish.Accepted, resp.Status)
	accepted = time.Since(started)
	for !activeEverywhere(bed, resp.Offset) {
		require.Less(t, time.Since(started), time.Minute)
		time.Sleep(pollInterval)
	}
	return accepted, time.Since(started) - accepted
}

func activeEverywhere(bed *testbed.Cluster, offset int64) bool {
	for _, n := range bed.Nodes {
		if n.Loop().Snapshot().Offset < offset {
			return false
		}
	}
	return true
}
