package duty_test

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

const (
	window     = 5 * time.Second
	lease      = 3 * time.Second
	stepLength = 100 * time.Millisecond
)

// simulation simulates a log, a cloud API and hosts under one stepped clock.
type simulation struct {
	now    time.Duration
	random *rand.Rand
	hosts  []*host

	// records holds the log; its position is the end.
	records []record
	// epoch rises with each drill.
	epoch int64
	// delayed holds writes whose callers got no response; they are applied later
	// if the log still ends at their offset.
	delayed []delayedWrite
	// lossRate is the share of log writes that are delayed and of cloud calls
	// whose response is lost.
	lossRate float64
	logDown  bool

	// lateCalls holds usage reports without a response that are yet to be carried out.
	lateCalls []lateCall
	calls     []call
	// rollouts holds the rollouts that operators ordered; badTarget is set while their
	// targets fail. reported holds the states that were reported.
	rollouts  map[string]catalog.Rollout
	badTarget bool
	reported  []rollout.State
	// tokens holds the hosts that used the tokens.
	tokens map[int64]string
	// fence is the highest fencing token that the cloud API received.
	fence int64
	// reports holds the counts reported for each window.
	reports map[int64]string
	// violation describes the first broken invariant, "" if there is none.
	violation string
}

type record struct {
	value []byte
	at    time.Duration
}

type delayedWrite struct {
	at    int64
	value []byte
	due   time.Duration
}

type lateCall struct {
	token  int64
	report duty.Report
	due    time.Duration
}

type call struct {
	host  string
	token int64
	at    time.Duration
}

type host struct {
	sim    *simulation
	name   string
	driver *duty.Driver
	usage  *usage.Counter
	// proven is the configuration version that the host knows to be in force.
	proven int64
	// skew is how far the host's time of day is ahead.
	skew time.Duration
	// incarnation identifies the host's process.
	incarnation uint64
	// partitioned is set when the host exchanges no digests with others.
	partitioned bool
	// logUnreachable is set when the log does not respond to the host.
	logUnreachable bool
	alive          bool
	frozen         bool
	stopping       bool
}

func (h *host) stop() {
	h.stopping = true
	h.driver.Stop()
}

// Now implements duty.Clock.
func (h *host) Now() time.Duration { return h.sim.now }

// Wall implements duty.Clock.
func (h *host) Wall() time.Time { return h.sim.Wall().Add(h.skew) }

func (sim *simulation) Wall() time.Time { return time.Unix(1_700_000_000, 0).Add(sim.now) }

func (sim *simulation) start(i int) {
	h := &host{sim: sim, name: fmt.Sprint("host-", i), usage: usage.NewCounter(window), incarnation: sim.random.Uint64(), alive: true}
	if sim.hosts[i] != nil {
		h.skew = sim.hosts[i].skew
	}
	h.driver = duty.NewDriver(duty.Deps{
		Host: h.name, Incarnation: h.incarnation, Log: h, Cloud: h, Snapshots: h, Usage: h.usage, Planner: h, ProvenVersion: func(int64) int64 { return h.proven },
		Stats: h, RolloutReporter: h,
		Events: event.Discard(), Lease: lease, Clock: h,
	})
	sim.hosts[i] = h
}

// Snapshot implements the Snapshots dependency of a driver.
func (h *host) Snapshot() *control.Snapshot {
	s := &control.Snapshot{View: &catalog.View{Rollouts: h.sim.rollouts}, SenderCount: 1}
	for _, other := range h.sim.hosts {
		if other == h || !other.alive {
			continue
		}
		s.SenderCount++
		if h.partitioned || other.partitioned || other.frozen {
			continue
		}
		token, age := other.driver.HeldToken()
		s.Peers = append(s.Peers, &members.Peer{Digest: members.Digest{
			Host: other.name, Incarnation: other.incarnation, Ready: true, Stopping: other.stopping, LedgerToken: token, LedgerAge: age, Usage: other.usage.Recent(other.Wall()),
			VersionStats: other.VersionStats(h.sim.rollouts), VersionShares: other.driver.VersionShares(),
			Extension: members.Extension{RolloutShares: other.driver.RememberedShares()},
		}})
	}
	return s
}

// Newest implements topic.Keyed.
func (h *host) Newest(context.Context, string) ([]topic.Entry, topic.Position, error) {
	if h.sim.logDown || h.logUnreachable {
		return nil, topic.Position{}, topic.ErrUnavailable
	}
	return h.sim.newest(), h.sim.end(), nil
}

// newest returns the newest record of the log, if there is one.
func (sim *simulation) newest() []topic.Entry {
	if len(sim.records) == 0 {
		return nil
	}
	last := len(sim.records) - 1
	return []topic.Entry{{Key: "ledger", Value: sim.records[last].value, Offset: int64(last)}}
}

func (sim *simulation) end() topic.Position {
	return topic.Position{Epoch: sim.epoch, Offset: int64(len(sim.records))}
}

// restoreCopy replaces the log by a copy of an age.
func (sim *simulation) restoreCopy(age time.Duration) {
	sim.records = slices.DeleteFunc(sim.records, func(r record) bool { return r.at > sim.now-age })
	sim.epoch++
}

// appendAt appends a record if the log ends at an offset. The log knows no epoch of its writers.
func (sim *simulation) appendAt(offset int64, value []byte) bool {
	if offset != sim.end().Offset {
		return false
	}
	sim.records = append(sim.records, record{value: value, at: sim.now})
	return true
}

// Put implements topic.Keyed.
func (h *host) Put(_ context.Context, _, _ string, value []byte, at topic.Position) (topic.Position, error) {
	sim := h.sim
	if sim.logDown || h.logUnreachable {
		return topic.Position{}, topic.ErrUnavailable
	}
	if sim.random.Float64() < sim.lossRate {
		sim.delayed = append(sim.delayed, delayedWrite{at: at.Offset, value: value, due: sim.now + time.Duration(sim.random.IntN(4000))*time.Millisecond})
		return topic.Position{}, topic.ErrOutcomeUnknown
	}
	appended := sim.appendAt(at.Offset, value)
	switch {
	case at.Epoch != sim.epoch:
		return topic.Position{}, topic.ErrOutcomeUnknown
	case !appended:
		return topic.Position{}, topic.ErrConflict
	}
	return sim.end(), nil
}

// ReportUsage implements duty.Cloud.
func (h *host) ReportUsage(_ context.Context, grant duty.Grant, report duty.Report) (duty.Outcome, error) {
	sim := h.sim
	token := grant.Token
	if sim.now >= grant.Until || grant.Until > sim.now+lease {
		sim.violation = fmt.Sprintf("call at %v with a permission until %v", sim.now, grant.Until)
	}
	sim.checkCall(h, token)
	if sim.random.Float64() < sim.lossRate/2 {
		sim.lateCalls = append(sim.lateCalls, lateCall{token, report, sim.now + time.Duration(sim.random.IntN(4000))*time.Millisecond})
		return duty.OutcomeUnknown, fmt.Errorf("no answer yet")
	}
	if !sim.accept(token, report) {
		return duty.Refused, fmt.Errorf("a higher fence was seen")
	}
	if sim.random.Float64() < sim.lossRate {
		return duty.OutcomeUnknown, fmt.Errorf("no answer")
	}
	return duty.Done, nil
}

// accept carries out a usage report, unless a higher fencing token was seen.
func (sim *simulation) accept(token int64, report duty.Report) bool {
	if token < sim.fence {
		return false
	}
	sim.fence = token
	counts := fmt.Sprint(report.Counts)
	if before, known := sim.reports[report.Window]; known && before != counts {
		sim.violation = fmt.Sprintf("window %d was reported as %s and as %s", report.Window, before, counts)
	}
	sim.reports[report.Window] = counts
	return true
}

// acceptLate carries out the late calls that are due.
func (sim *simulation) acceptLate() {
	kept := sim.lateCalls[:0]
	for _, c := range sim.lateCalls {
		if c.due > sim.now {
			kept = append(kept, c)
			continue
		}
		sim.accept(c.token, c.report)
	}
	sim.lateCalls = kept
}

// OrderCapacity implements duty.Cloud.
func (h *host) OrderCapacity(_ context.Context, grant duty.Grant, _ duty.Order) (duty.Outcome, error) {
	h.sim.checkCall(h, grant.Token)
	if grant.Token < h.sim.fence {
		return duty.Refused, fmt.Errorf("a higher fence was seen")
	}
	h.sim.fence = grant.Token
	return duty.Done, nil
}

// Orders implements duty.Planner. A holder orders in each step, so that holders that alternate
// are noticed.
func (h *host) Orders(*control.Snapshot, duty.RolloutStarts, time.Duration) []duty.Order {
	return []duty.Order{{Service: "chat"}}
}

// Ordered implements duty.Planner.
func (h *host) Ordered(duty.Order, duty.Outcome, time.Duration) {}

// checkCall checks that no two hosts use the same token and that holders do not
// alternate within the lease.
func (sim *simulation) checkCall(h *host, token int64) {
	if earlier, used := sim.tokens[token]; used && earlier != h.name {
		sim.violation = fmt.Sprintf("token %d was used by %s and %s", token, earlier, h.name)
	}
	sim.tokens[token] = h.name
	between := false
	for i := len(sim.calls) - 1; i >= 0 && sim.now-sim.calls[i].at < lease; i-- {
		if sim.calls[i].host != h.name {
			between = true
		} else if between && token >= sim.fence {
			sim.violation = fmt.Sprintf("%s acts again at %v, with another holder since %v", h.name, sim.now, sim.calls[i].at)
		}
	}
	sim.calls = append(sim.calls, call{h.name, token, sim.now})
}

func newSimulation(hosts int, seed uint64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), hosts: make([]*host, hosts), reports: map[int64]string{}, tokens: map[int64]string{}}
	for i := range sim.hosts {
		sim.start(i)
	}
	return sim
}

// run advances the simulation by d; each host starts one request in each step.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; sim.now += stepLength {
		sim.applyDelayed()
		sim.acceptLate()
		for _, h := range sim.hosts {
			if h.alive && !h.frozen {
				h.usage.Count("riverside", h.Wall())
				h.driver.Step(context.Background())
			}
		}
	}
}

// applyDelayed applies the delayed writes that are due.
func (sim *simulation) applyDelayed() {
	kept := sim.delayed[:0]
	for _, l := range sim.delayed {
		if l.due > sim.now {
			kept = append(kept, l)
			continue
		}
		sim.appendAt(l.at, l.value)
	}
	sim.delayed = kept
}

func TestUsageOfEveryWindowIsReported(t *testing.T) {
	sim := newSimulation(5, 1)
	sim.run(42 * time.Second)
	require.Empty(t, sim.violation)
	first := usage.NewCounter(window).Window(time.Unix(1_700_000_000, 0))
	for k := range int64(7) {
		want := 5 * int(window/stepLength)
		require.Equal(t, fmt.Sprintf("map[riverside:%d]", want), sim.reports[first+k], "window %d", k)
	}
}

// claimOrder returns the indexes of the hosts in the order in which they claim.
func (sim *simulation) claimOrder() []int {
	var peers []*members.Peer
	for _, h := range sim.hosts {
		peers = append(peers, &members.Peer{Digest: members.Digest{Host: h.name, Ready: true}})
	}
	order := make([]int, len(sim.hosts))
	for i, h := range sim.hosts {
		order[members.DutyRank(h.name, 0, peers)] = i
	}
	return order
}

// takeoverTime is the longest time without a holder before some host takes the
// duties over; it is shorter than the lease that former holders wait for.
const takeoverTime = 2 * time.Second

// Scenario: the holder loses power. The host that is first to claim is a former
// holder, which must wait for its lease, so that the next one has to claim.
func TestNextHostClaimsWhileAFormerHolderWaits(t *testing.T) {
	sim := newSimulation(4, 1)
	order := sim.claimOrder()
	first, second := order[0], order[1]
	sim.run(3 * time.Second)
	require.Same(t, sim.hosts[first], sim.holder())
	sim.hosts[first].alive = false
	sim.run(8 * time.Second)
	require.Same(t, sim.hosts[second], sim.holder())
	sim.start(first)
	sim.run(time.Second)
	sim.hosts[second].alive = false
	sim.start(first)
	sim.run(takeoverTime + time.Second)
	require.Same(t, sim.hosts[order[2]], sim.holder())
	require.Empty(t, sim.violation)
}

// Scenario: the log does not respond to the host that is first to claim.
func TestNextHostClaimsWhileTheFirstCannotReachTheLog(t *testing.T) {
	sim := newSimulation(4, 1)
	order := sim.claimOrder()
	sim.hosts[order[0]].logUnreachable = true
	sim.run(takeoverTime)
	require.Same(t, sim.hosts[order[1]], sim.holder())
	require.Empty(t, sim.violation)
}

// Scenario: all hosts restart at once within a usage window; its counts must
// survive in the ledger, but for those since the last write.
func TestCountsSurviveRestartOfAllHosts(t *testing.T) {
	sim := newSimulation(5, 1)
	sim.run(12 * time.Second)
	for i := range sim.hosts {
		sim.start(i)
	}
	sim.run(20 * time.Second)
	require.Empty(t, sim.violation)
	first := usage.NewCounter(window).Window(time.Unix(1_700_000_000, 0))
	var got int
	_, err := fmt.Sscanf(sim.reports[first+2], "map[riverside:%d]", &got)
	require.NoError(t, err)
	require.InDelta(t, 5*int(window/stepLength), got, 0.06*5*float64(window/stepLength), "all hosts restarted in the window")
}

func TestStoppingHolderReleasesTheDuties(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.run(8 * time.Second)
	holder := sim.holder()
	require.NotNil(t, holder)
	holder.stop()
	sim.run(3 * time.Second)
	next := sim.holder()
	require.NotNil(t, next)
	require.NotEqual(t, holder.name, next.name)
}

func (sim *simulation) holder() *host {
	for _, h := range sim.hosts {
		if token, _ := h.driver.HeldToken(); h.alive && token > 0 {
			return h
		}
	}
	return nil
}

// Guards against two holders when the digests of the holder are lost while it still
// writes to the ledger.
func TestHolderWithoutDigestsKeepsTheDuties(t *testing.T) {
	sim := newSimulation(3, 1)
	sim.run(8 * time.Second)
	holder := sim.holder()
	token, _ := holder.driver.HeldToken()
	holder.partitioned = true
	sim.run(15 * time.Second)
	require.Empty(t, sim.violation)
	now, _ := holder.driver.HeldToken()
	require.Equal(t, token, now, "no other host has taken the duties")
}

// Guards against holders that alternate within the lease: a holder restarts, and its
// successor stops at once.
func TestHoldersDoNotAlternate(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.run(9 * time.Second)
	first := sim.holder()
	first.stop()
	sim.run(2 * stepLength)
	first.alive = false
	released := sim.now
	for sim.holder() == nil {
		sim.run(stepLength)
	}
	for i, h := range sim.hosts {
		if h == first {
			sim.start(i)
		}
	}
	second := sim.holder()
	require.NotEqual(t, first.name, second.name)
	sim.run(2 * stepLength)
	second.stop()
	for sim.holder() == nil || sim.holder() == second {
		sim.run(stepLength)
	}
	require.Equal(t, first.name, sim.holder().name)
	require.Greater(t, sim.now-released, lease)
}

// recoveryTime is the time after all troubles in which the duties are done again.
const recoveryTime = 25 * time.Second

// maxSkewMillis is how far, in milliseconds, the times of day of hosts are off.
const maxSkewMillis = 100

// drillAges are the ages of the copies from which the log comes back.
var drillAges = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

// Guards against a token of two holders, a window with two counts, and holders that alternate,
// since the log came back from copies beside other faults.
func TestDutiesUnderDrills(t *testing.T) {
	for seed := *drillFirst; seed < *drillFirst+*drillSeeds; seed++ {
		sim := newSimulation(2+int(seed%4), seed)
		for _, h := range sim.hosts {
			h.skew = time.Duration(sim.random.IntN(2*maxSkewMillis)-maxSkewMillis) * time.Millisecond
		}
		for sim.now < 2*time.Minute && sim.violation == "" {
			sim.runWithDrills()
		}
		require.Empty(t, sim.violation, "seed %d, at %v", seed, sim.now)
		sim.lossRate = 0
		sim.recover()
		sim.run(recoveryTime)
		require.Empty(t, sim.violation, "seed %d, at %v", seed, sim.now)
		last := sim.hosts[0].usage.Window(sim.Wall().Add(-window))
		require.Contains(t, sim.reports, last-1, "seed %d: duties are not done again", seed)
	}
}

// The schedules of TestDutiesUnderDrills.
var (
	drillFirst = flag.Uint64("duty.first", 1, "first seed of the schedules with drills")
	drillSeeds = flag.Uint64("duty.seeds", 20, "number of schedules with drills")
)

// runWithDrills applies a random trouble and goes on for up to four seconds.
func (sim *simulation) runWithDrills() {
	i := sim.random.IntN(len(sim.hosts))
	h := sim.hosts[i]
	switch sim.random.IntN(10) {
	case 0, 1, 2:
		sim.drill()
	case 3:
		h.alive = false
	case 4:
		h.frozen = !h.frozen
	case 5:
		h.partitioned = !h.partitioned
	case 6:
		sim.lossRate = []float64{0, 0, 0.1, 0.4}[sim.random.IntN(4)]
	case 7:
		h.stop()
	case 8:
		if holder := sim.holder(); holder != nil {
			holder.frozen = true
		}
	case 9:
		h.logUnreachable = !h.logUnreachable
	}
	if sim.random.IntN(2) == 0 {
		sim.recover()
	}
	sim.run(time.Duration(100+sim.random.IntN(4000)) * time.Millisecond)
}

// drill takes the log away for a moment and brings back a copy.
func (sim *simulation) drill() {
	sim.logDown = true
	sim.run(time.Duration(sim.random.IntN(8)) * stepLength)
	sim.logDown = false
	sim.restoreCopy(drillAges[sim.random.IntN(len(drillAges))])
}

// recover ends the troubles of all hosts.
func (sim *simulation) recover() {
	for i, h := range sim.hosts {
		h.frozen, h.partitioned, h.logUnreachable = false, false, false
		if !h.alive || h.stopping {
			sim.start(i)
		}
	}
}

// Guards against holders that alternate within the lease, since the copy lacks the claim of the
// one between.
func TestHoldersDoNotAlternateBehindADrill(t *testing.T) {
	sim := newSimulation(2, 1)
	sim.run(9 * time.Second)
	first := sim.holder()
	first.stop()
	sim.run(2 * stepLength)
	first.alive = false
	released := sim.now
	for sim.holder() == nil {
		sim.run(stepLength)
	}
	second := sim.holder()
	require.NotEqual(t, first.name, second.name)
	sim.run(2 * stepLength)
	second.alive = false
	sim.restoreCopy(sim.now - released)
	sim.start(slices.Index(sim.hosts, first))
	for sim.holder() == nil {
		sim.run(stepLength)
	}
	sim.run(2 * stepLength)
	require.Empty(t, sim.violation)
	require.Equal(t, first.name, sim.holder().name)
	require.Greater(t, sim.now-released, lease)
}

// Guards against a holder that gives up the duties, or waits, since the log was away for a moment
// and came back from a copy.
func TestHolderGoesOnBehindADrill(t *testing.T) {
	for _, away := range []time.Duration{0, 500 * time.Millisecond} {
		sim := newSimulation(3, 1)
		sim.run(16 * time.Second)
		holder := sim.holder()
		before, _ := holder.driver.HeldToken()
		sim.logDown = true
		sim.run(away)
		sim.logDown = false
		sim.restoreCopy(14 * time.Second)
		for range 10 {
			sim.run(stepLength)
			_, age := holder.driver.HeldToken()
			require.Less(t, age, time.Second, "its permission ran out")
		}
		require.Same(t, holder, sim.holder())
		after, _ := holder.driver.HeldToken()
		require.Greater(t, after, before)
		sim.run(10 * time.Second)
		require.Empty(t, sim.violation)
		require.Len(t, sim.reports, int(sim.now/window))
	}
}

// Invariant: no window is reported with two different counts, no two hosts use the
// same token, and holders do not alternate within the lease, while in any order hosts
// are killed, frozen, partitioned and restarted and the log is down, loses responses
// and applies writes late.
func TestDutiesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(2, 6).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				sim.hosts[i].alive = false
			case 1:
				if !sim.hosts[i].alive {
					sim.start(i)
				}
			case 2:
				sim.hosts[i].partitioned = !sim.hosts[i].partitioned
			case 3:
				sim.hosts[i].frozen = !sim.hosts[i].frozen
			case 4:
				sim.lossRate = rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "lose")
			case 5:
				sim.logDown = !sim.logDown
			case 6:
				sim.hosts[i].stop()
			case 7:
				if h := sim.holder(); h != nil {
					h.frozen = true
				}
			}
			sim.run(time.Duration(rapid.IntRange(200, 7000).Draw(t, "ms")) * time.Millisecond)
			if sim.violation != "" {
				t.Fatal(sim.violation)
			}
		}
	})
}

func TestInvalidLedgerIsAnError(t *testing.T) {
	_, err := duty.ParseLedger([]byte("{"))
	require.ErrorIs(t, err, duty.ErrLedger)
	l, err := duty.ParseLedger(nil)
	require.NoError(t, err)
	require.Zero(t, l.Token)
}

func FuzzParseLedger(f *testing.F) {
	data, err := duty.Ledger{}.Claim("h", 1, 5, topic.Position{}).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"open":{"1":{"2":null}}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l, err := duty.ParseLedger(data)
		if err == nil {
			l.Merge(nil).FinalizeReports(l.NextWindow + 3)
			merged := l.Claim("h", 1, 5, topic.Position{}).Merge(map[int64]map[uint64]duty.Counts{7: {8: {"acme": 1}}})
			for _, before := range []int64{0, 1 << 30, math.MaxInt64} {
				merged.FinalizeReports(before)
			}
		}
	})
}
