// Package listing distributes the platform's host list and its reclaim notices
// to every host. In a small region each host reads them from the platform. In a
// large one only two hosts do; the first of them, the publisher, sends changes
// to the others, and a host whose list has another hash than the publisher's
// reads the list from the platform.
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
	// maxHostsAllRead is the largest number of hosts in a region at which every
	// host reads from the platform.
	maxHostsAllRead = 16
	// readerCount is the number of readers in a larger region.
	readerCount = 2
	// readInterval is the least time between two reads of a reader.
	readInterval = 400 * time.Millisecond
	// readTimeout is how long a read without a response delays the next.
	readTimeout = 3 * time.Second
	// refreshInterval is the time between two messages of the publisher while
	// nothing changes.
	refreshInterval = 30 * time.Second
	// publisherTimeout is the time without a message after which a host reads
	// from the platform.
	publisherTimeout = 3 * refreshInterval
	// repairInterval is the least time between two reads of a host that is not a
	// reader.
	repairInterval = 2 * time.Second
)

// electionKey is the rendezvous key by which the readers of a region are chosen.
const electionKey = "host list"

func init() { kernel.Register(&Machine{}) }

// Machine is the control state of the host list.
type Machine struct {
	self     control.Self
	document *document.Document
	members  []string
	// reader is set when this host reads the list regularly, publisher when it
	// also sends changes to the others.
	reader, publisher bool

	hosts    map[string]hostlist.Host
	asOf     time.Time
	listHash uint64
	notices  []cloud.Notice

	requestedAt time.Time
	readPending bool
	updatedAt   time.Time
	sentAt      time.Time
	// outOfSync is set when this host's list differs or may differ from the
	// publisher's, so that the host must read from the platform.
	outOfSync bool
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
	m.outOfSync = true
}

// Step implements control.Machine.
func (m *Machine) Step(now time.Time, in control.Input) []control.Output {
	switch in := in.(type) {
	case control.Configured:
		m.outOfSync = m.outOfSync || !sameRegions(m.document, in.Document)
		m.document = in.Document
	case control.MembersChanged:
		m.elect(in.Hosts)
	case control.HostsRead:
		m.readPending = false
		if in.Err == nil {
			return m.applyList(now, in.List)
		}
	case control.NoticesRead:
		if in.Err == nil {
			return m.applyNotices(now, in.Notices)
		}
	case control.MessageReceived:
		if body, ok := in.Message.GetBody().(*peerv1.Message_List); ok {
			return m.applyDelta(now, body.List)
		}
	case control.Tick:
		return m.tick(now)
	}
	return nil
}

// elect determines whether this host is a reader and whether it is the publisher.
func (m *Machine) elect(hosts []control.EntryHost) {
	m.members = m.members[:0]
	var candidates []string
	for _, host := range hosts {
		m.members = append(m.members, host.ID)
		if !host.Leaving {
			candidates = append(candidates, host.ID)
		}
	}
	if len(m.members) <= maxHostsAllRead {
		m.reader, m.publisher = true, false
		return
	}
	order := rendezvous.Order(electionKey, candidates)
	place := slices.Index(order, m.self.ID)
	m.reader = place >= 0 && place < readerCount
	m.publisher = place == 0
}

func (m *Machine) tick(now time.Time) []control.Output {
	if m.readPending && now.Sub(m.requestedAt) < readTimeout {
		return nil
	}
	if !m.due(now) {
		return m.sendRefresh(now)
	}
	m.requestedAt = now
	m.readPending = true
	return append(m.sendRefresh(now), control.ReadHosts{}, control.ReadNotices{})
}

func (m *Machine) due(now time.Time) bool {
	since := now.Sub(m.requestedAt)
	if m.reader {
		return since >= readInterval
	}
	return since >= repairInterval && (m.outOfSync || now.Sub(m.updatedAt) >= publisherTimeout)
}

// sendRefresh sends the hash of the list and the notices to the others if the
// publisher sent nothing for refreshInterval.
func (m *Machine) sendRefresh(now time.Time) []control.Output {
	if !m.publisher || now.Sub(m.sentAt) < refreshInterval {
		return nil
	}
	return m.sendDelta(now, &peerv1.ListDelta{})
}

// applyList applies a list that this host read from the platform. A list older
// than the known one is ignored.
func (m *Machine) applyList(now time.Time, list hostlist.List) []control.Output {
	m.updatedAt = now
	m.outOfSync = false
	if list.AsOf.Before(m.asOf) {
		return nil
	}
	delta := &peerv1.ListDelta{}
	next := make(map[string]hostlist.Host, len(m.hosts))
	for _, host := range list.Hosts {
		if !m.relevant(host) {
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
	m.listHash = hashHosts(next)
	outs := []control.Output{m.hostsListed()}
	if m.publisher {
		outs = append(outs, m.sendDelta(now, delta)...)
	}
	return outs
}

// relevant reports whether a host of the list is kept: entry hosts of all
// regions, upstream hosts of this region or of an unknown zone, and all hosts
// while there is no configuration.
func (m *Machine) relevant(host hostlist.Host) bool {
	if host.Role == hostlist.RoleEntry || m.document == nil {
		return true
	}
	zone := m.document.Zone(host.Zone)
	return zone == nil || zone.Region == m.self.Region
}

// sameRegions reports whether two documents have the same availability zones in
// the same regions.
func sameRegions(a, b *document.Document) bool {
	if a == nil || b == nil {
		return false
	}
	return slices.EqualFunc(a.AvailabilityZones, b.AvailabilityZones, func(x, y document.AvailabilityZone) bool {
		return x.Name == y.Name && x.Region == y.Region
	})
}

func (m *Machine) applyNotices(now time.Time, notices []cloud.Notice) []control.Output {
	slices.SortFunc(notices, func(a, b cloud.Notice) int { return cmp.Compare(a.HostID, b.HostID) })
	if slices.EqualFunc(m.notices, notices, func(a, b cloud.Notice) bool {
		return a.HostID == b.HostID && a.Deadline.Equal(b.Deadline)
	}) {
		return nil
	}
	m.notices = notices
	outs := []control.Output{control.Emit{Input: control.NoticesListed{Notices: notices}}}
	if m.publisher {
		outs = append(outs, m.sendDelta(now, &peerv1.ListDelta{})...)
	}
	return outs
}

// sendDelta sends a change, with the hash of the list and all notices, to all
// other members; readers ignore it.
func (m *Machine) sendDelta(now time.Time, delta *peerv1.ListDelta) []control.Output {
	m.sentAt = now
	delta.AsOfUnixMs = m.asOf.UnixMilli()
	delta.Digest = m.listHash
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

// applyDelta applies a change sent by the publisher. If the list then has
// another hash than the publisher's, this host reads it from the platform.
func (m *Machine) applyDelta(now time.Time, delta *peerv1.ListDelta) []control.Output {
	if m.reader {
		return nil
	}
	m.updatedAt = now
	outs := m.applyPeerNotices(delta.GetNotices())
	asOf := time.UnixMilli(delta.GetAsOfUnixMs())
	if asOf.Before(m.asOf) {
		return outs
	}
	m.asOf = asOf
	if delta.GetDigest() == m.listHash {
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
	m.listHash = hashHosts(next)
	m.outOfSync = m.listHash != delta.GetDigest()
	return append(outs, m.hostsListed())
}

func (m *Machine) applyPeerNotices(received []*peerv1.ReclaimNotice) []control.Output {
	notices := make([]cloud.Notice, 0, len(received))
	for _, notice := range received {
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

// hostsListed returns an output that emits the current list.
func (m *Machine) hostsListed() control.Output {
	list := hostlist.List{AsOf: m.asOf, Hosts: make([]hostlist.Host, 0, len(m.hosts))}
	for _, id := range sortedIDs(m.hosts) {
		list.Hosts = append(list.Hosts, m.hosts[id])
	}
	return control.Emit{Input: control.HostsListed{List: list}}
}

// Publish implements control.Machine.
func (*Machine) Publish(time.Time, *control.Snapshot) {}
