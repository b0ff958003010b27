package membership

import (
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// member is what this host believes of another entry host.
type member struct {
	host         control.EntryHost
	status       peerv1.HostStatus
	counter      uint64
	configOffset int64
	// listed tells that the newest host list names the host.
	listed bool
	// evidence is when the host was last heard of directly.
	evidence time.Time
	// suspected is when the present suspicion began.
	suspected time.Time
	// joined is when the present incarnation became known.
	joined time.Time
}

// live reports whether a host counts as live; a suspect does until its time
// has passed.
func (m *member) live() bool { return m.status != peerv1.HostStatus_HOST_STATUS_DEAD }

// supersedes reports whether a update about a host replaces what is believed: a
// higher counter wins, and with equal counters the graver status.
func supersedes(update *peerv1.HostState, believed *member) bool {
	if update.GetCounter() != believed.counter {
		return update.GetCounter() > believed.counter
	}
	return severity(update.GetStatus()) > severity(believed.status)
}

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

// state returns the update that this host passes on about a member.
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
