package duty_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
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

	// newest is the newest record of the log.
	newest topic.Entry
	logEnd int64
	// delayed holds writes whose callers got no response; they are applied later
	// if the log still ends at their offset.
	delayed []delayedWrite
	// lossRate is the share of log writes that are delayed and of cloud calls
	// whose response is lost.
	lossRate float64
	logDown  bool

	calls []call
	// fence is the highest fencing token that the cloud API received.
	fence int64
	// reports holds the counts reported for each window.
	reports map[int64]string
	// violation describes the first broken invariant, "" if there is none.
	violation string
}

type delayedWrite struct {
	at    int64
	value []byte
	due   time.Duration
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

func (sim *simulation) Now() time.Duration { return sim.now }
func (sim *simulation) Wall() time.Time    { return time.Unix(1_700_000_000, 0).Add(sim.now) }

func (sim *simulation) start(i int) {
	h := &host{sim: sim, name: fmt.Sprint("host-", i), usage: usage.NewCounter(window), incarnation: sim.random.Uint64(), alive: true}
	h.driver = duty.NewDriver(duty.Deps{
		Host: h.name, Incarnation: h.incarnation, Log: h, Cloud: h, Snapshots: h, Usage: h.usage,
		Events: event.Discard(), Lease: lease, Clock: sim,
	})
	sim.hosts[i] = h
}

// Snapshot implements the Snapshots dependency of a driver.
func (h *host) Snapshot() *control.Snapshot {
	s := &control.Snapshot{View: &catalog.View{}, SenderCount: 1}
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
			Host: other.name, Incarnation: other.incarnation, Ready: true, Stopping: other.stopping, LedgerToken: token, LedgerAge: age, Usage: other.usage.Recent(h.sim.Wall()),
		}})
	}
	return s
}

// Newest implements topic.Keyed.
func (h *host) Newest(context.Context, string) ([]topic.Entry, topic.Position, error) {
	if h.sim.logDown || h.logUnreachable {
		return nil, topic.Position{}, topic.ErrUnavailable
	}
	if h.sim.logEnd == 0 {
		return nil, topic.Position{}, nil
	}
	return []topic.Entry{h.sim.newest}, topic.Position{Offset: h.sim.logEnd}, nil
}

// Put implements topic.Keyed.
func (h *host) Put(_ context.Context, _, key string, value []byte, at topic.Position) (topic.Position, error) {
	sim := h.sim
	if sim.logDown || h.logUnreachable {
		return topic.Position{}, topic.ErrUnavailable
	}
	if sim.random.Float64() < sim.lossRate {
		sim.delayed = append(sim.delayed, delayedWrite{at: at.Offset, value: value, due: sim.now + time.Duration(sim.random.IntN(4000))*time.Millisecond})
		return topic.Position{}, topic.ErrOutcomeUnknown
	}
	if at.Offset != sim.logEnd {
		return topic.Position{}, topic.ErrConflict
	}
	sim.logEnd++
	sim.newest = topic.Entry{Key: key, Value: value, Offset: sim.logEnd - 1}
	return topic.Position{Offset: sim.logEnd}, nil
}

// ReportUsage implements duty.Cloud.
func (h *host) ReportUsage(_ context.Context, grant duty.Grant, report duty.Report) (duty.Outcome, error) {
	sim := h.sim
	token := grant.Token
	if sim.now >= grant.Until || grant.Until > sim.now+lease {
		sim.violation = fmt.Sprintf("call at %v with a permission until %v", sim.now, grant.Until)
	}
	sim.checkCall(h, token)
	if token < sim.fence {
		return duty.Refused, fmt.Errorf("a higher fence was seen")
	}
	sim.fence = token
	counts := fmt.Sprint(report.Counts)
	if before, known := sim.reports[report.Window]; known && before != counts {
		sim.violation = fmt.Sprintf("window %d was reported as %s and as %s", report.Window, before, counts)
	}
	sim.reports[report.Window] = counts
	if sim.random.Float64() < sim.lossRate {
		return duty.OutcomeUnknown, fmt.Errorf("no answer")
	}
	return duty.Done, nil
}

// OrderCapacity implements duty.Cloud.
func (h *host) OrderCapacity(context.Context, duty.Grant, duty.Order) (duty.Outcome, error) {
	return duty.Done, nil
}

// checkCall checks that no two hosts use the same token and that holders do not
// alternate within the lease.
func (sim *simulation) checkCall(h *host, token int64) {
	for _, earlier := range sim.calls {
		if earlier.token == token && earlier.host != h.name {
			sim.violation = fmt.Sprintf("token %d was used by %s and %s", token, earlier.host, h.name)
		}
	}
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
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 7)), hosts: make([]*host, hosts), reports: map[int64]string{}}
	for i := range sim.hosts {
		sim.start(i)
	}
	return sim
}

// run advances the simulation by d; each host starts one request in each step.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; sim.now += stepLength {
		sim.applyDelayed()
		for _, h := range sim.hosts {
			if h.alive && !h.frozen {
				h.usage.Count("riverside", sim.Wall())
				h.driver.Step(context.Background())
			}
		}
	}
}

// applyDelayed applies the delayed writes that are due.
func (sim *simulation) applyDelayed() {
	kept := sim.delayed[:0]
	for _, l := range sim.delayed {
		switch {
		case l.due > sim.now:
			kept = append(kept, l)
		case l.at == sim.logEnd:
			sim.logEnd++
			sim.newest = topic.Entry{Key: "ledger", Value: l.value, Offset: sim.logEnd - 1}
		}
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
	data, err := duty.Ledger{}.Claim("h", 1, 5).Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"open":{"1":{"2":null}}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l, err := duty.ParseLedger(data)
		if err == nil {
			l.Merge(nil).FinalizeReports(l.NextWindow + 3)
			merged := l.Claim("h", 1, 5).Merge(map[int64]map[uint64]duty.Counts{7: {8: {"acme": 1}}})
			for _, before := range []int64{0, 1 << 30, math.MaxInt64} {
				merged.FinalizeReports(before)
			}
		}
	})
}
