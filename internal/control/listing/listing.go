// Package listing brings the platform's host list and its reclaim notices to
// every host. In a small region each host reads them itself. In a large one
// two hosts do; the first of them tells the others what changed, and a host
// whose list has another digest than the publisher's reads the list itself.
package listing

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/hostlist"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

const (
	// allRead is the number of hosts of a region up to which each reads itself.
	allRead = 16
	// readers is the number of hosts that read in a larger region.
	readers = 2
	// readInterval is the time between two reads of a reader.
	readInterval = 400 * time.Millisecond
	// readTimeout is how long an unanswered read holds up the next.
	readTimeout = 3 * time.Second
	// reminderInterval is the time between two messages of the publisher when
	// nothing changes.
	reminderInterval = 30 * time.Second
	// silence is how long a host goes without a message before it reads itself.
	silence = 3 * reminderInterval
	// repairDelay is the least time between two reads of a host that is no reader.
	repairDelay = 2 * time.Second
)

// electionKey is what the readers of a region are chosen by.
const electionKey = "host list"

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of the host list.
type Machine struct {
	self     control.Self
	document *document.Document
	members  []string
	// reader tells that this host reads the list, publisher that it also tells
	// the others.
	reader, publisher bool

	hosts   map[string]hostlist.Host
	asOf    time.Time
	digest  uint64
	notices []cloud.Notice

	asked   time.Time
	waiting bool
	heard   time.Time
	told    time.Time
	// repair tells that this host's list differs from the publisher's.
	repair bool
}

var (
	_ control.Machine    = (*Machine)(nil)
	_ kernel.Provisioner = (*Machine)(nil)
)

// ModuleInfo implements kernel.Module.
func (*Machine) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "control.listing", New: func() kernel.Module { return new(Machine) }}
}

// Provision implements kernel.Provisioner.
func (m *Machine) Provision(ctx *kernel.Context) error {
	m.Init(ctx.Self)
	return nil
}

// Init prepares a machine for a host.
func (m *Machine) Init(self control.Self) {
	m.self = self
	m.hosts = map[string]hostlist.Host{}
	m.repair = true
}

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		m.repair = m.repair || !sameRegions(m.document, in.Document)
		m.document = in.Document
	case control.MembersChanged:
		m.elect(in.Hosts)
	case control.HostsRead:
		m.waiting = false
		if in.Err == nil {
			return m.read(now, in.List)
		}
	case control.NoticesRead:
		if in.Err == nil {
			return m.readNotices(now, in.Notices)
		}
	case control.MessageReceived:
		if body, ok := in.Message.GetBody().(*peerv1.Message_List); ok {
			return m.take(now, body.List)
		}
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

// elect finds out whether this host is a reader.
func (m *Machine) elect(hosts []control.EntryHost) {
	m.members = m.members[:0]
	var candidates []string
	for _, host := range hosts {
		m.members = append(m.members, host.ID)
		if !host.Leaving {
			candidates = append(candidates, host.ID)
		}
	}
	if len(m.members) <= allRead {
		m.reader, m.publisher = true, false
		return
	}
	order := rendezvous.Order(electionKey, candidates)
	place := slices.Index(order, m.self.ID)
	m.reader = place >= 0 && place < readers
	m.publisher = place == 0
}

func (m *Machine) tick(now time.Time) []control.Output {
	if m.waiting && now.Sub(m.asked) < readTimeout {
		return nil
	}
	if !m.due(now) {
		return m.remind(now)
	}
	m.asked = now
	m.waiting = true
	return append(m.remind(now), control.ReadHosts{}, control.ReadNotices{})
}

func (m *Machine) due(now time.Time) bool {
	since := now.Sub(m.asked)
	if m.reader {
		return since >= readInterval
	}
	return since >= repairDelay && (m.repair || now.Sub(m.heard) >= silence)
}

// remind tells the others the digest from time to time.
func (m *Machine) remind(now time.Time) []control.Output {
	if !m.publisher || now.Sub(m.told) < reminderInterval {
		return nil
	}
	return m.tell(now, &peerv1.ListDelta{})
}

// read takes a list that this host read itself.
func (m *Machine) read(now time.Time, list hostlist.List) []control.Output {
	m.heard = now
	m.repair = false
	if list.AsOf.Before(m.asOf) {
		return nil
	}
	delta := &peerv1.ListDelta{}
	next := make(map[string]hostlist.Host, len(m.hosts))
	for _, host := range list.Hosts {
		if !m.concerns(host) {
			continue
		}
		next[host.ID] = host
		if m.hosts[host.ID] != host {
			delta.Put = append(delta.Put, toPeer(host))
		}
	}
	for id := range m.hosts {
		if _, listed := next[id]; !listed {
			delta.Removed = append(delta.Removed, id)
		}
	}
	m.asOf = list.AsOf
	if len(delta.Put)+len(delta.Removed) == 0 {
		return nil
	}
	m.hosts = next
	m.digest = digest(next)
	outs := []control.Output{m.listed()}
	if m.publisher {
		outs = append(outs, m.tell(now, delta)...)
	}
	return outs
}

// concerns reports whether a host of the list matters here: entry hosts of
// all regions, and the upstreams of this one.
func (m *Machine) concerns(host hostlist.Host) bool {
	if host.Role == hostlist.RoleEntry || m.document == nil {
		return true
	}
	zone := m.document.Zone(host.Zone)
	return zone == nil || zone.Region == m.self.Region
}

// sameRegions reports whether two documents put the same zones in the same regions.
func sameRegions(a, b *document.Document) bool {
	if a == nil || b == nil {
		return false
	}
	return slices.EqualFunc(a.AvailabilityZones, b.AvailabilityZones, func(x, y document.AvailabilityZone) bool {
		return x.Name == y.Name && x.Region == y.Region
	})
}

func (m *Machine) readNotices(now time.Time, notices []cloud.Notice) []control.Output {
	slices.SortFunc(notices, func(a, b cloud.Notice) int { return cmp.Compare(a.HostID, b.HostID) })
	if slices.EqualFunc(m.notices, notices, func(a, b cloud.Notice) bool {
		return a.HostID == b.HostID && a.Deadline.Equal(b.Deadline)
	}) {
		return nil
	}
	m.notices = notices
	outs := []control.Output{control.Emit{Input: control.NoticesListed{Notices: notices}}}
	if m.publisher {
		outs = append(outs, m.tell(now, &peerv1.ListDelta{})...)
	}
	return outs
}

// tell sends a change to the members that do not read themselves.
func (m *Machine) tell(now time.Time, delta *peerv1.ListDelta) []control.Output {
	m.told = now
	delta.AsOfUnixMs = m.asOf.UnixMilli()
	delta.Digest = m.digest
	for _, notice := range m.notices {
		delta.Notices = append(delta.Notices, &peerv1.ReclaimNotice{
			Host: notice.HostID, DeadlineUnixMs: notice.Deadline.UnixMilli(),
		})
	}
	message := &peerv1.Message{Body: &peerv1.Message_List{List: delta}}
	var outs []control.Output
	for _, id := range m.members {
		if id != m.self.ID {
			outs = append(outs, control.SendMessage{To: id, Message: message})
		}
	}
	return outs
}

// take applies a change that the publisher told of.
func (m *Machine) take(now time.Time, delta *peerv1.ListDelta) []control.Output {
	if m.reader {
		return nil
	}
	m.heard = now
	outs := m.takeNotices(delta.GetNotices())
	asOf := time.UnixMilli(delta.GetAsOfUnixMs())
	if asOf.Before(m.asOf) {
		return outs
	}
	m.asOf = asOf
	if delta.GetDigest() == m.digest {
		return outs
	}
	next := make(map[string]hostlist.Host, len(m.hosts))
	for id, host := range m.hosts {
		next[id] = host
	}
	for _, host := range delta.GetPut() {
		next[host.GetId()] = fromPeer(host)
	}
	for _, id := range delta.GetRemoved() {
		delete(next, id)
	}
	m.hosts = next
	m.digest = digest(next)
	m.repair = m.digest != delta.GetDigest()
	return append(outs, m.listed())
}

func (m *Machine) takeNotices(told []*peerv1.ReclaimNotice) []control.Output {
	notices := make([]cloud.Notice, 0, len(told))
	for _, notice := range told {
		notices = append(notices, cloud.Notice{
			HostID: notice.GetHost(), Deadline: time.UnixMilli(notice.GetDeadlineUnixMs()),
		})
	}
	if slices.Equal(m.notices, notices) {
		return nil
	}
	m.notices = notices
	return []control.Output{control.Emit{Input: control.NoticesListed{Notices: notices}}}
}

// listed raises the list as it is now.
func (m *Machine) listed() control.Output {
	list := hostlist.List{AsOf: m.asOf, Hosts: make([]hostlist.Host, 0, len(m.hosts))}
	for _, id := range sortedIDs(m.hosts) {
		list.Hosts = append(list.Hosts, m.hosts[id])
	}
	return control.Emit{Input: control.HostsListed{List: list}}
}

// Publish implements control.Machine.
func (*Machine) Publish(time.Time, *control.Snapshot) {}
