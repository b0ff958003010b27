// Package gateway runs a gateway host, which proxies callers' requests to
// upstreams. It connects the parts of the host: view, peers, traffic and duties
// (usage reports, capacity orders and rollouts, which one host does for all).
//
// The log is the platform's store of topics, which hosts, operators and
// upstreams write; Feed is the access to it.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/connlimit"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/brittle"
	"github.com/marigoldmux/marigoldmux/internal/gateway/capacity"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/cold"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/forward"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/observation"
	"github.com/marigoldmux/marigoldmux/internal/gateway/options"
	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
	"github.com/marigoldmux/marigoldmux/internal/gateway/reach"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
	"github.com/marigoldmux/marigoldmux/internal/gateway/retry"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
	"github.com/marigoldmux/marigoldmux/internal/gateway/view"
	"github.com/marigoldmux/marigoldmux/internal/stdlog"
)

// ErrGateway is the root of errors from running a gateway.
var ErrGateway = eris.New("gateway")

// Events about a host's lifecycle, its dependencies and its view.
var (
	eventStarted       = event.Define(910, zapcore.InfoLevel, "gateway started")
	eventStopping      = event.Define(911, zapcore.InfoLevel, "gateway stopping")
	eventStopped       = event.Define(912, zapcore.InfoLevel, "gateway stopped")
	eventReloaded      = event.Define(913, zapcore.InfoLevel, "settings checked")
	eventConfigured    = event.Define(914, zapcore.InfoLevel, "configuration in effect")
	eventPeerUp        = event.Define(915, zapcore.InfoLevel, "peer is up")
	eventLost          = event.Define(916, zapcore.WarnLevel, "dependency lost")
	eventRegained      = event.Define(917, zapcore.InfoLevel, "dependency regained")
	eventUndecodable   = event.Define(918, zapcore.WarnLevel, "entry cannot be decoded")
	eventLongDigest    = event.Define(953, zapcore.WarnLevel, "digest sent with less detail")
	eventViewChanged   = event.Define(919, zapcore.InfoLevel, "view changed")
	eventSourceChanged = event.Define(928, zapcore.InfoLevel, "source of the view changed")
	eventSignal        = event.Define(931, zapcore.InfoLevel, "signal received")
	eventServerError   = event.Define(932, zapcore.WarnLevel, "server reports an error")
	eventCut           = event.Define(933, zapcore.WarnLevel, "connections in use were closed")
	eventCrowded       = event.Define(937, zapcore.WarnLevel, "connections made room for others")
	eventEpochRose     = event.Define(940, zapcore.WarnLevel, "log came back from a copy")
	eventProof         = event.Define(941, zapcore.InfoLevel, "proof of the configuration")
	eventPlacement     = event.Define(938, zapcore.InfoLevel, "placement by expected wait switched")
)

// Feed reads and writes the log. It reads the operators' changes and the
// upstreams' reports, reads and writes the hosts' addresses and the ledger of
// the duties, and writes the progress of rollouts.
type Feed interface {
	topic.Keyed
	duty.RolloutReporter
	// ReadOperator returns the operators' changes from a position on, or
	// everything in effect if its offset is negative. If there are no changes, it
	// waits for one for at most wait. The second result holds the errors of
	// changes that cannot be decoded.
	ReadOperator(ctx context.Context, from topic.Position, wait time.Duration) (catalog.OperatorUpdate, []error, error)
	// ReadUpstreams returns the upstreams' reports from a position on, or the
	// newest of each upstream if its offset is negative. The second result holds
	// the errors of reports that cannot be decoded.
	ReadUpstreams(ctx context.Context, from topic.Position) (catalog.UpstreamUpdate, []error, error)
}

// Directory lists the addresses of hosts for callers.
type Directory interface {
	// Hosts returns the addresses to which callers in an availability zone may
	// connect, in order of preference, and how long the list may be cached.
	Hosts(zone string) ([]string, time.Duration)
}

// Ports connect a gateway to the platform on which it runs.
type Ports struct {
	Feed  Feed
	Codec exchange.Codec
	// Cloud receives usage reports and capacity orders. Without it, the host takes
	// no duties.
	Cloud duty.Cloud
	// DirectoryHandler serves the directory to callers, and ReadyHandler the
	// readiness check to the platform.
	DirectoryHandler func(Directory) http.Handler
	ReadyHandler     func(ready func() bool) http.Handler
}

// Gateway is one gateway host.
type Gateway struct {
	options *options.Options
	ports   Ports
	events  *event.Logger
	sink    *stdlog.Sink
	// incarnation identifies this process: a random odd number below 2^52.
	incarnation uint64
	// digestSequence is the sequence number of the latest digest sent.
	digestSequence uint64
	// startedAt is the boot time at which this gateway was created.
	startedAt   time.Duration
	peerAddress string

	loop     *control.Loop
	forward  *forward.Handler
	inFlight *inflight.Tracker
	pool     *upconn.Pool
	// reach knows whether this host is cut off from all upstreams.
	reach  *reach.Monitor
	quota  *quota.Limiter
	cold   *cold.Limiter
	retry  *retry.Budget
	poison *poison.Table
	// advisories holds what upstreams say in their responses.
	advisories *advisory.Table
	// brittle bounds what is sent to upstreams that say that they are brittle.
	brittle *brittle.Limiter
	// observed holds what all hosts observe of engines, and observedView is the view whose
	// engines it knows.
	observed     *observation.Recorder
	observedView *catalog.View
	// waitPlaced holds the names of the services whose requests are placed by the expected
	// wait in the latest configuration.
	waitPlaced map[string]bool
	usage      *usage.Counter
	duties     *duty.Driver
	stats      *forward.Stats
	// updates applies what this host read from the log or through a reader, a
	// peer that reads the log for others.
	updates *updateApplier
	// ledger is the log as the duties see it.
	ledger *ledgerWatch
	// listed holds the hosts that were found last in the list of all hosts, nil before.
	listed atomic.Pointer[[]members.ListedHost]
	// source is where this host reads the log: directly or through a reader.
	source atomic.Pointer[relay.Source]
	// sourceChanged is closed and replaced when source changes.
	sourceChanged atomic.Pointer[chan struct{}]

	// gate bounds the connections of all listeners.
	gate *connlimit.Gate
	// servers are the servers of all listeners, set before the first of them serves.
	servers  []*listeningServer
	stopping atomic.Bool
	// versionShares holds the rollout shares by service: the share of its
	// requests that goes to the target version.
	versionShares atomic.Pointer[map[string]members.VersionShare]
	// fleetKnownAt is the boot time at which this host first knew its fleet, 0 before.
	fleetKnownAt time.Duration
	// peerSequences holds the sequence numbers of the newest digests merged, by
	// incarnation.
	peerSequences map[uint64]uint64
}

// New returns a gateway that is not running yet.
func New(o *options.Options, ports Ports, events *event.Logger, sink *stdlog.Sink) *Gateway {
	g := &Gateway{
		options: o, ports: ports, events: events, sink: sink, gate: connlimit.NewGate(connlimit.Accepted(), headBytes(o.MemoryMB)),
		incarnation: rand.Uint64()>>12 | 1, startedAt: boottime.Now(),
		peerAddress: net.JoinHostPort(o.Address, strconv.Itoa(o.PeerPort)),
		pool:        upconn.NewPool(), quota: quota.NewLimiter(o.QuotaTolerance.Limits()), cold: cold.NewLimiter(o.Host, boottime.Now()),
		retry: retry.NewBudget(retry.Limit{
			Ratio: o.RetryBudget.Ratio, Slack: o.RetryBudget.Slack, Window: o.RetryBudget.Window.D(),
		}),
		poison: poison.NewTable(), advisories: advisory.NewTable(), brittle: brittle.NewLimiter(o.Host),
		usage: usage.NewCounter(o.UsageWindow.D()), stats: &forward.Stats{}, peerSequences: map[uint64]uint64{},
	}
	g.source.Store(&relay.Source{})
	changed := make(chan struct{})
	g.sourceChanged.Store(&changed)
	g.loop = control.NewLoop(o.Host, members.Self{Address: g.peerAddress, Zone: o.AvailabilityZone, Strength: o.Strength}, announcer{g})
	g.inFlight = inflight.NewTracker(g.remoteTokens)
	g.observed = observation.NewRecorder(g.peerAddress)
	g.updates = &updateApplier{copy: relay.NewCache(), submit: g.loop.Submit, epochRose: g.reportEpoch, proofChanged: g.reportProof, highestVersion: g.highestVersion}
	g.reach = reach.NewMonitor(upconn.Probe, g.upstreams, g.reachChanged)
	g.forward = forward.New(forward.Deps{
		Codec: ports.Codec, Snapshots: g.loop, InFlight: g.inFlight, Pool: g.pool, Quota: g.quota,
		Cold: g.cold, Retry: g.retry, Poison: g.poison, Advisories: g.advisories, Brittle: g.brittle, Observed: g.observed, Usage: g.usage, Events: events,
		Reach: g.reach, IndirectProber: reach.NewIndirectProber(reach.NewClient().Look, g.probingPeers),
		VersionShares: g, Host: o.Host, Zone: o.AvailabilityZone, RevokeWithin: o.RevokeKeysWithin.D(), Stats: g.stats,
	})
	g.ledger = &ledgerWatch{Keyed: ports.Feed}
	g.duties = duty.NewDriver(duty.Deps{
		Host: o.Host, Strength: o.Strength, Incarnation: g.incarnation, Log: g.ledger, Cloud: ports.Cloud, Snapshots: g.loop,
		Usage: g.usage, Planner: capacity.NewPlanner(g.inFlight), Stats: g.inFlight, RolloutReporter: ports.Feed, Events: events, Lease: o.DutyLease.D(),
		ProvenVersion: g.provenVersion,
	})
	return g
}

// remoteTokens returns the prompt tokens of peers' requests that an upstream
// has yet to read.
func (g *Gateway) remoteTokens(upstream string) int {
	return int(g.loop.Snapshot().RemoteLoads[inflight.Hash(upstream)].Tokens)
}

// Run runs the gateway until the stop channel is closed, and then stops it
// gracefully.
func (g *Gateway) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	starting := untilClosed(stop)
	socket, err := g.listen(starting)
	if err != nil {
		g.closeServers(0)
		if starting.Err() != nil {
			return nil
		}
		return err
	}
	g.events.Emit(eventStarted, zap.String("host", g.options.Host), zap.String("zone", g.options.AvailabilityZone),
		zap.Uint64("incarnation", g.incarnation))
	go g.loop.Run(ctx)
	go g.readLog(ctx, "log: operators", g.readOperator)
	go g.readLog(ctx, "log: upstreams", g.readUpstreams)
	go g.follow(ctx)
	go g.seekProof(ctx)
	go g.reach.Run(ctx)
	go g.discoverPeers(ctx)
	go g.receiveDigests(ctx, socket)
	go g.sendDigests(ctx, socket)
	go g.duties.Run(ctx)
	go g.evictUnlisted(ctx)
	go g.reportCrowding(ctx)
	<-stop
	end := g.drain()
	g.closeServers(end)
	cancel()
	if err := socket.Close(); err != nil {
		g.events.Emit(eventStopped, event.Err(err))
	}
	g.events.Emit(eventStopped, zap.Int64("active", g.forward.Active()))
	return nil
}

// untilClosed returns a context that is done when a channel is closed.
func untilClosed(stop <-chan struct{}) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return ctx
}

// ready reports whether the host is ready for callers: it read its configuration less
// than RevokeKeysWithin ago and the list of upstreams at all, and is not stopping. It may
// still lack the proof that the configuration is the newest.
func (g *Gateway) ready() bool {
	current := g.loop.Snapshot().View
	return !g.stopping.Load() && current.Document != nil && current.ListedAt > 0 &&
		boottime.Now()-current.ReadAt < g.options.RevokeKeysWithin.D()
}

// ConfigChanged implements control.Observer.
func (g *Gateway) ConfigChanged(doc *catalog.Document, requestedAt time.Duration) {
	g.quota.SetCustomers(doc.Customers, boottime.Now())
	g.events.Emit(eventConfigured, zap.Int64("version", doc.Version), zap.Duration("age", boottime.Now()-requestedAt),
		zap.Int("routes", len(doc.Routes)), zap.Int("customers", len(doc.Customers)))
	g.reportPlacement(doc)
}

// reportEpoch emits an event about a new epoch of the log.
func (g *Gateway) reportEpoch(from, to int64) {
	view := g.loop.Snapshot().View
	fields := []zap.Field{zap.Int64("from", from), zap.Int64("to", to), zap.Duration("age", g.viewAge(boottime.Now()))}
	if view.Document != nil {
		fields = append(fields, zap.Int64("version", view.Document.Version))
	}
	g.events.Emit(eventEpochRose, fields...)
}

// PeerUp implements control.Observer.
func (g *Gateway) PeerUp(d members.Digest) {
	g.events.Emit(eventPeerUp, zap.String("peer", d.Host), zap.Uint64("incarnation", d.Incarnation))
}

// ViewChanged implements control.Observer.
func (g *Gateway) ViewChanged(change view.Change, requestedAt time.Duration) {
	g.events.Emit(eventViewChanged, zap.String("subject", change.Subject), zap.String("what", change.Kind),
		zap.Duration("age", boottime.Now()-requestedAt))
}

// Published implements control.Observer. It passes the number of hosts to the
// retry budget and the quotas, updates the rollout shares, and merges the crash
// evidence and the quota use in new digests of peers.
func (g *Gateway) Published(s *control.Snapshot) {
	now := boottime.Now()
	if s.FleetKnown() && g.fleetKnownAt == 0 {
		g.fleetKnownAt = now
		g.quota.Restart(now)
	}
	g.retry.SetHosts(s.SenderCount)
	g.quota.SetShare(float64(s.LiveCount) / float64(max(s.SenderCount, s.LiveCount)))
	g.quota.SetPropagationDelay(members.PropagationDelay(len(s.Peers)+1, s.FastExchange), len(s.Peers))
	g.quota.SetGraduated(s.FastExchange && len(s.Peers) >= members.MaxMeshHosts)
	g.updateVersionShares(s)
	g.updateEngines(s.View)
	for _, p := range s.Peers {
		if g.peerSequences[p.Incarnation] == p.Sequence {
			continue
		}
		g.peerSequences[p.Incarnation] = p.Sequence
		g.poison.MergePeer(p.Crashes, p.Cleared, now)
		g.advisories.MergePeer(p.Extension.Leaving, now)
		if s.PeerUse == nil {
			g.quota.RecordPeerUsage(strconv.FormatUint(p.Incarnation, 36), p.QuotaUsed, g.beganLater(p, now), now)
		}
	}
	if s.PeerUse != nil {
		g.quota.RecordPeerUsage(fleetProcess, s.PeerUse, false, now)
	}
}

// fleetProcess stands for all other hosts of a fleet whose use of quotas is summed up.
const fleetProcess = "fleet"

// SummaryMerged implements control.Observer.
func (g *Gateway) SummaryMerged(s *members.Summary) {
	now := boottime.Now()
	g.poison.MergePeer(s.Crashes, s.Cleared, now)
	g.advisories.MergePeer(s.Leaving, now)
}

// Observed implements control.Observer.
func (g *Gateway) Observed(list []members.Observation) { g.observed.Merge(list, boottime.Now()) }

// updateVersionShares stores the rollout shares set by the holder of the
// duties. While there is no holder, the latest shares remain.
func (g *Gateway) updateVersionShares(s *control.Snapshot) {
	var latest []members.VersionShare
	// The first call, made by NewLoop, comes before duties is set.
	if g.duties != nil {
		latest = g.duties.VersionShares()
	}
	if holder := duty.HolderOf(s.Peers); latest == nil && holder != nil {
		latest = holder.VersionShares
	}
	if latest == nil {
		return
	}
	shares := make(map[string]members.VersionShare, len(latest))
	for _, share := range latest {
		shares[share.Service] = share
	}
	g.versionShares.Store(&shares)
}

// Share returns the share, from 0 to 1, of a service's requests that go to the
// target version, 0 if unknown. It serves as VersionShares of forward.Deps.
func (g *Gateway) Share(service, target string) float64 {
	shares := g.versionShares.Load()
	if shares == nil {
		return 0
	}
	if share := (*shares)[service]; share.Version == target {
		return share.Share
	}
	return 0
}

// startupWindow is the time after this host knew its fleet in which it receives the
// first digests of peers that already ran.
const startupWindow = 2 * time.Second

// beganLater reports whether a peer's process began after this host knew its fleet, so that
// all the quota that it used counts. Builds that do not tell their uptime began later if they
// are first seen behind startupWindow.
func (g *Gateway) beganLater(p *members.Peer, now time.Duration) bool {
	known := now - g.fleetKnownAt
	if p.Extension.Uptime == 0 {
		return g.fleetKnownAt > 0 && known > startupWindow
	}
	return g.fleetKnownAt > 0 && p.Extension.Uptime < known
}
