package membership_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

// detectionTimeout bounds the time until every host has removed a host that does
// not respond.
const detectionTimeout = 6 * time.Second

func hasHost(id string) func(*node) bool {
	return func(n *node) bool {
		_, live := n.hosts()[id]
		return live
	}
}

func lacksHost(id string) func(*node) bool {
	return func(n *node) bool { return !hasHost(id)(n) }
}

func TestUnresponsiveHostIsRemovedAndRejoins(t *testing.T) {
	c := newCluster(9, 1)
	c.run(5 * time.Second)
	victim := c.nodes[4]
	victim.down = true
	c.waitUntil(t, detectionTimeout, lacksHost(victim.self.ID))
	c.run(20 * time.Second)
	victim.down = false
	c.waitUntil(t, 2*detectionTimeout, hasHost(victim.self.ID))
	require.Len(t, victim.hosts(), 9)
}

// A dead host must not stay live because the host list still names it, which it
// may for hours, or because the list cannot be read.
func TestStaleListKeepsNoDeadHost(t *testing.T) {
	c := newCluster(9, 1)
	c.run(5 * time.Second)
	c.nodes[0].down = true
	for range 10 {
		c.run(2 * time.Second)
		c.distributeList()
	}
	require.NotContains(t, c.nodes[5].hosts(), "entry-000")
}

func TestNewcomerIsLiveBeforeItIsListed(t *testing.T) {
	c := newCluster(5, 1)
	c.run(5 * time.Second)
	old := c.allHosts()
	newcomer := c.add(control.Self{ID: "entry-new", Incarnation: "b", Address: "10.9.9.9:8080", Zone: "z0-0", Region: "r0"})
	c.step(newcomer, control.HostsListed{List: hostlist.List{Hosts: old}})
	c.waitUntil(t, detectionTimeout, hasHost("entry-new"))
}

func TestLeavingSpreadsQuicklyAndEmitsOneChange(t *testing.T) {
	c := newCluster(9, 1)
	c.run(5 * time.Second)
	before := c.nodes[0].changes
	notice := cloud.Notice{HostID: "entry-003", Deadline: c.now.Add(20 * time.Second)}
	for _, n := range c.nodes {
		c.step(n, control.NoticesListed{Notices: []cloud.Notice{notice}})
	}
	c.waitUntil(t, 3*time.Second, func(n *node) bool { return n.hosts()["entry-003"].Leaving })
	c.run(10 * time.Second)
	require.Equal(t, before+1, c.nodes[0].changes)
}

// A host that was cut off from all others may have marked them dead; when it reaches
// them again, it must not make them remove each other.
func TestIsolatedHostRemovesNoOtherHost(t *testing.T) {
	c := newCluster(9, 1)
	c.run(5 * time.Second)
	for _, n := range c.nodes[1:] {
		c.cut[[2]string{"entry-000", n.self.ID}] = true
		c.cut[[2]string{n.self.ID, "entry-000"}] = true
	}
	c.run(4 * time.Second)
	require.Len(t, c.nodes[0].hosts(), 9, "an isolated host must not remove others")
	c.waitUntil(t, detectionTimeout, func(n *node) bool { return n.self.ID == "entry-000" || lacksHost("entry-000")(n) })
	c.run(10 * time.Second)
	clear(c.cut)
	for range 60 {
		c.run(control.TickInterval)
		for _, n := range c.nodes[1:] {
			seen := n.hosts()
			delete(seen, "entry-000")
			require.Len(t, seen, 8)
		}
	}
	require.Len(t, c.nodes[0].hosts(), 9)
}

// One broken link must not remove a host that others can reach.
func TestOneBrokenLinkRemovesNoHost(t *testing.T) {
	c := newCluster(9, 1)
	c.run(5 * time.Second)
	c.cut[[2]string{"entry-000", "entry-001"}] = true
	c.cut[[2]string{"entry-001", "entry-000"}] = true
	before := c.nodes[5].changes
	c.run(30 * time.Second)
	require.Equal(t, before, c.nodes[5].changes)
	require.Len(t, c.nodes[0].hosts(), 9)
}

func TestHostsAgreeOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(3, 9).Draw(t, "hosts"), 1)
		c.run(3 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			n := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "host")]
			other := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "other")]
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				n.down = !n.down
			case 1:
				c.cut[[2]string{n.self.ID, other.self.ID}] = true
			default:
				c.step(n, control.Leaving{Deadline: c.now.Add(time.Minute)})
			}
			c.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "ticks")) * control.TickInterval)
		}
		clear(c.cut)
		c.run(40 * time.Second)
		for _, n := range c.nodes {
			for _, other := range c.nodes {
				_, live := n.hosts()[other.self.ID]
				if !n.down && live == other.down {
					t.Fatalf("%s believes that %s is live: %v", n.self.ID, other.self.ID, live)
				}
			}
		}
	})
}

// TestCostAndDetection measures the bytes per second of each host and the time
// until every host has removed a dead one; with MEMBERSHIP_FULL set also at 710
// hosts.
func TestCostAndDetection(t *testing.T) {
	sizes := [][2]int{{9, 1}, {90, 1}}
	if os.Getenv("MEMBERSHIP_FULL") != "" {
		sizes = append(sizes, [2]int{710, 5})
	}
	for _, size := range sizes {
		c := newCluster(size[0], size[1])
		c.run(10 * time.Second)
		idle := c.rate(10 * time.Second)
		c.nodes[3].down = true
		region := c.nodes[3].self.Region
		out := c.waitUntil(t, detectionTimeout, func(n *node) bool { return n.self.Region != region || lacksHost("entry-003")(n) })
		c.bytes = 0
		c.distributeList()
		busy := c.rate(10 * time.Second)
		t.Logf("%d hosts in %d regions: %.0f B/s a host idle, %.0f B/s after a change; dead host out everywhere after %v",
			size[0], size[1], idle, busy, out)
		require.Less(t, max(idle, busy), 6000.0)
	}
}

// rate runs the cluster for a time and returns the bytes per second and host of
// calls and their responses.
func (c *cluster) rate(d time.Duration) float64 {
	c.bytes = 0
	c.run(d)
	return float64(c.bytes) / d.Seconds() / float64(len(c.nodes))
}
