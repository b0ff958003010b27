package duty_test

import (
	"context"
	"fmt"
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
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

const (
	window = 5 * time.Second
	lease  = 3 * time.Second
	stride = 100 * time.Millisecond
)

// world is a log, a cloud API and hosts under one stepped clock.
type world struct {
	now    time.Duration
	random *rand.Rand
	hosts  []*host

	entry topic.Entry
	end   int64
	// late holds writes whose callers got no answer; they are tried later.
	late []lateWrite
	lose float64
	down bool

	calls   []call
	fence   int64
	reports map[int64]string
	fault   string
}

type lateWrite struct {
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
	world  *world
	name   string
	driver *duty.Driver
	usage  *usage.Counter
	// incarnation identifies the host's process.
	incarnation uint64
	cut         bool
	// lacksLog tells that the log does not answer the host.
	lacksLog bool
	alive    bool
	frozen   bool
	stopping bool
}

func (h *host) stop() {
	h.stopping = true
	h.driver.Stop()
}

func (w *world) Now() time.Duration { return w.now }
func (w *world) Wall() time.Time    { return time.Unix(1_700_000_000, 0).Add(w.now) }

func (w *world) boot(i int) {
	h := &host{world: w, name: fmt.Sprint("host-", i), usage: usage.NewCounter(window), incarnation: w.random.Uint64(), alive: true}
	h.driver = duty.NewDriver(duty.Deps{
		Host: h.name, Incarnation: h.incarnation, Log: h, Cloud: h, Snapshots: h, Usage: h.usage,
		Events: event.Discard(), Lease: lease, Clock: w,
	})
	w.hosts[i] = h
}

// Snapshot implements what a driver asks of beliefs.
func (h *host) Snapshot() *control.Snapshot {
	s := &control.Snapshot{View: &catalog.View{}, SenderCount: 1}
	for _, other := range h.world.hosts {
		if other == h || !other.alive {
			continue
		}
		s.SenderCount++
		if h.cut || other.cut || other.frozen {
			continue
		}
		token, age := other.driver.Held()
		s.Peers = append(s.Peers, &members.Peer{Digest: members.Digest{
			Host: other.name, Incarnation: other.incarnation, Ready: true, Stopping: other.stopping, LedgerToken: token, LedgerAge: age, Usage: other.usage.Recent(h.world.Wall()),
		}})
	}
	return s
}

// Newest implements topic.Keyed.
func (h *host) Newest(context.Context, string) ([]topic.Entry, int64, error) {
	if h.world.down || h.lacksLog {
		return nil, 0, topic.ErrUnavailable
	}
	if h.world.end == 0 {
		return nil, 0, nil
	}
	return []topic.Entry{h.world.entry}, h.world.end, nil
}

// Put implements topic.Keyed.
func (h *host) Put(_ context.Context, _, key string, value []byte, at int64) (int64, error) {
	w := h.world
	if w.down || h.lacksLog {
		return 0, topic.ErrUnavailable
	}
	if w.random.Float64() < w.lose {
		w.late = append(w.late, lateWrite{at: at, value: value, due: w.now + time.Duration(w.random.IntN(4000))*time.Millisecond})
		return 0, topic.ErrOutcomeUnknown
	}
	if at != w.end {
		return 0, topic.ErrConflict
	}
	w.end++
	w.entry = topic.Entry{Key: key, Value: value, Offset: w.end - 1}
	return w.end, nil
}

// ReportUsage implements duty.Cloud.
func (h *host) ReportUsage(_ context.Context, token int64, report duty.Report) (duty.Outcome, error) {
	w := h.world
	w.check(h, token)
	if token < w.fence {
		return duty.Refused, fmt.Errorf("a higher fence was seen")
	}
	w.fence = token
	counts := fmt.Sprint(report.Counts)
	if before, known := w.reports[report.Window]; known && before != counts {
		w.fault = fmt.Sprintf("window %d was reported as %s and as %s", report.Window, before, counts)
	}
	w.reports[report.Window] = counts
	if w.random.Float64() < w.lose {
		return duty.OutcomeUnknown, fmt.Errorf("no answer")
	}
	return duty.Done, nil
}

// OrderCapacity implements duty.Cloud.
func (h *host) OrderCapacity(context.Context, int64, duty.Order) (duty.Outcome, error) {
	return duty.Done, nil
}

// check looks for one token of two hosts, and for holders that alternate.
func (w *world) check(h *host, token int64) {
	for _, earlier := range w.calls {
		if earlier.token == token && earlier.host != h.name {
			w.fault = fmt.Sprintf("token %d was used by %s and %s", token, earlier.host, h.name)
		}
	}
	between := false
	for i := len(w.calls) - 1; i >= 0 && w.now-w.calls[i].at < lease; i-- {
		if w.calls[i].host != h.name {
			between = true
		} else if between && token >= w.fence {
			w.fault = fmt.Sprintf("%s acts again at %v, with another holder since %v", h.name, w.now, w.calls[i].at)
		}
	}
	w.calls = append(w.calls, call{h.name, token, w.now})
}

func newWorld(hosts int, seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), hosts: make([]*host, hosts), reports: map[int64]string{}}
	for i := range w.hosts {
		w.boot(i)
	}
	return w
}

// run goes on for a time; each host begins a request each step.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.fault == ""; w.now += stride {
		w.applyLate()
		for _, h := range w.hosts {
			if h.alive && !h.frozen {
				h.usage.Count("riverside", w.Wall())
				h.driver.Step(context.Background())
			}
		}
	}
}

// applyLate tries writes again whose callers got no answer.
func (w *world) applyLate() {
	kept := w.late[:0]
	for _, l := range w.late {
		switch {
		case l.due > w.now:
			kept = append(kept, l)
		case l.at == w.end:
			w.end++
			w.entry = topic.Entry{Key: "ledger", Value: l.value, Offset: w.end - 1}
		}
	}
	w.late = kept
}

func TestUsageOfEveryWindowIsReported(t *testing.T) {
	w := newWorld(5, 1)
	w.run(42 * time.Second)
	require.Empty(t, w.fault)
	first := usage.NewCounter(window).Window(time.Unix(1_700_000_000, 0))
	for k := range int64(7) {
		want := 5 * int(window/stride)
		require.Equal(t, fmt.Sprintf("map[riverside:%d]", want), w.reports[first+k], "window %d", k)
	}
}

// byRank returns the positions of hosts in the order in which they claim.
func (w *world) byRank() []int {
	names := make([]string, len(w.hosts))
	for i, h := range w.hosts {
		names[i] = h.name
	}
	var order []int
	for _, name := range rendezvous.Order(members.DutyKey, names) {
		order = append(order, slices.Index(names, name))
	}
	return order
}

// takenWithin is the time in which some host must have taken the duties over;
// the lease of former holders is longer.
const takenWithin = 2 * time.Second

// Load pattern: power fails at the holder, and at a former holder that is the
// first to claim; it must wait for its lease.
func TestNextHostClaimsWhileAFormerHolderWaits(t *testing.T) {
	w := newWorld(4, 1)
	order := w.byRank()
	first, second := order[0], order[1]
	w.run(3 * time.Second)
	require.Same(t, w.hosts[first], w.holder())
	w.hosts[first].alive = false
	w.run(8 * time.Second)
	require.Same(t, w.hosts[second], w.holder())
	w.boot(first)
	w.run(time.Second)
	w.hosts[second].alive = false
	w.boot(first)
	w.run(takenWithin + time.Second)
	require.Same(t, w.hosts[order[2]], w.holder())
	require.Empty(t, w.fault)
}

// Load pattern: the log turns away the host that is the first to claim.
func TestNextHostClaimsWhileTheFirstLacksTheLog(t *testing.T) {
	w := newWorld(4, 1)
	order := w.byRank()
	w.hosts[order[0]].lacksLog = true
	w.run(takenWithin)
	require.Same(t, w.hosts[order[1]], w.holder())
	require.Empty(t, w.fault)
}

func TestCountsOutliveTheirHosts(t *testing.T) {
	w := newWorld(5, 1)
	w.run(12 * time.Second)
	for i := range w.hosts {
		w.boot(i)
	}
	w.run(20 * time.Second)
	require.Empty(t, w.fault)
	first := usage.NewCounter(window).Window(time.Unix(1_700_000_000, 0))
	var got int
	_, err := fmt.Sscanf(w.reports[first+2], "map[riverside:%d]", &got)
	require.NoError(t, err)
	require.InDelta(t, 5*int(window/stride), got, 0.06*5*float64(window/stride), "all hosts ended in the window")
}

func TestStoppingHolderHandsOverAtOnce(t *testing.T) {
	w := newWorld(3, 1)
	w.run(8 * time.Second)
	holder := w.holder()
	require.NotNil(t, holder)
	holder.stop()
	w.run(3 * time.Second)
	next := w.holder()
	require.NotNil(t, next)
	require.NotEqual(t, holder.name, next.name)
}

func (w *world) holder() *host {
	for _, h := range w.hosts {
		if token, _ := h.driver.Held(); h.alive && token > 0 {
			return h
		}
	}
	return nil
}

// History: the digests of the holder are not heard, but it goes on writing.
func TestUnheardHolderKeepsTheDuties(t *testing.T) {
	w := newWorld(3, 1)
	w.run(8 * time.Second)
	holder := w.holder()
	token, _ := holder.driver.Held()
	holder.cut = true
	w.run(15 * time.Second)
	require.Empty(t, w.fault)
	now, _ := holder.driver.Held()
	require.Equal(t, token, now, "nobody else took them meanwhile")
}

// History: a holder stops and starts again, and its successor stops at once.
func TestHoldersDoNotAlternate(t *testing.T) {
	w := newWorld(2, 1)
	w.run(9 * time.Second)
	first := w.holder()
	first.stop()
	w.run(2 * stride)
	first.alive = false
	released := w.now
	for w.holder() == nil {
		w.run(stride)
	}
	for i, h := range w.hosts {
		if h == first {
			w.boot(i)
		}
	}
	second := w.holder()
	require.NotEqual(t, first.name, second.name)
	w.run(2 * stride)
	second.stop()
	for w.holder() == nil || w.holder() == second {
		w.run(stride)
	}
	require.Equal(t, first.name, w.holder().name)
	require.Greater(t, w.now-released, lease)
}

// Histories: hosts are killed, frozen, cut off and restarted, the log loses
// answers, writes late and is down, in any order.
func TestHistoriesOfDuties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 6).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				w.hosts[i].alive = false
			case 1:
				if !w.hosts[i].alive {
					w.boot(i)
				}
			case 2:
				w.hosts[i].cut = !w.hosts[i].cut
			case 3:
				w.hosts[i].frozen = !w.hosts[i].frozen
			case 4:
				w.lose = rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "lose")
			case 5:
				w.down = !w.down
			case 6:
				w.hosts[i].stop()
			case 7:
				if h := w.holder(); h != nil {
					h.frozen = true
				}
			}
			w.run(time.Duration(rapid.IntRange(200, 7000).Draw(t, "ms")) * time.Millisecond)
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
	})
}

func TestLedgerThatCannotBeReadIsAnError(t *testing.T) {
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
		}
	})
}
