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
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// The ledger's place in the log.
const (
	ledgerTopic = "keyed.duty"
	ledgerKey   = "ledger"
)

// Timing of the duties.
const (
	// tick is the pause between two looks at what is due.
	tick = 100 * time.Millisecond
	// checkpointInterval is the pause between two writes of the open counts.
	// What is not written is lost when all hosts end together.
	checkpointInterval = 250 * time.Millisecond
	// claimAfter is how long no holder must have been heard of before a host
	// claims the duties.
	claimAfter = 800 * time.Millisecond
	// claimStep is how much later each next host claims them: those before it may
	// have to wait or not reach the log. Of the hosts after claimants none does.
	claimStep = 500 * time.Millisecond
	claimants = 4
	// staleHolder is the age of the proof from which a holder that is heard
	// counts as gone; it writes to the ledger several times as often.
	staleHolder = 1500 * time.Millisecond
	// quietHolder is how long a holder must not have written to the ledger
	// before another host claims the duties.
	quietHolder = 4 * checkpointInterval
	// leaseMargin is added to the lease before a former holder claims again.
	leaseMargin = time.Second
	// actWithin is how long after a write to the ledger its writer acts on it.
	actWithin = time.Second
	// settleAfter is the time after a window's end in which counts still come.
	settleAfter = 1500 * time.Millisecond
	// settleAtMost is the time after which a window is settled although some
	// host cannot be heard.
	settleAtMost = 4 * time.Second
	// reportWithin is the time after a window's end in which a report counts.
	reportWithin = 12 * time.Second
	// callPause is kept after a call that failed.
	callPause = 500 * time.Millisecond
)

// The decisions on duties.
var (
	eventClaimed  = event.Define(920, zapcore.InfoLevel, "duties taken")
	eventStood    = event.Define(921, zapcore.InfoLevel, "duties given up")
	eventReported = event.Define(922, zapcore.InfoLevel, "usage reported")
	eventCall     = event.Define(923, zapcore.WarnLevel, "duty call failed")
	eventLedger   = event.Define(924, zapcore.WarnLevel, "ledger not written")
	eventOrdered  = event.Define(925, zapcore.InfoLevel, "capacity ordered")
)

// Planner says which orders are due.
type Planner interface {
	// Orders returns what is to be ordered now.
	Orders(s *control.Snapshot, moves RolloutStarts, now time.Duration) []Order
	// Ordered takes in the outcome of an order.
	Ordered(o Order, outcome Outcome, now time.Duration)
}

// RolloutStarts holds the boot times at which the newest rollouts began, by service.
type RolloutStarts map[string]time.Duration

// RolloutReporter takes what operators are told.
type RolloutReporter interface {
	PutRollout(ctx context.Context, service string, move rollout.Progress) error
}

// Deps are what a driver works with.
type Deps struct {
	Host        string
	Incarnation uint64
	Log         topic.Keyed
	// Cloud is nil where the deployment has no duties.
	Cloud     Cloud
	Snapshots interface{ Snapshot() *control.Snapshot }
	Usage     *usage.Counter
	Planner   Planner
	// Stats is what this host knows of the answers of versions.
	Stats interface {
		VersionStats(services map[string]catalog.Rollout) []members.VersionStats
		TargetStats(v *catalog.View) []members.UpstreamStats
	}
	// RolloutReporter is told how far rollouts are; nil tells nobody.
	RolloutReporter RolloutReporter
	Events          *event.Logger
	// Lease is the time in which holders must not alternate.
	Lease time.Duration
	// Clock is the time; nil means the machine's.
	Clock Clock
}

// Clock tells the time.
type Clock interface {
	// Now returns the boot time, Wall the time of day.
	Now() time.Duration
	Wall() time.Time
}

type machineClock struct{ usage *usage.Counter }

func (machineClock) Now() time.Duration { return boottime.Now() }
func (c machineClock) Wall() time.Time  { return c.usage.Now() }

// Driver carries the duties out.
type Driver struct {
	Deps
	started  time.Duration
	stopping atomic.Bool
	// token and provenAt tell peers about the duties held.
	token    atomic.Int64
	provenAt atomic.Int64

	ledger    Ledger
	end       int64
	held      bool
	lostAt    time.Duration
	noHolder  time.Duration
	writtenAt time.Duration
	pauseTo   time.Duration
	// watched is the last write of another holder, first seen at watchedAt.
	watched   uint64
	watchedAt time.Duration
	sent      map[int64]bool
	seen      map[int64]map[uint64]Counts
	runs      map[string]*rollout.Run
	shares    atomic.Pointer[[]members.VersionShare]
}

// NewDriver returns a driver.
func NewDriver(deps Deps) *Driver {
	if deps.Clock == nil {
		deps.Clock = machineClock{deps.Usage}
	}
	now := deps.Clock.Now()
	return &Driver{
		Deps: deps, started: now, noHolder: now, lostAt: -1,
		sent: map[int64]bool{}, seen: map[int64]map[uint64]Counts{}, runs: map[string]*rollout.Run{},
	}
}

// Held returns the token of the duties held, or 0, and the age of its proof.
func (d *Driver) Held() (int64, time.Duration) {
	return d.token.Load(), d.Clock.Now() - time.Duration(d.provenAt.Load())
}

// Stop makes the driver hand the duties over.
func (d *Driver) Stop() { d.stopping.Store(true) }

// Run runs the driver until the context ends.
func (d *Driver) Run(ctx context.Context) {
	if d.Cloud == nil {
		return
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.Step(ctx)
		}
	}
}

// Step does what is due now. It is called by one goroutine.
func (d *Driver) Step(ctx context.Context) {
	snapshot := d.Snapshots.Snapshot()
	now := d.Clock.Now()
	d.collect(snapshot)
	holder := HolderOf(snapshot.Peers)
	switch {
	case d.held && holder != nil && holder.LedgerToken > d.ledger.Token:
		d.standDown("a newer holder is heard", now)
	case d.held && d.stopping.Load():
		if d.write(ctx, d.ledger.Release()) {
			d.standDown("host stops", now)
		}
	case d.held:
		d.hold(ctx, snapshot, now)
	case holder != nil || d.stopping.Load():
		d.noHolder = now
	default:
		rank := d.rank(snapshot)
		if rank < claimants && now-d.noHolder >= claimAfter+time.Duration(rank)*claimStep {
			d.claim(ctx, now)
		}
	}
}

// HolderOf returns the peer that holds the duties, or nil.
func HolderOf(peers []*members.Peer) *members.Peer {
	var holder *members.Peer
	for _, p := range peers {
		if p.LedgerToken > 0 && p.LedgerAge < staleHolder && (holder == nil || p.LedgerToken > holder.LedgerToken) {
			holder = p
		}
	}
	return holder
}

// rank returns how many hosts come before this one for the duties.
func (d *Driver) rank(s *control.Snapshot) int {
	var others []string
	for _, p := range s.Peers {
		if !p.Stopping && p.Ready {
			others = append(others, p.Host)
		}
	}
	return rendezvous.Rank(members.DutyKey, d.Host, others)
}

// collect keeps the counts that hosts tell, so that they outlive them.
func (d *Driver) collect(s *control.Snapshot) {
	wall := d.Clock.Wall()
	d.keep(d.Incarnation, d.Usage.Recent(wall))
	for _, p := range s.Peers {
		d.keep(p.Incarnation, p.Usage)
	}
	oldest := d.Usage.Window(wall) - keepReports
	for window := range d.seen {
		if window < oldest {
			delete(d.seen, window)
			delete(d.sent, window)
		}
	}
}

func (d *Driver) keep(process uint64, windows []members.WindowCounts) {
	for _, w := range windows {
		if d.seen[w.Window] == nil {
			d.seen[w.Window] = map[uint64]Counts{}
		}
		d.seen[w.Window][process] = larger(d.seen[w.Window][process], w.Counts)
	}
}

func (d *Driver) standDown(reason string, now time.Duration) {
	d.held = false
	d.lostAt = now
	d.noHolder = now
	d.token.Store(0)
	d.runs = map[string]*rollout.Run{}
	d.Events.Emit(eventStood, zap.String("reason", reason), zap.Int64("token", d.ledger.Token))
}

func (d *Driver) claim(ctx context.Context, now time.Duration) {
	if now < d.pauseTo {
		return
	}
	d.pauseTo = now + callPause
	if !d.read(ctx) {
		return
	}
	if d.ledger.Replaced(d.Host) && now-max(d.lostAt, d.started) < d.Lease+leaseMargin {
		return
	}
	if d.holderWrites(now) {
		return
	}
	claimed := d.ledger.Claim(d.Host, d.Incarnation, d.oldestWindow())
	if !d.write(ctx, claimed.Merge(d.seen)) {
		return
	}
	d.held = true
	d.sent = map[int64]bool{}
	d.Events.Emit(eventClaimed, zap.Int64("token", d.ledger.Token), zap.Strings("recent", d.ledger.Recent))
}

// oldestWindow returns the first window of which this host knows counts, the
// present one if there is none.
func (d *Driver) oldestWindow() int64 {
	oldest := d.Usage.Window(d.Clock.Wall())
	for window := range d.seen {
		oldest = min(oldest, window)
	}
	return oldest
}

// holderWrites reports whether the ledger's holder may still write: it left no
// word, and its last write was first seen a moment ago.
func (d *Driver) holderWrites(now time.Duration) bool {
	if d.ledger.Holder == "" || d.ledger.Holder == d.Host {
		return false
	}
	if d.ledger.Write != d.watched {
		d.watched, d.watchedAt = d.ledger.Write, now
	}
	return now-d.watchedAt < quietHolder
}

// hold writes the ledger when it is due and acts on it.
func (d *Driver) hold(ctx context.Context, s *control.Snapshot, now time.Duration) {
	if now < d.pauseTo {
		return
	}
	wall := d.Clock.Wall()
	settled := d.settled(s, wall)
	moved := d.moveRollouts(s, now)
	if moved || settled > d.ledger.NextWindow || now-d.writtenAt >= checkpointInterval {
		if !d.write(ctx, d.ledger.Merge(d.seen).FinalizeReports(settled).WithRollouts(d.runs)) {
			d.pauseTo = d.Clock.Now() + callPause
			return
		}
	}
	if !d.mayAct() {
		return
	}
	d.report(ctx, wall)
	d.tellRollouts(ctx)
	d.order(ctx, s)
}

// mayAct reports whether the ledger was written so lately that nobody else can
// hold the duties.
func (d *Driver) mayAct() bool {
	return d.held && d.Clock.Now()-d.writtenAt < actWithin
}

// settled returns the first window whose counts may still change.
func (d *Driver) settled(s *control.Snapshot, wall time.Time) int64 {
	window := d.Usage.Window(wall)
	wait := settleAfter
	if len(s.Peers)+1 < s.SenderCount {
		wait = settleAtMost
	}
	for wall.Before(d.Usage.WindowEnd(window - 1).Add(wait)) {
		window--
	}
	return window
}
