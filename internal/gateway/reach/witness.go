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

// Limits of questions to peers.
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

// Witnesses asks peers about upstreams that this host, which is isolated, does not reach: they
// may have crashed all together. It is safe for concurrent use.
type Witnesses struct {
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

// NewWitnesses returns witnesses that are asked by look, such as Client.Look.
func NewWitnesses(look func(ctx context.Context, address, upstream string) (Sight, error), peers func() []Peer) *Witnesses {
	return &Witnesses{look: look, peers: peers, now: boottime.Now, questions: make(chan struct{}, maxQuestions)}
}

// Gone reports whether an upstream is out of reach for other hosts too: one that is not
// isolated does not reach it, or all that respond, and this one, are isolated. A host that has
// no peers decides alone.
func (w *Witnesses) Gone(ctx context.Context, upstream string) bool {
	select {
	case w.questions <- struct{}{}:
		defer func() { <-w.questions }()
	case <-ctx.Done():
		return false
	}
	if at := w.reachedAt.Load(); at > 0 && w.now()-time.Duration(at) < cutOffFor {
		return false
	}
	peers := witnesses(w.peers())
	if len(peers) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sights := make(chan Sight, len(peers))
	for _, peer := range peers {
		go func() {
			// A peer without a response knows nothing.
			sight, _ := w.look(ctx, peer.Address, upstream)
			sights <- sight
		}()
	}
	gone := false
	for range peers {
		switch <-sights {
		case Reached:
			w.reachedAt.Store(int64(w.now()))
			return false
		case OutOfReach, AllOutOfReach:
			gone = true
		case Unknown:
		}
	}
	return gone
}

// witnesses returns some of the peers at random, those that are least likely to be isolated too
// first.
func witnesses(peers []Peer) []Peer {
	rest := make([]Peer, 0, len(peers))
	for _, i := range rand.Perm(len(peers)) {
		rest = append(rest, peers[i])
	}
	var chosen []Peer
	for _, fits := range []func(Peer) bool{
		func(p Peer) bool { return !p.Isolated && !p.Near },
		func(p Peer) bool { return !p.Isolated && p.Near },
		func(p Peer) bool { return p.Isolated },
	} {
		for _, peer := range rest {
			if fits(peer) && len(chosen) < peersAsked {
				chosen = append(chosen, peer)
			}
		}
	}
	return chosen
}
