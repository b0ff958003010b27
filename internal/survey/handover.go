package survey

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// HandOver gives this host's accounts of service levels to one peer, before
// the host stops. It is tried once: a call without an answer may have been
// taken, and accounts must not count twice.
func (s *Surveyor) HandOver(ctx context.Context) error {
	heir, found := heirOf(s.loop.Snapshot())
	if !found {
		return nil
	}
	accounts := s.recorder.Drain(time.Now())
	ctx, cancel := context.WithTimeout(ctx, zoneTimeout)
	defer cancel()
	_, err := s.dialer.Peer(heir.Address).TakeBurn(ctx, &peerv1.TakeBurnRequest{Accounts: accounts})
	return err
}

// ImportBurn adds the accounts of a host that stops to those of this host.
func (s *Surveyor) ImportBurn(accounts []*peerv1.BurnAccount) {
	s.recorder.Import(accounts, time.Now())
}

// heirOf chooses a peer that stays, in another zone where there is one. Hosts
// that stop together spread over their peers.
func heirOf(snapshot *control.Snapshot) (heir control.EntryHost, found bool) {
	best := uint64(0)
	for _, host := range snapshot.Hosts {
		if host.ID == snapshot.Self.ID || host.Leaving {
			continue
		}
		weight := xxhash.Sum64String(snapshot.Self.ID+"\x00"+host.ID) >> 1
		if host.Zone != snapshot.Self.Zone {
			weight |= 1 << 63
		}
		if !found || weight > best {
			heir, best, found = host, weight, true
		}
	}
	return heir, found
}
