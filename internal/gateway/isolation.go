package gateway

import (
	"context"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reach"
)

// Events about whether this host reaches upstreams.
var (
	eventIsolated = event.Define(950, zapcore.WarnLevel, "host isolated from upstreams")
	eventReturned = event.Define(951, zapcore.InfoLevel, "host reaches upstreams again")
)

// announcer adds to the host's digests whether it is cut off from all upstreams.
type announcer struct{ *Gateway }

// Digest implements control.Observer.
func (a announcer) Digest() *members.Digest {
	digest := a.Gateway.Digest()
	digest.Extension.TakesForwarded = true
	if a.reach.Isolated() {
		digest.Extension.Isolated = true
		// The failures of an isolated host say nothing about upstreams.
		digest.Suspects = nil
	}
	return digest
}

// upstreams returns the upstreams of all services that are not draining.
func (g *Gateway) upstreams() []*catalog.Member {
	var all []*catalog.Member
	for _, members := range g.loop.Snapshot().View.Members {
		for _, m := range members {
			if !m.Draining {
				all = append(all, m)
			}
		}
	}
	return all
}

// look returns what this host sees of an upstream.
func (g *Gateway) look(ctx context.Context, upstream string) reach.Sight {
	for _, m := range g.upstreams() {
		if m.ID == upstream {
			return g.reach.Look(ctx, m.Address)
		}
	}
	return reach.Unknown
}

// probingPeers returns the peers that may be asked to probe upstreams.
func (g *Gateway) probingPeers() []reach.Peer {
	var all []reach.Peer
	for _, peer := range g.loop.Snapshot().Peers {
		all = append(all, reach.Peer{Address: peer.PeerAddress, Near: peer.Zone == g.options.AvailabilityZone, Isolated: peer.Extension.Isolated})
	}
	return all
}

// reachChanged emits an event when this host is cut off from all upstreams, and when it no
// longer is.
func (g *Gateway) reachChanged(isolated bool) {
	if isolated {
		g.events.Emit(eventIsolated, zap.Int("peers", len(g.loop.Snapshot().Peers)))
		return
	}
	g.events.Emit(eventReturned)
}
