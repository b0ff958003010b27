package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/membership"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

const (
	// httpRequest and httpResponse are the sizes of the headers of one call
	// between peers, in bytes.
	httpRequest  = 260
	httpResponse = 150
)

// cluster simulates hosts and their network: it drives machines with a stepped
// clock and delivers their messages.
type cluster struct {
	now      time.Time
	nodes    []*node
	byID     map[string]*node
	rand     *rand.Rand
	cut      map[[2]string]bool
	inbox    []func()
	hostList func() []hostlist.Host
	bytes    int
}

type node struct {
	machine *membership.Machine
	self    control.Self
	down    bool
	changes int
}

func newCluster(hosts, regions int) *cluster {
	c := &cluster{
		now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), byID: map[string]*node{},
		rand: rand.New(rand.NewPCG(7, 7)), cut: map[[2]string]bool{},
	}
	for i := range hosts {
		c.add(control.Self{
			ID: fmt.Sprintf("entry-%03d", i), Incarnation: "a", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone: fmt.Sprintf("z%d-%d", i%regions, i/regions%3), Region: fmt.Sprintf("r%d", i%regions),
		})
	}
	c.hostList = c.allHosts
	c.distributeList()
	return c
}

func (c *cluster) add(self control.Self) *node {
	n := &node{machine: new(membership.Machine), self: self}
	n.machine.Init(self)
	c.nodes = append(c.nodes, n)
	c.byID[self.ID] = n
	return n
}

func (c *cluster) allHosts() []hostlist.Host {
	hosts := make([]hostlist.Host, 0, len(c.nodes))
	for _, n := range c.nodes {
		hosts = append(hosts, hostlist.Host{ID: n.self.ID, Role: hostlist.RoleEntry, Address: n.self.Address, Zone: n.self.Zone})
	}
	return hosts
}

func (c *cluster) document() *document.Document {
	doc := &document.Document{}
	for _, n := range c.nodes {
		if doc.Zone(n.self.Zone) == nil {
			zone := document.AvailabilityZone{Name: n.self.Zone, Region: n.self.Region, State: document.ZoneServing}
			doc.AvailabilityZones = append(doc.AvailabilityZones, zone)
		}
	}
	return doc
}

// distributeList gives the configuration and the host list to every host.
func (c *cluster) distributeList() {
	doc, hosts := c.document(), c.hostList()
	for _, n := range c.nodes {
		c.step(n, control.Configured{Offset: 1, Document: doc})
		c.step(n, control.HostsListed{List: hostlist.List{Hosts: hosts}})
	}
}

func (c *cluster) step(n *node, in control.Input) {
	if n.down {
		return
	}
	control.Drive(c.now, []control.Machine{n.machine, changeCounter{n}}, in, func(out control.Output) {
		if msg, ok := out.(control.SendMessage); ok {
			c.send(n, msg)
		}
	})
}

type changeCounter struct{ n *node }

func (c changeCounter) Step(_ time.Time, in control.Input) []control.Output {
	if _, ok := in.(control.MembersChanged); ok {
		c.n.changes++
	}
	return nil
}

func (changeCounter) Publish(time.Time, *control.Snapshot) {}

func (c *cluster) send(from *node, msg control.SendMessage) {
	size := proto.Size(&peerv1.DeliverRequest{From: from.self.ID, Incarnation: from.self.Incarnation, Messages: []*peerv1.Message{msg.Message}})
	c.bytes += size + httpRequest + httpResponse
	c.inbox = append(c.inbox, func() {
		to := c.byID[msg.To]
		if to == nil || to.down || from.down || c.cut[[2]string{from.self.ID, msg.To}] {
			c.step(from, control.DeliverFailed{To: msg.To})
			return
		}
		c.step(to, control.MessageReceived{From: from.self.ID, Incarnation: from.self.Incarnation, Message: msg.Message})
		c.step(from, control.Delivered{To: msg.To})
	})
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(control.TickInterval) {
		arrived := c.inbox
		c.inbox = nil
		for _, deliver := range arrived {
			deliver()
		}
		for _, n := range c.nodes {
			c.step(n, control.Tick{})
		}
	}
}

func (n *node) hosts() map[string]control.EntryHost {
	var s control.Snapshot
	n.machine.Publish(time.Time{}, &s)
	return s.Hosts
}

// waitUntil runs until every host that is not down satisfies a condition and returns
// the time taken.
func (c *cluster) waitUntil(t testing.TB, limit time.Duration, condition func(*node) bool) time.Duration {
	t.Helper()
	begin := c.now
	for c.now.Sub(begin) < limit {
		c.run(control.TickInterval)
		all := true
		for _, n := range c.nodes {
			all = all && (n.down || condition(n))
		}
		if all {
			return c.now.Sub(begin)
		}
	}
	require.Fail(t, "hosts did not satisfy the condition in time")
	return 0
}
