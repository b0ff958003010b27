package duty

import (
	"context"
	"maps"
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

var eventRollout = event.Define(926, zapcore.InfoLevel, "rollout decided")

// WithRollouts returns the ledger with rollouts as far as runs brought them.
func (l Ledger) WithRollouts(runs map[string]*rollout.Run) Ledger {
	next := l.clone()
	next.Rollouts = map[string]rollout.Progress{}
	for service, run := range runs {
		next.Rollouts[service] = run.Progress
	}
	return next
}

// VersionShares returns what this host decided on rollouts while it holds the duties.
func (d *Driver) VersionShares() []members.VersionShare {
	if shares := d.shares.Load(); shares != nil && d.token.Load() > 0 {
		return *shares
	}
	return nil
}

// moveRollouts decides on all rollouts and reports whether something changed.
func (d *Driver) moveRollouts(s *control.Snapshot, now time.Duration) bool {
	if d.Stats == nil {
		return false
	}
	changed := false
	stats := d.versionStats(s)
	targets := d.targetStats(s)
	for service, order := range s.View.Rollouts {
		run := d.runs[service]
		if run == nil || run.Target != order.Target {
			run = d.beginRun(service, order, stats, now)
			changed = true
		}
		before := run.Progress
		run.Step(order, hasStreams(s.View, service), rollout.Stats{
			Versions: stats, Upstreams: ofTarget(s.View, order, targets),
		}, now)
		if run.Progress != before {
			changed = true
			d.Events.Emit(eventRollout, zap.String("service", service), zap.String("target", run.Target),
				zap.String("state", string(run.State)), zap.Float64("share", run.Share),
				zap.Stringer("verdict", run.Evidence.Verdict), zap.String("route", run.Evidence.Route),
				statsField("of", run.Evidence.Target), statsField("before", run.Evidence.Baseline))
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

// statsField tells what the answers of versions were.
func statsField(key string, s members.VersionStats) zap.Field {
	return zap.Dict(key, zap.Uint64("answers", s.Answers), zap.Uint64("failures", s.Failures), zap.Duration("mean", s.Mean()))
}

func (d *Driver) beginRun(service string, order catalog.Rollout, stats map[string]members.VersionStats, now time.Duration) *rollout.Run {
	run := rollout.New(order.Target, stats, now, d.Clock.Wall())
	if move, known := d.ledger.Rollouts[service]; known && move.Target == order.Target {
		run = rollout.Resume(move, now, d.Clock.Wall())
	}
	d.runs[service] = run
	return run
}

// moves returns when rollouts began, at whichever holder.
func (d *Driver) moves() RolloutStarts {
	moves := RolloutStarts{}
	for service, run := range d.runs {
		moves[service] = run.StartedAt()
	}
	return moves
}

func (d *Driver) publishShares() {
	shares := make([]members.VersionShare, 0, len(d.runs))
	for service, run := range d.runs {
		shares = append(shares, members.VersionShare{Service: service, Version: run.Target, Share: run.Share})
	}
	d.shares.Store(&shares)
}

// versionStats sums what all hosts know of versions.
func (d *Driver) versionStats(s *control.Snapshot) map[string]members.VersionStats {
	return sums(d.Stats.VersionStats(s.View.Rollouts), s.Peers,
		func(p *members.Peer) []members.VersionStats { return p.VersionStats }, members.VersionStats.Key)
}

// targetStats sums what all hosts know of the upstreams that rollouts move to,
// by the hash of their IDs.
func (d *Driver) targetStats(s *control.Snapshot) map[uint32]members.UpstreamStats {
	return sums(d.Stats.TargetStats(s.View), s.Peers,
		func(p *members.Peer) []members.UpstreamStats { return p.TargetStats },
		func(one members.UpstreamStats) uint32 { return one.Upstream })
}

// sums adds up what this host and its peers counted, by key.
func sums[K comparable, S interface{ Plus(other S) S }](own []S, peers []*members.Peer, of func(*members.Peer) []S, key func(S) K) map[K]S {
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

// ofTarget returns the answers of the upstreams that one rollout moves to.
func ofTarget(v *catalog.View, order catalog.Rollout, sums map[uint32]members.UpstreamStats) []members.UpstreamStats {
	var stats []members.UpstreamStats
	for _, m := range v.Members[order.Service] {
		one, known := sums[inflight.Hash(m.ID)]
		if known && m.Version == order.Target {
			stats = append(stats, one)
		}
	}
	return stats
}

func hasStreams(v *catalog.View, service string) bool {
	s := v.Service(service)
	return s != nil && s.Engine != nil
}

// tellRollouts tells the operator what the ledger holds and was not told yet.
func (d *Driver) tellRollouts(ctx context.Context) {
	if d.RolloutReporter == nil {
		return
	}
	for service, move := range maps.Clone(d.ledger.Rollouts) {
		run := d.runs[service]
		if run == nil || run.Acknowledged || run.Progress != move || !d.mayAct() {
			continue
		}
		if err := d.RolloutReporter.PutRollout(ctx, service, move); err != nil {
			d.Events.Emit(eventCall, zap.String("call", "rollout"), event.Err(err))
			continue
		}
		run.Acknowledged = true
	}
}
