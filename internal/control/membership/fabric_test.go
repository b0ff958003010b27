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

// fabric drives machines with a stepped clock and carries their messages.
type fabric struct {
	now     time.Time
	nodes   []*node
	byID    map[string]*node
	rand    *rand.Rand
	cut     map[[2]string]bool
	inbox   []func()
	listing func() []hostlist.Host
	bytes   int
}

type node struct {
	machine *membership.Machine
	self    control.Self
	down    bool
	changes int
}

func newFabric(hosts, regions int) *fabric {
	f := &fabric{
		now: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC), byID: map[string]*node{},
		rand: rand.New(rand.NewPCG(7, 7)), cut: map[[2]string]bool{},
	}
	for i := range hosts {
		f.add(control.Self{
			ID: fmt.Sprintf("entry-%03d", i), Incarnation: "a", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Zone: fmt.Sprintf("z%d-%d", i%regions, i/regions%3), Region: fmt.Sprintf("r%d", i%regions),
		})
	}
	f.listing = f.all
	f.list()
	return f
}

func (f *fabric) add(self control.Self) *node {
	n := &node{machine: new(membership.Machine), self: self}
	n.machine.Init(self)
	f.nodes = append(f.nodes, n)
	f.byID[self.ID] = n
	return n
}

func (f *fabric) all() []hostlist.Host {
	hosts := make([]hostlist.Host, 0, len(f.nodes))
	for _, n := range f.nodes {
		hosts = append(hosts, hostlist.Host{ID: n.self.ID, Role: hostlist.RoleEntry, Address: n.self.Address, Zone: n.self.Zone})
	}
	return hosts
}

func (f *fabric) document() *document.Document {
	doc := &document.Document{}
	for _, n := range f.nodes {
		if doc.Zone(n.self.Zone) == nil {
			zone := document.AvailabilityZone{Name: n.self.Zone, Region: n.self.Region, State: document.ZoneIn}
			doc.AvailabilityZones = append(doc.AvailabilityZones, zone)
		}
	}
	return doc
}

// list brings the host list to every host.
func (f *fabric) list() {
	doc, hosts := f.document(), f.listing()
	for _, n := range f.nodes {
		f.step(n, control.Configured{Offset: 1, Document: doc})
		f.step(n, control.HostsListed{List: hostlist.List{Hosts: hosts}})
	}
}

func (f *fabric) step(n *node, in control.Input) {
	if n.down {
		return
	}
	control.Drive(f.now, []control.Machine{n.machine, watcher{n}}, in, func(out control.Output) {
		if tell, ok := out.(control.SendMessage); ok {
			f.send(n, tell)
		}
	})
}

type watcher struct{ n *node }

func (w watcher) Step(_ time.Time, in control.Input) []control.Output {
	if _, ok := in.(control.MembersChanged); ok {
		w.n.changes++
	}
	return nil
}

func (watcher) Publish(time.Time, *control.Snapshot) {}

func (f *fabric) send(from *node, tell control.SendMessage) {
	size := proto.Size(&peerv1.DeliverRequest{From: from.self.ID, Incarnation: from.self.Incarnation, Messages: []*peerv1.Message{tell.Message}})
	f.bytes += size + httpRequest + httpResponse
	f.inbox = append(f.inbox, func() {
		to := f.byID[tell.To]
		if to == nil || to.down || from.down || f.cut[[2]string{from.self.ID, tell.To}] {
			f.step(from, control.DeliverFailed{To: tell.To})
			return
		}
		f.step(to, control.MessageReceived{From: from.self.ID, Incarnation: from.self.Incarnation, Message: tell.Message})
		f.step(from, control.Delivered{To: tell.To})
	})
}

func (f *fabric) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(control.TickInterval) {
		arrived := f.inbox
		f.inbox = nil
		for _, deliver := range arrived {
			deliver()
		}
		for _, n := range f.nodes {
			f.step(n, control.Tick{})
		}
	}
}

func (n *node) sees() map[string]control.EntryHost {
	var s control.Snapshot
	n.machine.Publish(time.Time{}, &s)
	return s.Hosts
}

// until runs until every live host satisfies a condition and returns the time taken.
func (f *fabric) until(t testing.TB, limit time.Duration, holds func(*node) bool) time.Duration {
	t.Helper()
	begin := f.now
	for f.now.Sub(begin) < limit {
		f.run(control.TickInterval)
		all := true
		for _, n := range f.nodes {
			all = all && (n.down || holds(n))
		}
		if all {
			return f.now.Sub(begin)
		}
	}
	require.Fail(t, "the hosts do not agree in time")
	return 0
}
