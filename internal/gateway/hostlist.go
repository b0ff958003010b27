package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// hostsTopic is the topic that holds the peer addresses of hosts by host name,
// for discovery.
const hostsTopic = "keyed.hosts"

// Timing of peer discovery.
const (
	// discoveryRetryInterval is the shortest pause after a failure to publish this
	// host's address or to read those of the others.
	discoveryRetryInterval = 400 * time.Millisecond
	// rediscoverAfter is the interval at which a host without peers reads the
	// addresses again.
	rediscoverAfter = 5 * time.Second
	// announcementDelay is the time in which all hosts have received a digest of a new one
	// that has their addresses.
	announcementDelay = 300 * time.Millisecond
	// epochCheckInterval is the pause between two checks whether the log's epoch has risen.
	epochCheckInterval = 200 * time.Millisecond
	// recordsRewrittenWithin is the time in which hosts notice that the log's epoch has risen
	// and write their records again, in addition to their share of rewriteSpread.
	recordsRewrittenWithin = 4 * time.Second
	// settledAfter is the time from which a list that was complete is taken for complete by
	// hosts that start: also those that could not reach the log have written their records.
	settledAfter = 30 * time.Second
	// completeMarkers is the number of hosts that note in the log that the list is complete.
	completeMarkers = 3
	// rewritesPerSecond bounds the records that all hosts write together when the epoch rises.
	rewritesPerSecond = 300
)

// rewriteSpread is the time over which a number of hosts write their records again.
func rewriteSpread(hosts int) time.Duration {
	return time.Duration(hosts) * time.Second / rewritesPerSecond
}

// eventFleetKnown is emitted when this host first has a complete list of all hosts.
var eventFleetKnown = event.Define(939, zapcore.InfoLevel, "fleet known")

// hostRecord is the value of a host in hostsTopic.
type hostRecord struct {
	PeerAddress string `json:"peers"`
}

// completeKey is the key in hostsTopic of a completeRecord. No host has this name.
const completeKey = "*complete"

// completeRecord says since when the list holds all hosts again in an epoch of the log.
type completeRecord struct {
	Epoch    int64 `json:"epoch"`
	AtMillis int64 `json:"atMillis"`
}

// settled reports whether the list has held all hosts for long in an epoch.
func settled(entries []topic.Entry, epoch int64, wall time.Time) bool {
	for _, entry := range entries {
		var record completeRecord
		if entry.Key == completeKey && json.Unmarshal(entry.Value, &record) == nil {
			return record.Epoch == epoch && wall.Sub(time.UnixMilli(record.AtMillis)) >= settledAfter
		}
	}
	return false
}

// errUnlisted is returned while the list of all hosts lacks this one.
var errUnlisted = eris.New("this host is not listed")

// discoverPeers writes this host's peer address to the log and reads those of the other
// hosts. While that fails, it asks peers, which may have read the list before.
//
// Load pattern: all hosts start again at the same moment, while the part of the log that
// lists them is down and the rest works. Each would take itself for the only one, and use
// the quotas of the whole fleet.
func (g *Gateway) discoverPeers(ctx context.Context) {
	log := &dependency{g: g, name: "log: hosts"}
	asked := &peerList{g: g, client: relay.NewClient()}
	own := &registration{g: g}
	for ctx.Err() == nil {
		hosts, err := own.listHosts(ctx)
		if err != nil {
			asked.request(ctx)
			sleep(ctx, max(log.failed(err), discoveryRetryInterval))
			continue
		}
		log.succeeded()
		complete, source := own.listsAll(len(hosts))
		g.submitHosts(ctx, hosts, complete, source)
		if !complete {
			asked.requestUntil(ctx, own.rewrittenAt(len(hosts)))
			continue
		}
		own.awaitDiscovery(ctx, len(hosts))
	}
}

// registration is this host's record in the list of all hosts.
type registration struct {
	g *Gateway
	// written is set once the record is in the log, in an epoch.
	written bool
	epoch   int64
	// listedAt is the boot time at which the list was first read in listedEpoch, 0 before.
	listedAt    time.Duration
	listedEpoch int64
	// settled is set if the list has held all hosts for long, and marked once this host has
	// noted in listedEpoch that it does.
	settled, marked bool
}

// listHosts writes this host's record unless that was done in the log's epoch, and then reads
// those of all hosts. A host whose record comes later finds this one's. A write without a
// response, or one of an earlier process, counts once the record is read.
func (r *registration) listHosts(ctx context.Context) ([]members.ListedHost, error) {
	var writeErr error
	if !r.written || r.g.updates.epoch.Load() > r.epoch {
		writeErr = r.write(ctx)
	}
	entries, end, err := r.g.ports.Feed.Newest(ctx, hostsTopic)
	if err != nil {
		return nil, err
	}
	hosts := listedHosts(entries)
	listed := slices.Contains(hosts, members.ListedHost{Name: r.g.options.Host, PeerAddress: r.g.peerAddress})
	if !listed && (!r.written || end.Epoch != r.epoch) {
		r.written = false
		return nil, eris.Wrapf(errUnlisted, "in epoch %d: %v", end.Epoch, writeErr)
	}
	if r.listedAt == 0 || end.Epoch > r.listedEpoch {
		r.listedAt, r.listedEpoch, r.marked = boottime.Now(), end.Epoch, false
	}
	r.settled = settled(entries, end.Epoch, time.Now())
	r.written, r.epoch = true, max(end.Epoch, r.epoch)
	return hosts, nil
}

func (r *registration) write(ctx context.Context) error {
	record, err := json.Marshal(hostRecord{PeerAddress: r.g.peerAddress})
	if err != nil {
		return eris.Wrap(err, "encode the host's record")
	}
	end, err := r.g.ports.Feed.Put(ctx, hostsTopic, r.g.options.Host, record, topic.Anywhere)
	r.written = err == nil
	if r.written {
		r.epoch = end.Epoch
	}
	return err
}

// The sources of the list of all hosts, other than a peer.
const (
	sourceLog        = "log"
	sourceSettledLog = "settled log"
)

// listsAll reports whether the list holds all hosts, and where that is known from.
//
// Scenario: the log comes back from a copy that lacks the records of hosts that started lately,
// and another host starts before they have written them again. It would use the limits of
// fewer hosts than there are. Hosts that knew their fleet before still know it.
func (r *registration) listsAll(hosts int) (complete bool, source string) {
	if r.settled {
		return true, sourceSettledLog
	}
	return r.epoch == 0 || r.g.loop.Snapshot().FleetKnown() || boottime.Now() >= r.rewrittenAt(hosts), sourceLog
}

// rewrittenAt returns the boot time at which all hosts have written their records again.
func (r *registration) rewrittenAt(hosts int) time.Duration {
	return r.listedAt + recordsRewrittenWithin + rewriteSpread(hosts)
}

// markComplete notes in the log that the list holds all hosts again, once in an epoch that a copy
// began, for fleets that start later. Only some hosts do so.
//
// Scenario: all hosts start again hours after a copy. None has a peer that knows the fleet, and
// all would wait for records that were written long ago, and refuse customers with a quota.
func (r *registration) markComplete(ctx context.Context, hosts int) {
	if r.marked || r.listedEpoch == 0 || r.settled || boottime.Now() < r.rewrittenAt(hosts) {
		return
	}
	r.marked = true
	if rendezvous.Rank(completeKey, r.g.options.Host, r.g.loop.Snapshot().SenderNames) >= completeMarkers {
		return
	}
	record, err := json.Marshal(completeRecord{Epoch: r.listedEpoch, AtMillis: time.Now().UnixMilli()})
	if err == nil {
		_, err = r.g.ports.Feed.Put(ctx, hostsTopic, completeKey, record, topic.Anywhere)
	}
	if err != nil {
		r.g.events.Emit(eventLost, zap.String("dependency", "log: complete list of hosts"), event.Err(err))
	}
}

// awaitDiscovery waits until the list is to be read again: at intervals by a host without
// peers, and once by all when the log's epoch has risen, since records may be gone then.
func (r *registration) awaitDiscovery(ctx context.Context, hosts int) {
	for waited := time.Duration(0); ctx.Err() == nil; waited += epochCheckInterval {
		if r.g.updates.epoch.Load() > r.epoch {
			sleep(ctx, rand.N(max(rewriteSpread(hosts), 1)))
			return
		}
		r.markComplete(ctx, hosts)
		if waited >= rediscoverAfter && len(r.g.loop.Snapshot().Peers) == 0 {
			return
		}
		sleep(ctx, epochCheckInterval)
	}
}

// submitHosts passes hosts from the list of all hosts to the loop.
func (g *Gateway) submitHosts(ctx context.Context, hosts []members.ListedHost, complete bool, source string) {
	if complete && !g.loop.Snapshot().FleetKnown() {
		g.events.Emit(eventFleetKnown, zap.Int("hosts", len(hosts)), zap.String("source", source), zap.Duration("uptime", boottime.Now()-g.startedAt))
	}
	g.loop.Submit(ctx, control.HostsFound{Hosts: hosts, Complete: complete})
	g.listed.Store(&hosts)
}

func listedHosts(entries []topic.Entry) []members.ListedHost {
	var hosts []members.ListedHost
	for _, entry := range entries {
		var record hostRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			continue
		}
		if _, err := netip.ParseAddrPort(record.PeerAddress); err == nil {
			hosts = append(hosts, members.ListedHost{Name: entry.Key, PeerAddress: record.PeerAddress})
		}
	}
	return hosts
}

// hosts returns the hosts that this host knows, as it responds to hosts that ask for them.
func (g *Gateway) hosts() relay.Hosts {
	s := g.loop.Snapshot()
	known := relay.Hosts{Complete: s.FleetKnown()}
	if !known.Complete {
		return known
	}
	listed := g.listed.Load()
	if listed != nil {
		known.Hosts = slices.Clone(*listed)
	}
	for _, p := range s.Peers {
		known.Hosts = append(known.Hosts, members.ListedHost{Name: p.Host, PeerAddress: p.PeerAddress})
	}
	return known
}

// peersAsked is the number of peers that are asked at a time for the list of all hosts.
const peersAsked = 3

// peerList gets the list of all hosts from peers.
type peerList struct {
	g      *Gateway
	client *relay.Client
	// announcedAt is the boot time at which this host first had a list, 0 before. Since
	// then it sends digests to all hosts.
	announcedAt time.Duration
}

// request asks some peers for the list, unless this host knows its fleet. The list is complete
// if this host was announced a while before: of two hosts that ask different peers at the same
// time, at least one finds the other.
func (l *peerList) request(ctx context.Context) {
	s := l.g.loop.Snapshot()
	if s.FleetKnown() {
		return
	}
	peers := slices.Clone(s.Peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(peersAsked, len(peers))] {
		now := boottime.Now()
		known, err := l.client.Hosts(ctx, peer.PeerAddress)
		if err != nil || !known.Complete {
			continue
		}
		complete := l.announcedAt > 0 && now-l.announcedAt >= announcementDelay
		if l.announcedAt == 0 {
			l.announcedAt = boottime.Now()
		}
		l.g.submitHosts(ctx, known.Hosts, complete, peer.Host)
		return
	}
}

// requestUntil asks peers at intervals until this host knows its fleet, or a boot time.
func (l *peerList) requestUntil(ctx context.Context, until time.Duration) {
	for ctx.Err() == nil && !l.g.loop.Snapshot().FleetKnown() && boottime.Now() < until {
		l.request(ctx)
		sleep(ctx, discoveryRetryInterval)
	}
}
