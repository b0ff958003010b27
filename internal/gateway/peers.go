package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Limits of the directory's responses.
const (
	// directoryTTL is how long callers may cache a response.
	directoryTTL = 2 * time.Second
	// maxDirectoryHosts bounds the hosts in a response.
	maxDirectoryHosts = 64
)

func (g *Gateway) receiveDigests(ctx context.Context, socket *net.UDPConn) {
	buf := make([]byte, members.MaxDatagramBytes)
	assembler := members.NewAssembler()
	for ctx.Err() == nil {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			sleep(ctx, minReadBackoff)
			continue
		}
		message := assembler.Add(from, buf[:n])
		if message == nil {
			continue
		}
		input, err := decodeMessage(message)
		if err != nil {
			g.events.Emit(eventUndecodable, event.Err(err))
			continue
		}
		g.loop.Submit(ctx, input)
	}
}

// decodeMessage returns the input to the loop that a message of a peer holds.
func decodeMessage(data []byte) (any, error) {
	if members.IsSummary(data) {
		summary, err := members.DecodeSummary(data)
		return control.SummaryReceived{Summary: summary}, err
	}
	digest, err := members.Decode(data)
	return control.DigestReceived{Digest: digest}, err
}

func (g *Gateway) sendDigests(ctx context.Context, socket *net.UDPConn) {
	// messages counts the messages that were encoded. It begins elsewhere in each process.
	messages := g.incarnation
	for {
		select {
		case <-ctx.Done():
			return
		case batch := <-g.loop.Outgoing():
			g.sendBatch(socket, batch, &messages)
		}
	}
}

// sendBatch sends the messages of a batch; each content is encoded once.
func (g *Gateway) sendBatch(socket *net.UDPConn, batch control.Batch, messages *uint64) {
	type content struct {
		detail members.Detail
		scope  members.Scope
	}
	encoded := map[content][][]byte{}
	for _, send := range batch.Sends {
		to, err := netip.ParseAddrPort(send.Address)
		if err != nil {
			continue
		}
		key := content{send.Detail, send.Scope}
		datagrams := encoded[key]
		if datagrams == nil {
			message, err := g.encodeMessage(batch, send)
			if err != nil {
				g.events.Emit(eventUndecodable, event.Err(err))
				return
			}
			*messages++
			datagrams = members.Split(message, *messages)
			encoded[key] = datagrams
		}
		for _, datagram := range datagrams {
			// A failed send is like a lost datagram: the next digest follows, and the
			// peer drops this host if none arrives.
			_, _ = socket.WriteToUDPAddrPort(datagram, to)
		}
	}
}

// encodeMessage encodes a summary or digest. A digest that is too long is sent with less detail,
// so that peers still know that this host is live.
func (g *Gateway) encodeMessage(batch control.Batch, send members.Outgoing) ([]byte, error) {
	if send.Scope != members.NoScope {
		return members.EncodeSummary(batch.Summaries[send.Scope])
	}
	for detail := send.Detail; ; detail-- {
		data, err := members.Encode(batch.Digest.Trim(detail))
		if !errors.Is(err, members.ErrTooLong) || detail == members.Heartbeat {
			return data, err
		}
		g.events.Emit(eventLongDigest, event.Err(err))
	}
}

// Digest implements control.Observer.
func (g *Gateway) Digest() *members.Digest {
	g.digestSequence++
	now := boottime.Now()
	inFlight, suspects := g.inFlight.InFlight(now)
	crashes, cleared := g.poison.DigestEntries(now)
	token, age := g.duties.HeldToken()
	view := g.loop.Snapshot().View
	provenEpoch, provenVersion := g.provenConfig()
	var rolloutShares []members.VersionShare
	if g.updates.epoch.Load() > 0 {
		rolloutShares = g.duties.RememberedShares()
	}
	return &members.Digest{
		Host: g.options.Host, Zone: g.options.AvailabilityZone, CallerAddress: g.options.Listen.Callers, PeerAddress: g.peerAddress,
		Incarnation: g.incarnation, Sequence: g.digestSequence, Ready: g.ready(), Stopping: g.stopping.Load(),
		LedgerToken: token, LedgerAge: age, InFlight: inFlight, Suspects: suspects,
		Crashes: crashes, Cleared: cleared,
		QuotaUsed: g.quota.Used(), Usage: g.usage.Recent(g.usage.Now()), Demand: g.inFlight.Demand(),
		VersionStats: g.inFlight.VersionStats(view.Rollouts), TargetStats: g.inFlight.TargetStats(view), VersionShares: g.duties.VersionShares(),
		ViewAge: g.viewAge(now), Extension: members.Extension{Leaving: g.advisories.Leaving(), Tree: true, Strength: g.options.Strength, Uptime: now - g.startedAt, Observed: g.observed.Recent(now), ProvenEpoch: provenEpoch, ProvenVersion: provenVersion, RolloutShares: rolloutShares},
	}
}

// Counted implements control.Observer.
func (g *Gateway) Counted() uint64 { return g.usage.Total() }

// callerEndpoint is the address of a host for callers, with its availability
// zone.
type callerEndpoint struct{ address, zone string }

// callerEndpoints returns the live hosts that are not stopping, or only the
// ready ones among them.
func (g *Gateway) callerEndpoints(onlyReady bool) []callerEndpoint {
	var hosts []callerEndpoint
	if !g.stopping.Load() && (g.ready() || !onlyReady) {
		hosts = append(hosts, callerEndpoint{g.options.Listen.Callers, g.options.AvailabilityZone})
	}
	for _, p := range g.loop.Snapshot().Peers {
		if !p.Stopping && (p.Ready || !onlyReady) {
			hosts = append(hosts, callerEndpoint{p.CallerAddress, p.Zone})
		}
	}
	return hosts
}

// Hosts implements Directory. Hosts in the caller's zone come first. While no
// host is ready, it returns all live hosts: their refusals say that the request
// did not run and when to retry.
func (g *Gateway) Hosts(zone string) ([]string, time.Duration) {
	hosts := g.callerEndpoints(true)
	if len(hosts) == 0 {
		hosts = g.callerEndpoints(false)
	}
	sort.Slice(hosts, func(i, j int) bool {
		if sameZone := hosts[i].zone == zone; sameZone != (hosts[j].zone == zone) {
			return sameZone
		}
		return rendezvous.Weight(zone, hosts[i].address) > rendezvous.Weight(zone, hosts[j].address)
	})
	addresses := make([]string, 0, len(hosts))
	for _, h := range hosts[:min(len(hosts), maxDirectoryHosts)] {
		addresses = append(addresses, h.address)
	}
	return addresses, directoryTTL
}
