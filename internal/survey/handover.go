package survey

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
)

// HandOver sends this host's service-level accounts to one peer before the host
// stops. It does nothing if all peers are leaving. The call is not retried: a
// call without a response may have been applied, and accounts must not count
// twice.
func (s *Surveyor) HandOver(ctx context.Context) error {
	peer, found := handoverPeer(s.loop.Snapshot())
	if !found {
		return nil
	}
	accounts := s.recorder.Drain(time.Now())
	ctx, cancel := context.WithTimeout(ctx, zoneTimeout)
	defer cancel()
	_, err := s.dialer.Peer(peer.Address).TakeBurn(ctx, &peerv1.TakeBurnRequest{Accounts: accounts})
	return err
}

// ImportBurn adds the service-level accounts of a stopping host to this host's.
func (s *Surveyor) ImportBurn(accounts []*peerv1.BurnAccount) {
	s.recorder.Import(accounts, time.Now())
}

// handoverPeer returns a peer that is not leaving, preferably in another zone, or
// reports false if there is none. It chooses by a hash of both hosts' IDs, so that
// hosts that stop together use different peers.
func handoverPeer(snapshot *control.Snapshot) (peer control.EntryHost, found bool) {
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
			peer, best, found = host, weight, true
		}
	}
	return peer, found
}
