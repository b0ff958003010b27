package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
)

// Timing of reads of the log.
const (
	// upstreamReadInterval is the pause between two reads of reports.
	upstreamReadInterval = 700 * time.Millisecond
	// roleCheckInterval is the pause between two checks which host is to read the
	// log.
	roleCheckInterval = 100 * time.Millisecond
	// minReadBackoff is the pause after the first failed read.
	minReadBackoff = 150 * time.Millisecond
	// maxReadBackoff bounds the pause after consecutive failed reads.
	maxReadBackoff = 600 * time.Millisecond
	// addressesWait bounds the time for which a new host waits for the addresses
	// of its peers before it reads the log, and in a larger fleet maxDiscoveryWait
	// that for the peers; peerCheckInterval is the pause between two checks.
	addressesWait     = 120 * time.Millisecond
	maxDiscoveryWait  = 400 * time.Millisecond
	peerCheckInterval = 10 * time.Millisecond
	// retryPauseStep is the pause per host of the fleet between two reads by a
	// follower whose reads fail.
	retryPauseStep = 15 * time.Millisecond
)

// dependency emits events when a dependency fails and when it works again.
type dependency struct {
	g        *Gateway
	name     string
	failures int
}

// failed records a failure and returns the time to wait before the next try,
// with jitter: it grows with each consecutive failure up to maxReadBackoff.
func (d *dependency) failed(err error) time.Duration {
	if d.failures == 0 {
		d.g.events.Emit(eventLost, zap.String("dependency", d.name), event.Err(err))
	}
	d.failures++
	pause := min(minReadBackoff*time.Duration(d.failures), maxReadBackoff)
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

func (d *dependency) succeeded() {
	if d.failures > 0 {
		d.g.events.Emit(eventRegained, zap.String("dependency", d.name), zap.Int("failures", d.failures))
	}
	d.failures = 0
}

// readOperator reads the operators' changes; it waits for them if there are
// none.
func (g *Gateway) readOperator(ctx context.Context) (time.Duration, []error, error) {
	from, _ := g.updates.copy.Positions()
	requestedAt := boottime.Now()
	update, decodeErrs, err := g.ports.Feed.ReadOperator(ctx, from, relay.Wait(g.viewAge(requestedAt)))
	if err != nil || update.Position().Before(from) {
		return minReadBackoff, decodeErrs, err
	}
	g.updates.applyOperator(ctx, update, requestedAt)
	return 0, decodeErrs, nil
}

// readUpstreams reads the upstreams' reports.
func (g *Gateway) readUpstreams(ctx context.Context) (time.Duration, []error, error) {
	_, from := g.updates.copy.Positions()
	requestedAt := boottime.Now()
	update, decodeErrs, err := g.ports.Feed.ReadUpstreams(ctx, from)
	if err == nil {
		g.updates.applyUpstreams(ctx, update, requestedAt)
	}
	return upstreamReadInterval, decodeErrs, err
}

// readLog calls read repeatedly while this host reads the log. read returns the
// pause before the next read and the errors of entries that cannot be decoded.
func (g *Gateway) readLog(ctx context.Context, name string, read func(context.Context) (time.Duration, []error, error)) {
	log := &dependency{g: g, name: name}
	for ctx.Err() == nil {
		if !g.awaitRole(ctx) {
			return
		}
		pause, decodeErrs, err := read(ctx)
		if err != nil {
			sleep(ctx, g.failureBackoff(log.failed(err)))
			continue
		}
		log.succeeded()
		g.logUndecodable(decodeErrs)
		sleep(ctx, pause)
	}
}

// awaitRole waits until this host is to read the log directly. It reports false if the
// context ends first.
func (g *Gateway) awaitRole(ctx context.Context) bool {
	for {
		changed := *g.sourceChanged.Load()
		if g.source.Load().ReadsLog {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// setSource sets where this host gets its view from, and wakes those that wait for
// it. It reports whether that is a change.
func (g *Gateway) setSource(source relay.Source) bool {
	previous := g.source.Swap(&source)
	if *previous == source {
		return false
	}
	next := make(chan struct{})
	close(*g.sourceChanged.Swap(&next))
	return true
}

// failureBackoff returns the pause after a failed read of the log. Followers
// that read beside their reader wait longer the more hosts there are, so that a
// log that is down does not get many more calls than usual.
func (g *Gateway) failureBackoff(pause time.Duration) time.Duration {
	if g.source.Load().Reader == "" {
		return pause
	}
	hosts := len(g.loop.Snapshot().Peers) + 1
	return max(pause, time.Duration(float64(hosts)*float64(retryPauseStep)*(0.75+rand.Float64()/2)))
}

// follow reads the log through a reader while there is one, so that few hosts
// read it directly.
func (g *Gateway) follow(ctx context.Context) {
	g.awaitPeers(ctx)
	selector := relay.NewSourceSelector(relay.Host{Address: g.peerAddress, Zone: g.options.AvailabilityZone, Strength: g.options.Strength})
	client := relay.NewClient()
	lost := map[string]bool{}
	for ctx.Err() == nil {
		requestedAt := boottime.Now()
		age := g.viewAge(requestedAt)
		source := selector.Select(g.readerCandidates(), age, requestedAt)
		if g.setSource(source) {
			g.events.Emit(eventSourceChanged, zap.String("reader", source.Reader), zap.Bool("reads", source.ReadsLog), zap.Duration("age", age))
		}
		reader := source.Reader
		if reader == "" {
			sleep(ctx, roleCheckInterval)
			continue
		}
		operator, upstreams := g.updates.copy.Positions()
		resp, err := client.Read(ctx, reader, relay.Request{
			Operator: operator.Offset, OperatorEpoch: operator.Epoch, Upstreams: upstreams.Offset, UpstreamsEpoch: upstreams.Epoch,
			Wait: relay.Wait(age),
		})
		if err != nil {
			selector.MarkFailed(reader, boottime.Now())
			lost[reader] = true
			g.events.Emit(eventLost, zap.String("dependency", "reader "+reader), event.Err(err))
			continue
		}
		if lost[reader] {
			delete(lost, reader)
			g.events.Emit(eventRegained, zap.String("dependency", "reader "+reader))
		}
		g.updates.applyRelayed(ctx, resp, requestedAt)
		g.updates.applyUpstreams(ctx, resp.Upstreams, requestedAt-resp.UpstreamsAge)
	}
}

// awaitPeers delays the first read of a new host, so that in a larger fleet it knows
// enough peers to follow a reader from the start. It returns when the addresses of few
// hosts were found, when half of the hosts found have sent digests, or after
// maxDiscoveryWait.
func (g *Gateway) awaitPeers(ctx context.Context) {
	start := boottime.Now()
	for ctx.Err() == nil && boottime.Now()-start < maxDiscoveryWait {
		listed := g.listed.Load()
		if listed == nil && boottime.Now()-start >= addressesWait {
			return
		}
		if listed != nil && (len(*listed) <= members.MaxMeshHosts || len(g.loop.Snapshot().Peers) >= (len(*listed)-1)/2) {
			return
		}
		sleep(ctx, peerCheckInterval)
	}
}

// viewAge returns the age of the older part of this host's view: the
// configuration or the list of upstreams.
func (g *Gateway) viewAge(now time.Duration) time.Duration {
	view := g.loop.Snapshot().View
	return now - min(view.ReadAt, view.ListedAt)
}

// readerCandidates returns the hosts that may read for others.
func (g *Gateway) readerCandidates() []relay.Host {
	s := g.loop.Snapshot()
	hosts := make([]relay.Host, 0, len(s.Peers))
	for _, p := range s.Peers {
		if !p.Stopping {
			hosts = append(hosts, relay.Host{Address: p.PeerAddress, Zone: p.Zone, ViewAge: p.ViewAge, Strength: p.Extension.Strength})
		}
	}
	return hosts
}

func (g *Gateway) logUndecodable(decodeErrs []error) {
	for _, err := range decodeErrs {
		g.events.Emit(eventUndecodable, event.Err(err))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
