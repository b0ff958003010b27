package duty

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/inflight"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
)

var eventRollout = event.Define(926, zapcore.InfoLevel, "rollout state changed")

// WithRollouts returns the ledger with the progress of runs.
func (l Ledger) WithRollouts(runs map[string]*rollout.Run) Ledger {
	next := l.clone()
	next.Rollouts = map[string]rollout.Progress{}
	for service, run := range runs {
		next.Rollouts[service] = run.Progress
	}
	return next
}

// WithShares returns the ledger with the rollouts brought forward to shares that a holder
// decided after it was written. No rollout counts as acknowledged.
//
// Scenario: the log comes back from a copy in which a rollout that was rolled back is running,
// or has not begun.
func (l Ledger) WithShares(shares map[string]members.VersionShare, wall time.Time) Ledger {
	next := l.clone()
	if next.Rollouts == nil {
		next.Rollouts = map[string]rollout.Progress{}
	}
	for service, progress := range next.Rollouts {
		progress.Acknowledged = false
		next.Rollouts[service] = progress
	}
	for service, share := range shares {
		progress, known := next.Rollouts[service]
		if !known || progress.Target != share.Version {
			progress = rollout.Progress{Target: share.Version, State: rollout.Running, StartedAtMillis: wall.UnixMilli()}
		}
		if progress.State == rollout.Running {
			next.Rollouts[service] = progress.WithShare(share.Share)
		}
	}
	return next
}

// rememberShares keeps the shares that the holder has decided for the rollouts that operators
// ordered, also while there is no holder.
func (d *Driver) rememberShares(s *control.Snapshot, holder *members.Peer) {
	shares := d.VersionShares()
	if shares == nil && holder != nil {
		shares = holder.VersionShares
	}
	for _, share := range shares {
		d.remembered[share.Service] = share
	}
	for service, share := range sharesOfPeers(s.Peers) {
		if _, known := d.remembered[service]; !known {
			d.remembered[service] = share
		}
	}
	maps.DeleteFunc(d.remembered, func(service string, share members.VersionShare) bool {
		return s.View.Rollouts[service].Target != share.Version
	})
	remembered := slices.Collect(maps.Values(d.remembered))
	d.rememberedShares.Store(&remembered)
}

// sharesOfPeers returns the shares that peers remember, by service; the smallest ones, as they do
// the least harm.
//
// Scenario: the log comes back from a copy, the hosts that remember what was decided can't write
// to it, and one that started behind that claims the duties.
func sharesOfPeers(peers []*members.Peer) map[string]members.VersionShare {
	smallest := map[string]members.VersionShare{}
	for _, p := range peers {
		for _, share := range p.Extension.RolloutShares {
			if known, ok := smallest[share.Service]; !ok || share.Share < known.Share {
				smallest[share.Service] = share
			}
		}
	}
	return smallest
}

// RememberedShares returns the latest shares that this host knows a holder of the duties to have
// decided.
func (d *Driver) RememberedShares() []members.VersionShare {
	if shares := d.rememberedShares.Load(); shares != nil {
		return *shares
	}
	return nil
}

// VersionShares returns the shares that rollouts give to their targets, as decided by
// this host. It returns nil if this host does not hold the duties.
func (d *Driver) VersionShares() []members.VersionShare {
	if shares := d.shares.Load(); shares != nil && d.token.Load() > 0 {
		return *shares
	}
	return nil
}

// stepRollouts advances the rollouts that operators ordered, drops those that were
// withdrawn, and reports whether anything changed.
func (d *Driver) stepRollouts(s *control.Snapshot, now time.Duration) bool {
	if d.Stats == nil {
		return false
	}
	changed := false
	stats := d.versionStats(s)
	targets := d.targetStats(s)
	for service, order := range s.View.Rollouts {
		run := d.runs[service]
		if run == nil || run.Target != order.Target {
			run = d.startRun(service, order, stats, now)
			changed = true
		}
		before := run.Progress
		run.Step(order, hasStreams(s.View, service), rollout.Stats{
			Versions: stats, Upstreams: statsOfTarget(s.View, order, targets),
		}, now)
		if run.Progress != before {
			changed = true
			d.Events.Emit(eventRollout, zap.String("service", service), zap.String("target", run.Target),
				zap.String("state", string(run.State)), zap.Float64("share", run.Share),
				zap.Stringer("verdict", run.Evidence.Verdict), zap.String("route", run.Evidence.Route),
				versionStatsField("of", run.Evidence.Target), versionStatsField("before", run.Evidence.Baseline))
		}
	}
	for service := range d.runs {
		if _, ordered := s.View.Rollouts[service]; !ordered {
			delete(d.runs, service)
			changed = true
		}
	}
	d.publishShares()
	return changed
}

// versionStatsField returns the statistics of a version as a log field.
func versionStatsField(key string, s members.VersionStats) zap.Field {
	return zap.Dict(key, zap.Uint64("answers", s.Responses), zap.Uint64("failures", s.Failures), zap.Duration("mean", s.Latency().Mean()),
		zap.Duration("pace", s.Pace.Mean()))
}

// startRun starts a rollout, or resumes it if the ledger has the progress of an
// earlier holder.
func (d *Driver) startRun(service string, order catalog.Rollout, stats map[string]members.VersionStats, now time.Duration) *rollout.Run {
	run := rollout.New(order.Target, stats, now, d.Clock.Wall())
	if progress, known := d.ledger.Rollouts[service]; known && progress.Target == order.Target {
		run = rollout.Resume(progress, now, d.Clock.Wall())
	}
	d.runs[service] = run
	return run
}

// rolloutStarts returns the boot times at which rollouts started, also under an
// earlier holder.
func (d *Driver) rolloutStarts() RolloutStarts {
	starts := RolloutStarts{}
	for service, run := range d.runs {
		starts[service] = run.StartedAt()
	}
	return starts
}

func (d *Driver) publishShares() {
	shares := make([]members.VersionShare, 0, len(d.runs))
	for service, run := range d.runs {
		shares = append(shares, members.VersionShare{Service: service, Version: run.Target, Share: run.Share})
	}
	d.shares.Store(&shares)
}

// versionStats returns the statistics of versions, summed over all hosts.
func (d *Driver) versionStats(s *control.Snapshot) map[string]members.VersionStats {
	return sumByKey(d.Stats.VersionStats(s.View.Rollouts), s.Peers,
		func(p *members.Peer) []members.VersionStats { return p.VersionStats }, members.VersionStats.Key)
}

// targetStats returns the statistics of the upstreams that rollouts move to, summed
// over all hosts, by the hash of their IDs.
func (d *Driver) targetStats(s *control.Snapshot) map[uint32]members.UpstreamStats {
	return sumByKey(d.Stats.TargetStats(s.View), s.Peers,
		func(p *members.Peer) []members.UpstreamStats { return p.TargetStats },
		func(one members.UpstreamStats) uint32 { return one.Upstream })
}

// sumByKey sums the statistics of this host and of its peers by key.
func sumByKey[K comparable, S interface{ Plus(other S) S }](own []S, peers []*members.Peer, of func(*members.Peer) []S, key func(S) K) map[K]S {
	total := map[K]S{}
	add := func(counts []S) {
		for _, one := range counts {
			total[key(one)] = one.Plus(total[key(one)])
		}
	}
	add(own)
	for _, peer := range peers {
		add(of(peer))
	}
	return total
}

// statsOfTarget returns the statistics of the upstreams that one rollout moves to.
func statsOfTarget(v *catalog.View, order catalog.Rollout, sums map[uint32]members.UpstreamStats) []members.UpstreamStats {
	var stats []members.UpstreamStats
	for _, m := range v.Members[order.Service] {
		one, known := sums[inflight.Hash(m.ID)]
		if known && m.Version == order.Target {
			stats = append(stats, one)
		}
	}
	return stats
}

// hasStreams reports whether a service has engines, whose responses are streams.
func hasStreams(v *catalog.View, service string) bool {
	s := v.Service(service)
	return s != nil && s.Engine != nil
}

// reportRollouts reports progress to the operator that is in the ledger and was not
// acknowledged yet.
func (d *Driver) reportRollouts(ctx context.Context) {
	if d.RolloutReporter == nil {
		return
	}
	for service, progress := range maps.Clone(d.ledger.Rollouts) {
		run := d.runs[service]
		if run == nil || run.Acknowledged || run.Progress != progress || !d.mayAct() {
			continue
		}
		if err := d.RolloutReporter.PutRollout(ctx, service, progress); err != nil {
			d.Events.Emit(eventCallFailed, zap.String("call", "rollout"), event.Err(err))
			continue
		}
		run.Acknowledged = true
	}
}
