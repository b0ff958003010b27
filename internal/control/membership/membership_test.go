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

// detection bounds the time until a silent host is out on every host.
const detection = 6 * time.Second

func knows(id string) func(*node) bool {
	return func(n *node) bool {
		_, live := n.sees()[id]
		return live
	}
}

func lacks(id string) func(*node) bool {
	return func(n *node) bool { return !knows(id)(n) }
}

func TestSilentHostIsOutEverywhereAndComesBack(t *testing.T) {
	f := newFabric(9, 1)
	f.run(5 * time.Second)
	victim := f.nodes[4]
	victim.down = true
	f.until(t, detection, lacks(victim.self.ID))
	f.run(20 * time.Second)
	victim.down = false
	f.until(t, 2*detection, knows(victim.self.ID))
	require.Len(t, victim.sees(), 9)
}

// A list that still names a host for hours, or is not to be read at all,
// keeps no dead host in.
func TestStaleListKeepsNoDeadHost(t *testing.T) {
	f := newFabric(9, 1)
	f.run(5 * time.Second)
	f.nodes[0].down = true
	for range 10 {
		f.run(2 * time.Second)
		f.list()
	}
	require.NotContains(t, f.nodes[5].sees(), "entry-000")
}

func TestNewcomerIsLiveBeforeItIsListed(t *testing.T) {
	f := newFabric(5, 1)
	f.run(5 * time.Second)
	old := f.all()
	newcomer := f.add(control.Self{ID: "entry-new", Incarnation: "b", Address: "10.9.9.9:8080", Zone: "z0-0", Region: "r0"})
	f.step(newcomer, control.HostsListed{List: hostlist.List{Hosts: old}})
	f.until(t, detection, knows("entry-new"))
}

func TestLeavingIsKnownAtOnceAndOnlyOnce(t *testing.T) {
	f := newFabric(9, 1)
	f.run(5 * time.Second)
	before := f.nodes[0].changes
	notice := cloud.Notice{HostID: "entry-003", Deadline: f.now.Add(20 * time.Second)}
	for _, n := range f.nodes {
		f.step(n, control.NoticesListed{Notices: []cloud.Notice{notice}})
	}
	f.until(t, 3*time.Second, func(n *node) bool { return n.sees()["entry-003"].Leaving })
	f.run(10 * time.Second)
	require.Equal(t, before+1, f.nodes[0].changes)
}

// A host that hears of nobody must not talk others into its own view.
func TestCutOffHostPutsNobodyOut(t *testing.T) {
	f := newFabric(9, 1)
	f.run(5 * time.Second)
	for _, n := range f.nodes[1:] {
		f.cut[[2]string{"entry-000", n.self.ID}] = true
		f.cut[[2]string{n.self.ID, "entry-000"}] = true
	}
	f.run(4 * time.Second)
	require.Len(t, f.nodes[0].sees(), 9, "the fault is its own")
	f.until(t, detection, func(n *node) bool { return n.self.ID == "entry-000" || lacks("entry-000")(n) })
	f.run(10 * time.Second)
	clear(f.cut)
	for range 60 {
		f.run(control.TickInterval)
		for _, n := range f.nodes[1:] {
			seen := n.sees()
			delete(seen, "entry-000")
			require.Len(t, seen, 8)
		}
	}
	require.Len(t, f.nodes[0].sees(), 9)
}

// One broken link does not put a host out that others reach.
func TestOneBrokenLinkPutsNobodyOut(t *testing.T) {
	f := newFabric(9, 1)
	f.run(5 * time.Second)
	f.cut[[2]string{"entry-000", "entry-001"}] = true
	f.cut[[2]string{"entry-001", "entry-000"}] = true
	before := f.nodes[5].changes
	f.run(30 * time.Second)
	require.Equal(t, before, f.nodes[5].changes)
	require.Len(t, f.nodes[0].sees(), 9)
}

func TestHostsAgreeOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFabric(rapid.IntRange(3, 9).Draw(t, "hosts"), 1)
		f.run(3 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "host")]
			other := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "other")]
			switch rapid.IntRange(0, 2).Draw(t, "fault") {
			case 0:
				n.down = !n.down
			case 1:
				f.cut[[2]string{n.self.ID, other.self.ID}] = true
			default:
				f.step(n, control.Leaving{Deadline: f.now.Add(time.Minute)})
			}
			f.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "ticks")) * control.TickInterval)
		}
		clear(f.cut)
		f.run(40 * time.Second)
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				_, live := n.sees()[other.self.ID]
				if !n.down && live == other.down {
					t.Fatalf("%s believes that %s is live: %v", n.self.ID, other.self.ID, live)
				}
			}
		}
	})
}

// TestCostAndDetection measures bytes a second for each host and the time
// until a dead host is out; with MEMBERSHIP_FULL set also at 710 hosts.
func TestCostAndDetection(t *testing.T) {
	sizes := [][2]int{{9, 1}, {90, 1}}
	if os.Getenv("MEMBERSHIP_FULL") != "" {
		sizes = append(sizes, [2]int{710, 5})
	}
	for _, size := range sizes {
		f := newFabric(size[0], size[1])
		f.run(10 * time.Second)
		idle := f.rate(10 * time.Second)
		f.nodes[3].down = true
		region := f.nodes[3].self.Region
		out := f.until(t, detection, func(n *node) bool { return n.self.Region != region || lacks("entry-003")(n) })
		f.bytes = 0
		f.list()
		busy := f.rate(10 * time.Second)
		t.Logf("%d hosts in %d regions: %.0f B/s a host idle, %.0f B/s after a change; dead host out everywhere after %v",
			size[0], size[1], idle, busy, out)
		require.Less(t, max(idle, busy), 6000.0)
	}
}

// rate runs and returns the bytes a second that a host sends and gets answered.
func (f *fabric) rate(d time.Duration) float64 {
	f.bytes = 0
	f.run(d)
	return float64(f.bytes) / d.Seconds() / float64(len(f.nodes))
}
