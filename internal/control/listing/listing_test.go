package listing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/control/listing"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
)

// region is a region of hosts that share a platform and lose messages at the
// rate loss.
type region struct {
	now      time.Time
	random   *rand.Rand
	loss     float64
	list     hostlist.List
	notices  []cloud.Notice
	machines map[string]*listing.Machine
	listed   map[string]hostlist.List
	noticed  map[string][]cloud.Notice
	reads    int
	queue    []delivery
}

type delivery struct {
	to string
	in control.Input
}

func newRegion(count int) *region {
	r := &region{
		now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(7, 7)),
		machines: map[string]*listing.Machine{},
		listed:   map[string]hostlist.List{}, noticed: map[string][]cloud.Notice{},
	}
	for i := range count {
		id := fmt.Sprintf("entry-%d", i)
		m := &listing.Machine{}
		m.Init(control.Self{ID: id})
		r.machines[id] = m
		r.list.Hosts = append(r.list.Hosts, hostlist.Host{ID: id, Role: hostlist.RoleEntry})
	}
	r.updateMembers()
	return r
}

// updateMembers passes the live hosts to every machine.
func (r *region) updateMembers() {
	var hosts []control.EntryHost
	for id := range r.machines {
		hosts = append(hosts, control.EntryHost{ID: id})
	}
	for id := range r.machines {
		r.step(id, control.MembersChanged{Hosts: hosts})
	}
}

func (r *region) step(id string, in control.Input) {
	m := r.machines[id]
	if m == nil {
		return
	}
	for _, out := range m.Step(r.now, in) {
		switch out := out.(type) {
		case control.ReadHosts:
			r.reads++
			list := hostlist.List{AsOf: r.now, Hosts: append([]hostlist.Host(nil), r.list.Hosts...)}
			r.queue = append(r.queue, delivery{id, control.HostsRead{List: list}})
		case control.ReadNotices:
			notices := append([]cloud.Notice(nil), r.notices...)
			r.queue = append(r.queue, delivery{id, control.NoticesRead{Notices: notices}})
		case control.SendMessage:
			if r.random.Float64() >= r.loss {
				r.queue = append(r.queue, delivery{out.To, control.MessageReceived{From: id, Message: out.Message}})
			}
		case control.Emit:
			switch emitted := out.Input.(type) {
			case control.HostsListed:
				r.listed[id] = emitted.List
			case control.NoticesListed:
				r.noticed[id] = emitted.Notices
			}
		}
	}
}

func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(control.TickInterval)
		due := r.queue
		r.queue = nil
		for _, delivery := range due {
			r.step(delivery.to, delivery.in)
		}
		for i := range len(r.list.Hosts) {
			r.step(r.list.Hosts[i].ID, control.Tick{})
		}
	}
}

// requireAgreement checks that every live host has the platform's list and
// number of notices.
func (r *region) requireAgreement(t *testing.T) {
	t.Helper()
	for id := range r.machines {
		require.ElementsMatch(t, r.list.Hosts, r.listed[id].Hosts, id)
		require.Len(t, r.noticed[id], len(r.notices), id)
	}
}

func TestOnlyTheReadersOfALargeRegionRead(t *testing.T) {
	r := newRegion(60)
	r.run(5 * time.Second)
	r.requireAgreement(t)
	r.reads = 0
	r.list.Hosts[3].Leaving = true
	r.notices = []cloud.Notice{{HostID: "entry-9", Deadline: r.now.Add(time.Minute).Truncate(time.Millisecond)}}
	r.run(2 * time.Second)
	r.requireAgreement(t)
	r.run(58 * time.Second)
	// Two readers, every 0.4 s for a minute.
	require.LessOrEqual(t, r.reads, 2*150)
}

func TestEveryHostOfASmallRegionReads(t *testing.T) {
	r := newRegion(9)
	r.run(5 * time.Second)
	r.requireAgreement(t)
	r.list.Hosts[3].Leaving = true
	r.run(time.Second)
	r.requireAgreement(t)
}

// TestLostMessagesAreRepaired loses a third of all messages. A host whose list
// has another hash than the publisher's messages must read it from the platform.
func TestLostMessagesAreRepaired(t *testing.T) {
	r := newRegion(60)
	r.loss = 1.0 / 3
	r.run(5 * time.Second)
	for i := range 20 {
		r.list.Hosts[i].Version = "v2"
		r.run(time.Second)
	}
	r.run(4 * time.Minute)
	r.requireAgreement(t)
}

// TestFailedReadersAreReplaced removes half of the hosts, among them the
// publisher; a change must still reach the others.
func TestFailedReadersAreReplaced(t *testing.T) {
	r := newRegion(60)
	r.run(5 * time.Second)
	for i := range 30 {
		delete(r.machines, fmt.Sprintf("entry-%d", i))
	}
	r.updateMembers()
	r.run(5 * time.Second)
	r.list.Hosts[40].Version = "v2"
	r.run(2 * time.Second)
	r.requireAgreement(t)
}
