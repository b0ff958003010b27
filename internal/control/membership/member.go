package membership

import (
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// member is an entry host in this host's view.
type member struct {
	host         control.EntryHost
	status       peerv1.HostStatus
	counter      uint64
	configOffset int64
	// listed is set when the newest host list names the host.
	listed bool
	// confirmedAt is when the host last responded or sent a message.
	confirmedAt time.Time
	// suspectedAt is when the current or last suspicion began.
	suspectedAt time.Time
	// joinedAt is when the current incarnation became known.
	joinedAt time.Time
}

// live reports whether a host counts as live; a suspect does until
// suspectTimeout.
func (m *member) live() bool { return m.status != peerv1.HostStatus_HOST_STATUS_DEAD }

// supersedes reports whether an update about a host replaces its known state: a
// higher counter wins, and with equal counters the more severe status.
func supersedes(update *peerv1.HostState, known *member) bool {
	if update.GetCounter() != known.counter {
		return update.GetCounter() > known.counter
	}
	return severity(update.GetStatus()) > severity(known.status)
}

// severity ranks statuses: dead above suspect above all others.
func severity(status peerv1.HostStatus) int {
	switch status {
	case peerv1.HostStatus_HOST_STATUS_SUSPECT:
		return 1
	case peerv1.HostStatus_HOST_STATUS_DEAD:
		return 2
	default:
		return 0
	}
}

// state returns the update about a member to gossip.
func (m *member) state(withAddress bool) *peerv1.HostState {
	update := &peerv1.HostState{
		Id: m.host.ID, Incarnation: m.host.Incarnation, Status: m.status,
		Counter: m.counter, ConfigOffset: m.configOffset,
	}
	if withAddress {
		update.Address, update.AvailabilityZone, update.Region = m.host.Address, m.host.Zone, m.host.Region
	}
	return update
}
