package credit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/marigoldmux/marigoldmux/internal/testseed"
)

const (
	hosts     = 9
	lease     = 2 * time.Second
	step      = 50 * time.Millisecond
	reportLag = time.Second
	// requestInterval is the time between two requests of a host.
	requestInterval = 500 * time.Millisecond
)

// trial simulates hosts that each send as many requests to one upstream as their
// credits allow, with network partitions, lost and delayed messages, and paused
// hosts.
type trial struct {
	rand      *rand.Rand
	now       time.Time
	level     int
	holders   [hosts]*Holder
	pools     [hosts]*Pool
	partition [hosts]int
	paused    [hosts]time.Time
	running   [hosts][]time.Time
	messages  []message
	history   []int
	longest   time.Duration
	// stepsPerFault is the average number of steps between two faults.
	stepsPerFault int
}

type message struct {
	at      time.Time
	to      int
	deliver func()
}

func newTrial(seed uint64, level int, longest time.Duration) *trial {
	t := &trial{rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), level: level, longest: longest}
	for i := range hosts {
		holder := NewHolder(lease)
		t.holders[i] = &holder
	}
	return t
}

func hostID(i int) string { return fmt.Sprint("h", i) }

func (t *trial) send(from, to int, do func()) {
	if t.partition[from] != t.partition[to] || t.rand.IntN(20) == 0 {
		return
	}
	delay := time.Duration(t.rand.IntN(20)) * 10 * time.Millisecond
	if t.rand.IntN(50) == 0 {
		delay = time.Duration(t.rand.IntN(6000)) * time.Millisecond
	}
	t.messages = append(t.messages, message{t.now.Add(delay), to, do})
}

// coordinator returns the coordinator in the view of a host: the first host in
// its partition.
func (t *trial) coordinator(host int) int {
	for i := range hosts {
		if t.partition[i] == t.partition[host] {
			return i
		}
	}
	return host
}

func (t *trial) request(i int) {
	coordinator := t.coordinator(i)
	if coordinator != i {
		t.pools[i] = nil
	}
	if !t.holders[i].ShouldRequest(t.now, hostID(coordinator)) {
		return
	}
	request := t.holders[i].NewRequest(t.now, Request{
		Host: hostID(i), Members: hosts, Wanted: len(t.running[i]) + 2, InFlight: len(t.running[i]),
	})
	t.send(i, coordinator, func() { t.reply(coordinator, i, request) })
}

func (t *trial) reply(coordinator, host int, request Request) {
	if t.coordinator(coordinator) != coordinator {
		return
	}
	if t.pools[coordinator] == nil {
		t.pools[coordinator] = NewPool("u", t.now, lease, true)
	}
	pool := t.pools[coordinator]
	if index := len(t.history) - int(reportLag/step); index >= 0 {
		pool.Report(t.now.Add(-reportLag), t.history[index])
	}
	pool.Receive(t.now, request)
	grant := pool.GrantTo(t.now, hostID(host), t.level)
	t.send(coordinator, host, func() { t.holders[host].Receive(t.now, hostID(coordinator), grant, t.level) })
}

func (t *trial) total() int {
	total := 0
	for _, list := range t.running {
		total += len(list)
	}
	return total
}

func (t *trial) tick() {
	t.now = t.now.Add(step)
	pending := t.messages
	t.messages = nil
	for _, m := range pending {
		if m.at.After(t.now) || t.now.Before(t.paused[m.to]) {
			t.messages = append(t.messages, m)
			continue
		}
		m.deliver()
	}
	for i := range hosts {
		kept := t.running[i][:0]
		for _, end := range t.running[i] {
			if end.After(t.now) {
				kept = append(kept, end)
			}
		}
		t.running[i] = kept
		if t.now.Before(t.paused[i]) {
			continue
		}
		if t.now.Sub(t.holders[i].LastSent()) >= requestInterval {
			t.request(i)
		}
		limit, _ := t.holders[i].Limit(t.now, hosts, t.level)
		for len(t.running[i]) < limit {
			t.running[i] = append(t.running[i], t.now.Add(time.Duration(t.rand.Int64N(int64(t.longest)))))
		}
	}
	t.history = append(t.history, t.total())
}

func (t *trial) injectFault() {
	switch t.rand.IntN(5 * t.stepsPerFault) {
	case 0, 1:
		for i := range hosts {
			t.partition[i] = t.rand.IntN(2)
		}
	case 2:
		t.partition = [hosts]int{}
	case 3, 4:
		t.paused[t.rand.IntN(hosts)] = t.now.Add(time.Duration(t.rand.IntN(8000)) * time.Millisecond)
	}
}

// TestLimitHoldsOverAllHosts checks that all hosts together never exceed the
// limit under partitions, lost and delayed messages and pauses of hosts.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		level := rapid.SampledFrom([]int{2, 4, 16, 32}).Draw(t, "level")
		longest := rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second}).Draw(t, "longest")
		trial := newTrial(rapid.Uint64().Draw(t, "seed"), level, longest)
		trial.stepsPerFault = rapid.SampledFrom([]int{20, 100}).Draw(t, "calm")
		for range 1200 {
			trial.injectFault()
			trial.tick()
			require.LessOrEqual(t, trial.total(), level)
		}
	})
}

func TestWholeLimitIsUsedWithoutPartition(t *testing.T) {
	for _, level := range []int{2, 16} {
		trial := newTrial(7, level, 2*time.Second)
		for trial.now.Before(time.Unix(1000, 0).Add((warmupLeases + 1) * lease)) {
			trial.tick()
		}
		used := 0
		for range 400 {
			trial.tick()
			used += trial.total()
		}
		require.Greater(t, float64(used)/400/float64(level), 0.8)
	}
}

func TestPartitionedHostKeepsItsOwnShare(t *testing.T) {
	trial := newTrial(3, 18, time.Second)
	for range 100 {
		trial.tick()
	}
	trial.partition[8] = 1
	for range 200 {
		trial.tick()
	}
	highest := 0
	for range 100 {
		trial.tick()
		limit, _ := trial.holders[8].Limit(trial.now, hosts, 18)
		highest = max(highest, limit)
	}
	require.Equal(t, 2, highest)
}

func TestHolderWithoutCoordinatorUsesItsOwnShareAfterBothLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(lease)
	require.True(t, h.ShouldRequest(now, "a"))
	r := h.NewRequest(now, Request{})
	require.True(t, h.Receive(now, "a", Grant{Amount: 5, Epoch: now.UnixMilli(), InReplyTo: r.Sent}, 18))
	h.NewRequest(now.Add(time.Second), Request{})
	limit, until := h.Limit(now.Add(time.Second), hosts, 2)
	require.Equal(t, 5, limit)
	require.Equal(t, now.Add(lease).UnixMilli(), until.UnixMilli())
	limit, _ = h.Limit(now.Add(lease), hosts, 2)
	require.Zero(t, limit)
	require.False(t, h.ShouldRequest(now.Add(lease), "b"))
	limit, _ = h.Limit(now.Add(2*lease), hosts, 2)
	require.Equal(t, 2, limit)
	require.True(t, h.ShouldRequest(now.Add(2*lease), "b"))
}

func TestDemandMovesCredits(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := NewPool("u", now.Add(-lease), lease, true)
	pool.Report(now, 0)
	grants := map[int]int{}
	for round := range 6 {
		now = now.Add(500 * time.Millisecond)
		for i := range 4 {
			wanted := 0
			if i == 2 {
				wanted = 12
			}
			pool.Receive(now, Request{Host: hostID(i), Lease: lease, Members: 4, Wanted: wanted, Echo: now.UnixMilli() - 100, Sent: now.UnixMilli() + int64(round)})
			grants[i] = pool.GrantTo(now, hostID(i), 16).Amount
		}
	}
	require.GreaterOrEqual(t, grants[2], 12)
	sum := 0
	for _, amount := range grants {
		sum += amount
	}
	require.LessOrEqual(t, sum, 16)
	require.GreaterOrEqual(t, sum, 14)
}

func TestLateGrantIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewHolder(lease)
	h.ShouldRequest(now, "a")
	r := h.NewRequest(now, Request{})
	late := now.Add(lease + time.Second)
	require.True(t, h.Receive(late, "a", Grant{Amount: 5, Epoch: late.UnixMilli(), InReplyTo: r.Sent}, 18))
	limit, _ := h.Limit(late, 20, 2)
	require.Zero(t, limit)
}

func TestShareInALateRequestIsNotCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := NewPool("u", now.Add(-lease), lease, true)
	pool.Report(now, 0)
	late := now.Add(lease)
	pool.Receive(late, Request{Host: "h", Lease: lease, Members: 1, Wanted: 4, Echo: now.UnixMilli(), Sent: now.UnixMilli()})
	require.Zero(t, pool.GrantTo(late, "h", 16).Amount)
	pool.Receive(late, Request{Host: "h", Lease: lease, Members: 1, Wanted: 4, Echo: late.UnixMilli(), Sent: late.UnixMilli()})
	require.Equal(t, 16, pool.GrantTo(late, "h", 16).Amount)
}

func TestRequestsOfUnknownHostsCount(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := NewPool("u", now.Add(-lease), lease, true)
	request := Request{Host: "h", Lease: lease, Members: 2, Wanted: 9, Echo: now.UnixMilli(), Sent: now.UnixMilli()}
	pool.Receive(now, request)
	require.Zero(t, pool.GrantTo(now, "h", 16).Amount, "no report yet")
	pool.Report(now, 0)
	require.Zero(t, pool.GrantTo(now.Add(-time.Millisecond), "h", 16).Amount, "grants of the last coordinator")
	require.Equal(t, 8, pool.GrantTo(now, "h", 16).Amount)
	pool.Report(now, 13)
	pool.Receive(now, request)
	require.Equal(t, 3, pool.GrantTo(now, "h", 16).Amount)
}
