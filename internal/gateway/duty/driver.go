package duty

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

// Where the ledger is stored in the log.
const (
	ledgerTopic = "keyed.duty"
	ledgerKey   = "ledger"
)

// Timing of the duties.
const (
	// stepInterval is the pause between two calls of Step by the holder, and
	// watchInterval that by other hosts.
	stepInterval  = 100 * time.Millisecond
	watchInterval = 200 * time.Millisecond
	// checkpointInterval is the longest pause between two ledger writes by the
	// holder. Counts that are not written are lost when all hosts end together.
	checkpointInterval = 250 * time.Millisecond
	// claimAfter is how long no digest of a holder must have been received
	// before a host claims the duties.
	claimAfter = 800 * time.Millisecond
	// claimStep is how much later the host of each next rank claims the duties:
	// the hosts before it may have to wait or be unable to reach the log. Only
	// the first claimants hosts by rank claim.
	claimStep = 500 * time.Millisecond
	claimants = 4
	// holderStaleAfter is the age of the last confirmed ledger write from which a
	// peer no longer counts as holder; a holder writes several times as often.
	holderStaleAfter = 1500 * time.Millisecond
	// ledgerIdleAfter is the time without a ledger write by the holder after
	// which another host may claim the duties.
	ledgerIdleAfter = 4 * checkpointInterval
	// leaseMargin is added to the lease that a former holder waits before it
	// claims again.
	leaseMargin = time.Second
	// actWithin is how long after a ledger write its writer may act on it.
	actWithin = time.Second
	// settleDelay is the time after a window's end in which peers may still send
	// counts of it.
	settleDelay = 1500 * time.Millisecond
	// maxSettleDelay is the time after a window's end from which it counts as
	// settled even if some hosts send no digests.
	maxSettleDelay = 4 * time.Second
	// reportDeadline is the time after a window's end in which its report is
	// accepted.
	reportDeadline = 12 * time.Second
	// callRetryDelay is the pause after a failed call or ledger write and between
	// two claims.
	callRetryDelay = 500 * time.Millisecond
)

// The logged events of duties.
var (
	eventClaimed      = event.Define(920, zapcore.InfoLevel, "duties acquired")
	eventSteppedDown  = event.Define(921, zapcore.InfoLevel, "duties released")
	eventReported     = event.Define(922, zapcore.InfoLevel, "usage reported")
	eventCallFailed   = event.Define(923, zapcore.WarnLevel, "duty call failed")
	eventLedgerFailed = event.Define(924, zapcore.WarnLevel, "ledger read or write failed")
	eventOrdered      = event.Define(925, zapcore.InfoLevel, "capacity ordered")
)

// Planner decides which capacity to order. Its methods are called by one goroutine.
type Planner interface {
	// Orders returns the orders that are due at the boot time now.
	Orders(s *control.Snapshot, starts RolloutStarts, now time.Duration) []Order
	// Ordered records the outcome of an order that was placed.
	Ordered(o Order, outcome Outcome, now time.Duration)
}

// RolloutStarts holds the boot times at which the newest rollouts started, by service.
type RolloutStarts map[string]time.Duration

// RolloutReporter reports the progress of rollouts to operators.
type RolloutReporter interface {
	PutRollout(ctx context.Context, service string, progress rollout.Progress) error
}

// Deps are the dependencies of a driver.
type Deps struct {
	Host string
	// Strength is what this host can carry compared with others.
	Strength    float64
	Incarnation uint64
	Log         topic.Keyed
	// Cloud is nil where the deployment has no duties.
	Cloud     Cloud
	Snapshots interface{ Snapshot() *control.Snapshot }
	Usage     *usage.Counter
	Planner   Planner
	// Stats returns this host's counts of the responses of versions and of the
	// upstreams that rollouts move to; nil means that no rollouts are decided.
	Stats interface {
		VersionStats(services map[string]catalog.Rollout) []members.VersionStats
		TargetStats(v *catalog.View) []members.UpstreamStats
	}
	// RolloutReporter receives the progress of rollouts; nil means that it is
	// not reported.
	RolloutReporter RolloutReporter
	// ProvenVersion returns the newest configuration version that this host knows to be in
	// force in an epoch of the log, or 0; nil means that it knows none.
	ProvenVersion func(epoch int64) int64
	Events        *event.Logger
	// Lease is the time in which two hosts must not alternate as holders.
	Lease time.Duration
	// Clock is the source of time; nil means the system clocks.
	Clock Clock
}

// Clock is a source of time.
type Clock interface {
	// Now returns the boot time.
	Now() time.Duration
	// Wall returns the time of day.
	Wall() time.Time
}

type systemClock struct{ usage *usage.Counter }

func (systemClock) Now() time.Duration { return boottime.Now() }
func (c systemClock) Wall() time.Time  { return c.usage.Now() }

// Driver claims the duties and performs them while this host holds them. HeldToken,
// VersionShares, RememberedShares and Stop are safe for concurrent use.
type Driver struct {
	Deps
	started  time.Duration
	stopping atomic.Bool
	// token is the token of the duties held, or 0, and confirmedAt the boot time
	// of the request of the last confirmed ledger write. Digests carry them.
	token       atomic.Int64
	confirmedAt atomic.Int64

	// ledger is the last known ledger, and end the end of its topic, on which the
	// next write is conditional.
	ledger Ledger
	end    topic.Position
	held   bool
	// written is the last ledger that this process is known to have written as holder.
	written Ledger
	// lostAt is the boot time at which this process last stepped down, or -1.
	lostAt time.Duration
	// noHolderSince is the boot time since which no holder was known.
	noHolderSince time.Duration
	// writtenAt is the boot time of the request of the last confirmed write.
	writtenAt   time.Duration
	pausedUntil time.Duration
	// watched is the last write that this host did not make, first seen at watchedAt.
	watched   ledgerWrite
	watchedAt time.Duration
	// reported holds the windows that this holder has reported.
	reported map[int64]bool
	// counts holds the counts of recent windows by window and incarnation, from this
	// host and from digests.
	counts map[int64]map[uint64]Counts
	// runs holds the rollouts by service while this host holds the duties.
	runs   map[string]*rollout.Run
	shares atomic.Pointer[[]members.VersionShare]
	// remembered holds the latest shares that a holder of the duties decided, by service;
	// rememberedShares are the same for other goroutines.
	remembered       map[string]members.VersionShare
	rememberedShares atomic.Pointer[[]members.VersionShare]
}

// ledgerWrite identifies a write of the ledger as it is read in an epoch of the log.
type ledgerWrite struct {
	id    uint64
	epoch int64
}

// NewDriver returns a driver that does not hold the duties.
func NewDriver(deps Deps) *Driver {
	if deps.Clock == nil {
		deps.Clock = systemClock{deps.Usage}
	}
	now := deps.Clock.Now()
	return &Driver{
		Deps: deps, started: now, noHolderSince: now, lostAt: -1,
		reported: map[int64]bool{}, counts: map[int64]map[uint64]Counts{}, runs: map[string]*rollout.Run{},
		remembered: map[string]members.VersionShare{},
	}
}

// HeldToken returns the token of the duties held, or 0, and the time since the request of
// the last confirmed ledger write.
func (d *Driver) HeldToken() (int64, time.Duration) {
	return d.token.Load(), d.Clock.Now() - time.Duration(d.confirmedAt.Load())
}

// Stop makes the driver release the duties at its next step and claim them no more.
func (d *Driver) Stop() { d.stopping.Store(true) }

// Run calls Step at intervals until the context ends. It returns at once without a
// Cloud.
func (d *Driver) Run(ctx context.Context) {
	if d.Cloud == nil {
		return
	}
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		d.Step(ctx)
		pause := watchInterval
		if d.held {
			pause = stepInterval
		}
		timer.Reset(pause)
	}
}

// Step claims, performs or releases the duties as is due now. It is called by one
// goroutine.
func (d *Driver) Step(ctx context.Context) {
	snapshot := d.Snapshots.Snapshot()
	now := d.Clock.Now()
	d.collectCounts(snapshot)
	holder := HolderOf(snapshot.Peers)
	d.rememberShares(snapshot, holder)
	switch {
	case d.held && holder != nil && holder.LedgerToken > d.ledger.Token:
		d.stepDown("a newer holder is heard", now)
	case d.held && d.stopping.Load():
		if d.writeLedger(ctx, d.renewed(d.ledger).Release()) {
			d.stepDown("host stops", now)
		}
	case d.held:
		d.runDuties(ctx, snapshot, now)
	case holder != nil || d.stopping.Load():
		d.noHolderSince = now
	default:
		rank := d.rank(snapshot)
		if rank < claimants && now-d.noHolderSince >= claimAfter+time.Duration(rank)*claimStep {
			d.claim(ctx, now)
		}
	}
}

// HolderOf returns the peer that holds the duties by the newest token, or nil.
func HolderOf(peers []*members.Peer) *members.Peer {
	var holder *members.Peer
	for _, p := range peers {
		if p.LedgerToken > 0 && p.LedgerAge < holderStaleAfter && (holder == nil || p.LedgerToken > holder.LedgerToken) {
			holder = p
		}
	}
	return holder
}

// rank returns how many ready hosts precede this one in the order of claims.
func (d *Driver) rank(s *control.Snapshot) int {
	return members.DutyRank(d.Host, d.Strength, s.Peers)
}

// collectCounts keeps the counts of this host and of its peers' digests, so that they
// are not lost when those hosts end.
func (d *Driver) collectCounts(s *control.Snapshot) {
	wall := d.Clock.Wall()
	d.mergeCounts(d.Incarnation, d.Usage.Recent(wall))
	for _, p := range s.Peers {
		d.mergeCounts(p.Incarnation, p.Usage)
	}
	oldest := d.Usage.Window(wall) - maxReports
	for window := range d.counts {
		if window < oldest {
			delete(d.counts, window)
			delete(d.reported, window)
		}
	}
}

func (d *Driver) mergeCounts(incarnation uint64, windows []members.WindowCounts) {
	for _, w := range windows {
		if d.counts[w.Window] == nil {
			d.counts[w.Window] = map[uint64]Counts{}
		}
		d.counts[w.Window][incarnation] = maxCounts(d.counts[w.Window][incarnation], w.Counts)
	}
}

// stepDown stops performing the duties. It does not write to the ledger.
func (d *Driver) stepDown(reason string, now time.Duration) {
	d.held = false
	d.lostAt = now
	d.noHolderSince = now
	d.token.Store(0)
	d.runs = map[string]*rollout.Run{}
	d.Events.Emit(eventSteppedDown, zap.String("reason", reason), zap.Int64("token", d.ledger.Token))
}

// claim tries to take the duties over. A former holder that was replaced waits for
// its lease first, so that holders do not alternate.
func (d *Driver) claim(ctx context.Context, now time.Duration) {
	if now < d.pausedUntil {
		return
	}
	d.pausedUntil = now + callRetryDelay
	if !d.readLedger(ctx) {
		return
	}
	if d.mayHaveBeenReplaced() && now-max(d.lostAt, d.started) < d.Lease+leaseMargin {
		return
	}
	if d.holderActive(now) {
		return
	}
	if !d.writeLedger(ctx, d.claimed(now).Merge(d.counts)) {
		return
	}
	d.held = true
	d.reported = map[int64]bool{}
	d.Events.Emit(eventClaimed, zap.Int64("token", d.ledger.Token), zap.Strings("recent", d.ledger.RecentHolders))
}

// mayHaveBeenReplaced reports whether another host may have held the duties since this one
// did. Behind a copy the ledger does not tell: it may lack the latest holders, and so may
// those that follow it.
func (d *Driver) mayHaveBeenReplaced() bool {
	return d.end.Epoch > 0 || d.ledger.Replaced(d.Host)
}

// claimed returns the ledger that claims the duties for this host.
//
// Scenario: the log comes back from a copy without the reports that its last holder has
// sent, and that holder is gone. Its windows ended before the copy's ledger was seen here,
// less the settle delay; counts of them could differ from those it has sent.
func (d *Driver) claimed(now time.Duration) Ledger {
	if d.ledger.OfEpoch(d.end.Epoch) {
		return d.ledger.Claim(d.Host, d.Incarnation, d.oldestWindow(), d.end)
	}
	base := d.ledger
	if d.written.Token >= base.Token {
		base = d.written
	}
	seenAt := d.Clock.Wall().Add(d.watchedAt - now)
	base = base.WithoutReportsBefore(d.Usage.Window(seenAt), d.written.Reports).WithShares(d.remembered, d.Clock.Wall())
	return base.Claim(d.Host, d.Incarnation, d.oldestWindow(), d.end)
}

// renewed returns a ledger of this holder with a token of the epoch of the log.
func (d *Driver) renewed(l Ledger) Ledger {
	if l.OfEpoch(d.end.Epoch) {
		return l
	}
	for _, run := range d.runs {
		run.Acknowledged = false // operators' record of it may be gone
	}
	return l.Claim(d.Host, d.Incarnation, d.oldestWindow(), d.end)
}

// oldestWindow returns the first window of which this host has counts, or the
// current one if there is none.
func (d *Driver) oldestWindow() int64 {
	oldest := d.Usage.Window(d.Clock.Wall())
	for window := range d.counts {
		oldest = min(oldest, window)
	}
	return oldest
}

// holderActive reports whether the ledger's holder may still write: it did not
// release the duties, and its last write was first seen less than ledgerIdleAfter
// ago. The write is observed in the log since digests of a live holder may be lost.
// A ledger of an earlier epoch does not name the holder, so any host may write.
func (d *Driver) holderActive(now time.Duration) bool {
	if d.ledger.OfEpoch(d.end.Epoch) && (d.ledger.Holder == "" || d.ledger.Holder == d.Host) {
		return false
	}
	if seen := (ledgerWrite{d.ledger.WriteID, d.end.Epoch}); seen != d.watched {
		d.watched, d.watchedAt = seen, now
	}
	return now-d.watchedAt < ledgerIdleAfter
}

// runDuties writes the ledger when a write is due, and then reports usage and rollouts
// and orders capacity if the last write is recent enough.
func (d *Driver) runDuties(ctx context.Context, s *control.Snapshot, now time.Duration) {
	if now < d.pausedUntil {
		return
	}
	wall := d.Clock.Wall()
	unsettled := d.firstUnsettled(s, wall)
	rolloutsChanged := d.stepRollouts(s, now)
	if rolloutsChanged || unsettled > d.ledger.NextWindow || now-d.writtenAt >= checkpointInterval {
		epoch := d.end.Epoch
		if !d.writeLedger(ctx, d.renewed(d.ledger).Merge(d.counts).FinalizeReports(unsettled).WithRollouts(d.runs)) {
			if d.end.Epoch == epoch { // else the holder goes on in the later epoch at once
				d.pausedUntil = d.Clock.Now() + callRetryDelay
			}
			return
		}
	}
	if !d.mayAct() {
		return
	}
	d.reportUsage(ctx, wall)
	d.reportRollouts(ctx)
	d.orderCapacity(ctx, s)
}

// mayAct reports whether the ledger was written recently enough that no other host
// can hold the duties.
func (d *Driver) mayAct() bool {
	return d.held && d.Clock.Now() < d.grant().Until
}

func (d *Driver) grant() Grant {
	return Grant{Token: d.ledger.Token, Until: d.writtenAt + actWithin}
}

// firstUnsettled returns the first window whose counts may still change. It waits
// longer while some hosts send no digests.
func (d *Driver) firstUnsettled(s *control.Snapshot, wall time.Time) int64 {
	wait := settleDelay
	if !s.FleetKnown() || len(s.Peers)+1 < s.SenderCount {
		wait = maxSettleDelay
	}
	return d.Usage.Window(wall.Add(-wait))
}
