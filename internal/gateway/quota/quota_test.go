package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/quota"
)

const gossip = 200 * time.Millisecond

// deployment is several hosts that tell one another what they used.
type deployment struct {
	hosts    []*quota.Limiter
	cut      map[int]bool
	customer catalog.Customer
	taken    []float64
	nextTell time.Duration
}

func newDeployment(hosts int, rate, burst float64) *deployment {
	d := &deployment{cut: map[int]bool{}, customer: catalog.Customer{Name: "c", Rate: rate, Burst: burst}}
	for range hosts {
		d.hosts = append(d.hosts, quota.NewLimiter())
	}
	return d
}

// tell passes what each host used on to those that hear it.
func (d *deployment) tell(now time.Duration) {
	if now < d.nextTell {
		return
	}
	d.nextTell = now + gossip
	connected := 0
	for i := range d.hosts {
		if !d.cut[i] {
			connected++
		}
	}
	for i, from := range d.hosts {
		share := float64(connected) / float64(len(d.hosts))
		if d.cut[i] {
			share = 1 / float64(len(d.hosts))
		}
		from.SetShare(share)
		for j, to := range d.hosts {
			if i != j && !d.cut[i] && !d.cut[j] {
				to.RecordPeerUsage(fmt.Sprint(i), from.Used(), true, now)
			}
		}
	}
}

// ask asks a host for an amount and reports whether it was admitted.
func (d *deployment) ask(host int, amount float64, now time.Duration) bool {
	ok, wait := d.hosts[host].Take(&d.customer, amount, now)
	if ok {
		d.taken = append(d.taken, now.Seconds(), amount)
		return true
	}
	if wait <= 0 {
		panic("a refused caller is told when to come back")
	}
	return false
}

// window is the time over which quotas are judged, in seconds.
const window = 8.0

// most returns the most that was taken in any window.
func (d *deployment) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for last := 0; last < len(d.taken); last += 2 {
		sum += d.taken[last+1]
		for ; d.taken[first] <= d.taken[last]-window; first += 2 {
			sum -= d.taken[first+1]
		}
		most = max(most, sum)
	}
	return most
}

// Load pattern: a customer sends several times its quota to all hosts at once,
// while some hosts cannot hear the others.
func TestQuotaHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		rate := rapid.Float64Range(50_000, 300_000).Draw(t, "rate")
		amount := rapid.Float64Range(200, 12_000).Draw(t, "amount")
		excess := rapid.Float64Range(1, 5).Draw(t, "excess")
		d := newDeployment(hosts, rate, rate)
		cutFrom := rapid.IntRange(0, 20).Draw(t, "cutFrom")
		step := time.Duration(amount / (rate * excess) * float64(time.Second))
		for now, k := time.Duration(0), 0; now < 20*time.Second; now, k = now+step, k+1 {
			d.cut[0] = int(now.Seconds()) >= cutFrom && hosts > 1
			d.tell(now)
			d.ask(k%hosts, amount, now)
		}
		// What is asked between two digests may be taken beyond the quota.
		lag := rate * excess * 2 * gossip.Seconds()
		bound := (rate*8+rate)*1.1 + lag + float64(hosts)*amount
		if got := d.most(); got > bound {
			t.Fatalf("%.0f taken in 8 s, bound %.0f", got, bound)
		}
	})
}

// Load pattern: 31 of 88 hosts are cut off at 1 s, which shows at 3 s. Then a
// customer sends several times its quota to all, and hosts tell one another each 0.8
// s, at different times.
func TestQuotaHoldsInALargeFleetThatIsCut(t *testing.T) {
	for _, times := range []float64{2, 4, 6, 8, 10, 14} {
		t.Run(fmt.Sprint(times), func(t *testing.T) { cutLargeFleet(t, times) })
	}
}

// cutLargeFleet plays a customer that sends so many times its quota.
func cutLargeFleet(t *testing.T, times float64) {
	const hosts, cut, pause = 88, 31, 800 * time.Millisecond
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(hosts, rate, rate)
	f := newFleet(d, pause)
	side := func(i int) bool { return i < cut }
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		told := f.tell(now, func(from, to int) bool { return now < time.Second || side(from) == side(to) })
		for _, i := range told {
			if now > 3*time.Second {
				d.hosts[i].SetShare(map[bool]float64{true: cut, false: hosts - cut}[side(i)] / hosts)
			}
		}
		d.ask(k*37%hosts, amount, now)
		demand := rate / 2
		if now > 3500*time.Millisecond {
			demand = rate * times
		}
		now += time.Duration(amount / demand * float64(time.Second))
	}
	require.LessOrEqual(t, d.most(), (rate*8+rate)*1.1+140_000, "the users' bound")
	total := 0.0
	for i := 1; i < len(d.taken); i += 2 {
		total += d.taken[i]
	}
	require.GreaterOrEqual(t, total, 0.8*(16.5+3.5/2)*rate, "what is within the quota is served")
}

// Load pattern: upstreams crash under a customer that sends several times its
// quota, and one request in ten runs again.
func TestQuotaHoldsWhileRequestsRunAgain(t *testing.T) {
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(9, rate, rate)
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		d.tell(now)
		before := len(d.taken)
		host := k % len(d.hosts)
		d.ask(host, amount, now)
		if len(d.taken) > before && len(d.taken)/2%10 == 0 {
			d.hosts[host].ChargeRetry(&d.customer, amount, now)
			d.taken = append(d.taken, now.Seconds(), amount)
		}
		demand := rate / 2
		if now > 3*time.Second {
			demand = 4 * rate
		}
		now += time.Duration(amount / demand * float64(time.Second))
	}
	require.LessOrEqual(t, d.most(), (rate*8+rate)*1.1, "the users' bound without its slack")
}

// Load pattern: a fleet is cut in two halves, and a customer sends several times
// its quota in small requests to both.
func TestHalvesOfAFleetShareTheOverdraft(t *testing.T) {
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(2, rate, rate)
	d.cut[0], d.cut[1] = true, true
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		d.tell(now)
		d.ask(k%2, amount, now)
		now += time.Duration(amount / (6 * rate) * float64(time.Second))
	}
	require.LessOrEqual(t, d.most(), 8*rate+(1+0.3)*rate+2*amount, "rate, burst and one overdraft")
}

func TestRequestsWithinTheQuotaAreNotRefused(t *testing.T) {
	d := newDeployment(7, 100_000, 100_000)
	refused := 0
	for now, k := time.Duration(0), 0; now < 20*time.Second; now, k = now+100*time.Millisecond, k+1 {
		d.tell(now)
		if ok, _ := d.hosts[k%7].Take(&d.customer, 8000, now); !ok {
			refused++
		}
	}
	require.Zero(t, refused, "80,000 a second were asked of 100,000")
}

// Load pattern: a customer of ninety hosts asks for 55 in 100 of its quota.
func TestRequestsWithinTheQuotaOfALargeFleetAreNotRefused(t *testing.T) {
	for _, rate := range []float64{110_000, 280_000, 1_000_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			usual := func(time.Duration) float64 { return 0.55 * rate }
			_, asked, refused := askLargeFleet(91, rate, 7, usual)
			_, _, beyond := askLargeFleet(1, rate, 7, usual)
			t.Logf("%d of %d refused, %d by one host that knows all", refused, asked, beyond)
			require.LessOrEqual(t, float64(refused-beyond), 0.01*float64(asked), "refused of %d", asked)
		})
	}
}

// Load pattern: a customer of ninety hosts suddenly sends several times what it
// usually does.
func TestQuotaHoldsInALargeFleet(t *testing.T) {
	for _, rate := range []float64{110_000, 280_000, 1_000_000} {
		for _, times := range []float64{3, 7.5, 12} {
			t.Run(fmt.Sprint(rate, " times ", times), func(t *testing.T) {
				for seed := range uint64(2) {
					d, _, _ := askLargeFleet(91, rate, seed, func(now time.Duration) float64 {
						if now > 5*time.Second && now < 20*time.Second {
							return 0.55 * rate * times
						}
						return 0.55 * rate
					})
					require.LessOrEqual(t, d.most(), (rate*8+rate)*1.1+140_000, "the users' bound")
				}
			})
		}
	}
}

// askLargeFleet asks hosts, chosen at random, for a demand in tokens a second, in
// clumps of three requests whose sizes differ much. It returns the numbers of
// requests asked and refused.
func askLargeFleet(hosts int, rate float64, seed uint64, demand func(time.Duration) float64) (d *deployment, asked, refused int) {
	const pause, mean, spread, clump = 800 * time.Millisecond, 6000.0, 1.1, 3
	draw := rand.New(rand.NewPCG(seed, 7))
	d = newDeployment(hosts, rate, rate)
	fleet := newFleet(d, pause)
	for now := time.Duration(0); now < 30*time.Second; {
		fleet.tell(now, func(int, int) bool { return true })
		for range clump {
			amount := min(mean*math.Exp(draw.NormFloat64()*spread-spread*spread/2), 60_000)
			ok := d.ask(draw.IntN(hosts), amount, now)
			// The first second shows what a new process may assume.
			if now < time.Second {
				continue
			}
			asked++
			if !ok {
				refused++
			}
		}
		now += time.Duration(draw.ExpFloat64() * clump * mean / demand(now) * float64(time.Second))
	}
	return d, asked, refused
}

// fleet is a large deployment whose hosts tell one another at different times.
type fleet struct {
	*deployment
	pause time.Duration
	// next holds when each host tells.
	next []time.Duration
}

func newFleet(d *deployment, pause time.Duration) *fleet {
	f := &fleet{deployment: d, pause: pause, next: make([]time.Duration, len(d.hosts))}
	for i := range f.next {
		f.next[i] = pause * time.Duration(i) / time.Duration(len(d.hosts))
	}
	return f
}

// tell passes what each host used on to the peers that hear it, when it is due.
// It returns the hosts that told.
func (f *fleet) tell(now time.Duration, hears func(from, to int) bool) []int {
	var told []int
	for i, from := range f.hosts {
		if now < f.next[i] {
			continue
		}
		f.next[i] += f.pause
		told = append(told, i)
		heard := 0
		for j, to := range f.hosts {
			if i != j && hears(i, j) {
				heard++
				to.RecordPeerUsage(fmt.Sprint(i), from.Used(), true, now)
			}
		}
		from.SetPropagationDelay(f.pause-gossip, heard)
	}
	return told
}

// Load pattern: drafts of 12,000 tokens use a lowered quota up, beside bookings
// of 200 tokens.
func TestSmallRequestsPassWhereLargeOnesWait(t *testing.T) {
	l := quota.NewLimiter()
	c := catalog.Customer{Name: "c", Rate: 35_000, Burst: 35_000}
	small, large := 0, 0
	for k := range 400 {
		now := time.Duration(k) * 50 * time.Millisecond
		if ok, _ := l.Take(&c, 200, now); !ok {
			small++
		}
		if ok, _ := l.Take(&c, 12_000, now); !ok {
			large++
		}
	}
	require.Less(t, small, 40, "refused of 400 small requests")
	require.Greater(t, large, 300, "refused of 400 large requests")
}

func TestReturnedQuotaCanBeUsed(t *testing.T) {
	l := quota.NewLimiter()
	c := catalog.Customer{Name: "c", Rate: 100, Burst: 100}
	for range 50 {
		ok, _ := l.Take(&c, 40, time.Second)
		require.True(t, ok)
		l.Refund(&c, 40)
	}
	require.Zero(t, l.Used()["c"])
}

func TestNoQuotaMeansNoLimit(t *testing.T) {
	l := quota.NewLimiter()
	ok, _ := l.Take(&catalog.Customer{Name: "c"}, 1e12, 0)
	require.True(t, ok)
}

func TestNewProcessAssumesThatMuchWasUsed(t *testing.T) {
	l := quota.NewLimiter()
	c := catalog.Customer{Name: "c", Rate: 1000, Burst: 1000}
	taken := 0.0
	for range 100 {
		if ok, _ := l.Take(&c, 100, time.Second); ok {
			taken += 100
		}
	}
	require.LessOrEqual(t, taken, 500.0)
}
