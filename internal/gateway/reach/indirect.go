package reach

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
)

// Sight is what a host sees of an upstream.
type Sight int8

// What a host sees of an upstream. Hosts send the numbers to each other.
const (
	// Unknown: it does not know the upstream, or did not respond.
	Unknown Sight = iota
	// Reached: the upstream accepts connections.
	Reached
	// OutOfReach: the upstream accepts no connection, others do.
	OutOfReach
	// AllOutOfReach: the host is isolated.
	AllOutOfReach
)

// Limits of indirect probes.
const (
	// peersAsked is the number of peers that are asked about one upstream.
	peersAsked = 3
	// maxQuestions bounds the upstreams about which peers are asked at a time.
	maxQuestions = 8
	// cutOffFor is the time for which a peer that reached an upstream answers for others too.
	cutOffFor = 500 * time.Millisecond
)

// Peer is a host that may be asked.
type Peer struct {
	Address string
	// Near is set if a fault that isolates this host may isolate the peer too, and Isolated
	// if the peer said that it is isolated.
	Near, Isolated bool
}

// IndirectProber asks peers to probe upstreams that this host, which is isolated, does not reach:
// they may have crashed all together. It is safe for concurrent use.
type IndirectProber struct {
	look func(ctx context.Context, address, upstream string) (Sight, error)
	// peers returns the live peers.
	peers func() []Peer
	// now returns the boot time.
	now       func() time.Duration
	questions chan struct{}
	// reachedAt is the boot time at which a peer last reached an upstream that this host did
	// not, 0 if never.
	reachedAt atomic.Int64
}

// NewIndirectProber returns a prober that asks peers by look, such as Client.Look.
func NewIndirectProber(look func(ctx context.Context, address, upstream string) (Sight, error), peers func() []Peer) *IndirectProber {
	return &IndirectProber{look: look, peers: peers, now: boottime.Now, questions: make(chan struct{}, maxQuestions)}
}

// Gone reports whether an upstream is out of reach for other hosts too: one that is not
// isolated does not reach it, or all that respond, and this one, are isolated. A host that has
// no peers decides alone.
func (p *IndirectProber) Gone(ctx context.Context, upstream string) bool {
	select {
	case p.questions <- struct{}{}:
		defer func() { <-p.questions }()
	case <-ctx.Done():
		return false
	}
	if at := p.reachedAt.Load(); at > 0 && p.now()-time.Duration(at) < cutOffFor {
		return false
	}
	peers := choose(p.peers())
	if len(peers) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sights := make(chan Sight, len(peers))
	for _, peer := range peers {
		go func() {
			// A peer without a response knows nothing.
			sight, _ := p.look(ctx, peer.Address, upstream)
			sights <- sight
		}()
	}
	gone := false
	for range peers {
		switch <-sights {
		case Reached:
			p.reachedAt.Store(int64(p.now()))
			return false
		case OutOfReach, AllOutOfReach:
			gone = true
		case Unknown:
		}
	}
	return gone
}

// choose returns some of the peers at random, those that are least likely to be isolated too
// first.
func choose(peers []Peer) []Peer {
	rest := make([]Peer, 0, len(peers))
	for _, i := range rand.Perm(len(peers)) {
		rest = append(rest, peers[i])
	}
	var chosen []Peer
	for _, fits := range []func(Peer) bool{
		func(peer Peer) bool { return !peer.Isolated && !peer.Near },
		func(peer Peer) bool { return !peer.Isolated && peer.Near },
		func(peer Peer) bool { return peer.Isolated },
	} {
		for _, peer := range rest {
			if fits(peer) && len(chosen) < peersAsked {
				chosen = append(chosen, peer)
			}
		}
	}
	return chosen
}
