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

// digestInterval is the time between two digests to a peer in a small deployment.
const digestInterval = 200 * time.Millisecond

// deployment simulates hosts that exchange digests with what they used.
type deployment struct {
	hosts []*quota.Limiter
	// partitioned holds the hosts that exchange no digests with others.
	partitioned map[int]bool
	customer    catalog.Customer
	// taken alternates between the time in seconds and the amount of each use.
	taken        []float64
	nextExchange time.Duration
}

func newDeployment(hosts int, rate, burst float64) *deployment {
	return newTolerantDeployment(hosts, rate, burst, quota.Tolerance{})
}

func newTolerantDeployment(hosts int, rate, burst float64, tolerance quota.Tolerance) *deployment {
	d := &deployment{partitioned: map[int]bool{}, customer: catalog.Customer{Name: "c", Rate: rate, Burst: burst}}
	for range hosts {
		d.hosts = append(d.hosts, quota.NewLimiter(tolerance))
	}
	for _, h := range d.hosts {
		h.SetCustomers([]catalog.Customer{d.customer}, 0)
	}
	return d
}

// exchange passes what each host used to its connected peers if a digest is due.
func (d *deployment) exchange(now time.Duration) {
	if now < d.nextExchange {
		return
	}
	d.nextExchange = now + digestInterval
	connected := 0
	for i := range d.hosts {
		if !d.partitioned[i] {
			connected++
		}
	}
	for i, from := range d.hosts {
		share := float64(connected) / float64(len(d.hosts))
		if d.partitioned[i] {
			share = 1 / float64(len(d.hosts))
		}
		from.SetShare(share)
		for j, to := range d.hosts {
			if i != j && !d.partitioned[i] && !d.partitioned[j] {
				to.RecordPeerUsage(fmt.Sprint(i), from.Used(), true, now)
			}
		}
	}
}

// take takes an amount at a host and reports whether it was admitted.
func (d *deployment) take(host int, amount float64, now time.Duration) bool {
	ok, wait := d.hosts[host].Take(&d.customer, amount, now)
	if ok {
		d.taken = append(d.taken, now.Seconds(), amount)
		return true
	}
	if wait <= 0 {
		panic("a refusal without the time after which to retry")
	}
	return false
}

// windowSeconds is the time over which use is compared with the quota.
const windowSeconds = 8.0

// maxTaken returns the largest amount that was taken within windowSeconds.
func (d *deployment) maxTaken() float64 {
	highest, sum, first := 0.0, 0.0, 0
	for last := 0; last < len(d.taken); last += 2 {
		sum += d.taken[last+1]
		for ; d.taken[first] <= d.taken[last]-windowSeconds; first += 2 {
			sum -= d.taken[first+1]
		}
		highest = max(highest, sum)
	}
	return highest
}

// Scenario: a customer sends up to five times its quota to all hosts while one host
// may be partitioned from the others. The hosts do not know at once what the others
// admit, so that together they might exceed the quota.
func TestQuotaHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		rate := rapid.Float64Range(50_000, 300_000).Draw(t, "rate")
		amount := rapid.Float64Range(200, 12_000).Draw(t, "amount")
		factor := rapid.Float64Range(1, 5).Draw(t, "excess")
		d := newDeployment(hosts, rate, rate)
		partitionedFromSecond := rapid.IntRange(0, 20).Draw(t, "cutFrom")
		step := time.Duration(amount / (rate * factor) * float64(time.Second))
		for now, k := time.Duration(0), 0; now < 20*time.Second; now, k = now+step, k+1 {
			d.partitioned[0] = int(now.Seconds()) >= partitionedFromSecond && hosts > 1
			d.exchange(now)
			d.take(k%hosts, amount, now)
		}
		// Beyond the quota may be taken what is requested until the next digests
		// have been exchanged, for which two intervals are allowed, and one amount
		// per host, since a host admits a request while a part of it is left.
		betweenDigests := rate * factor * 2 * digestInterval.Seconds()
		bound := (rate*8+rate)*1.1 + betweenDigests + float64(hosts)*amount
		if got := d.maxTaken(); got > bound {
			t.Fatalf("%.0f taken in 8 s, bound %.0f", got, bound)
		}
	})
}

// Scenario: a network partition cuts 31 of 88 hosts off at 1 s and is detected at
// 3 s. Then a customer sends several times its quota to all hosts, which send digests
// every 0.8 s at different times.
func TestQuotaHoldsInALargePartitionedFleet(t *testing.T) {
	for _, factor := range []float64{2, 4, 6, 8, 10, 14} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) { loadPartitionedFleet(t, factor) })
	}
}

// loadPartitionedFleet simulates a customer that sends factor times its quota.
func loadPartitionedFleet(t *testing.T, factor float64) {
	const hosts, firstSide, interval = 88, 31, 800 * time.Millisecond
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(hosts, rate, rate)
	staggered := newStaggeredDeployment(d, interval)
	side := func(i int) bool { return i < firstSide }
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		senders := staggered.exchange(now, func(from, to int) bool { return now < time.Second || side(from) == side(to) })
		for _, i := range senders {
			if now > 3*time.Second {
				d.hosts[i].SetShare(map[bool]float64{true: firstSide, false: hosts - firstSide}[side(i)] / hosts)
			}
		}
		d.take(k*37%hosts, amount, now) // steps of 37, coprime to 88, reach all hosts and mix the sides
		demand := rate / 2
		if now > 3500*time.Millisecond {
			demand = rate * factor
		}
		now += time.Duration(amount / demand * float64(time.Second))
	}
	require.LessOrEqual(t, d.maxTaken(), (rate*8+rate)*1.1+140_000, "required bound: quota of the window and burst, plus 10 percent and 140,000 tokens")
	total := 0.0
	for i := 1; i < len(d.taken); i += 2 {
		total += d.taken[i]
	}
	// The quota is requested at half its rate for 3.5 s and exceeded for 16.5 s.
	require.GreaterOrEqual(t, total, 0.8*(16.5+3.5/2)*rate, "at least 80 percent of what is within the quota is admitted")
}

// Load pattern: a customer sends several times its quota while upstreams crash, so
// that one request in ten is retried.
func TestQuotaHoldsWithRetries(t *testing.T) {
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(9, rate, rate)
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		d.exchange(now)
		before := len(d.taken)
		host := k % len(d.hosts)
		d.take(host, amount, now)
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
	require.LessOrEqual(t, d.maxTaken(), (rate*8+rate)*1.1, "required bound without its slack of 140,000 tokens")
}

// Scenario: a network partition cuts a fleet into halves, and a customer sends six
// times its quota in small requests to both. If each half allowed the whole overdraft,
// the customer would get it twice.
func TestHalvesOfAFleetShareTheOverdraft(t *testing.T) {
	rate, amount := 800_000.0, 7000.0
	d := newDeployment(2, rate, rate)
	d.partitioned[0], d.partitioned[1] = true, true
	for now, k := time.Duration(0), 0; now < 20*time.Second; k++ {
		d.exchange(now)
		d.take(k%2, amount, now)
		now += time.Duration(amount / (6 * rate) * float64(time.Second))
	}
	require.LessOrEqual(t, d.maxTaken(), 8*rate+(1+0.3)*rate+2*amount, "rate, burst, one overdraft and one request per host")
}

func TestRequestsWithinTheQuotaAreNotRefused(t *testing.T) {
	d := newDeployment(7, 100_000, 100_000)
	refused := 0
	for now, k := time.Duration(0), 0; now < 20*time.Second; now, k = now+100*time.Millisecond, k+1 {
		d.exchange(now)
		if ok, _ := d.hosts[k%7].Take(&d.customer, 8000, now); !ok {
			refused++
		}
	}
	require.Zero(t, refused, "80,000 of 100,000 a second were requested")
}

// Load pattern: a customer requests 55 percent of its quota from 91 hosts. Each of
// them estimates what the others use, and must not refuse much more than a single
// host that receives all requests.
func TestLargeFleetRefusesAboutAsFewRequestsAsOneHost(t *testing.T) {
	for _, rate := range []float64{110_000, 280_000, 1_000_000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			usual := func(time.Duration) float64 { return 0.55 * rate }
			_, sent, refused := loadRandomly(91, rate, 7, usual)
			_, _, refusedByOne := loadRandomly(1, rate, 7, usual)
			t.Logf("%d of %d refused, %d by a single host", refused, sent, refusedByOne)
			require.LessOrEqual(t, float64(refused-refusedByOne), 0.01*float64(sent), "refused of %d", sent)
		})
	}
}

// Load pattern: a customer suddenly sends 91 hosts several times its usual load.
func TestQuotaHoldsInALargeFleet(t *testing.T) {
	for _, rate := range []float64{110_000, 280_000, 1_000_000} {
		for _, factor := range []float64{3, 7.5, 12} {
			t.Run(fmt.Sprint(rate, " times ", factor), func(t *testing.T) {
				for seed := range uint64(2) {
					d, _, _ := loadRandomly(91, rate, seed, func(now time.Duration) float64 {
						if now > 5*time.Second && now < 20*time.Second {
							return 0.55 * rate * factor
						}
						return 0.55 * rate
					})
					require.LessOrEqual(t, d.maxTaken(), (rate*8+rate)*1.1+140_000, "required bound: quota of the window and burst, plus 10 percent and 140,000 tokens")
				}
			})
		}
	}
}

// Load pattern: a customer with a small quota suddenly sends several times its usual
// load to two hundred hosts, of which each gets few requests.
func TestQuotaHoldsWithFewRequestsAHost(t *testing.T) {
	const rate = 35_000.0
	tolerance := quota.Tolerance{Excess: 0.1, Slack: 140_000, Window: 8 * time.Second}
	for _, factor := range []float64{3, 7.5} {
		d, _, _ := loadFleet(newTolerantDeployment(195, rate, rate, tolerance), 600*time.Millisecond, 1, func(now time.Duration) float64 {
			if now > 5*time.Second && now < 20*time.Second {
				return 0.55 * rate * factor
			}
			return 0.55 * rate
		})
		require.LessOrEqual(t, d.maxTaken(), (rate*8+rate)*1.1+140_000, "times %g: quota of the window and burst, plus the tolerance", factor)
	}
}

// Load pattern: the same at nine hosts, which may use a part of the tolerance.
func TestToleranceIsNotExceeded(t *testing.T) {
	tolerance := quota.Tolerance{Excess: 0.1, Slack: 140_000, Window: 8 * time.Second}
	for _, rate := range []float64{35_000, 110_000, 280_000, 1_000_000} {
		for _, factor := range []float64{0.8 / 0.55, 3, 7.5, 12} {
			d, _, _ := loadFleet(newTolerantDeployment(9, rate, rate, tolerance), digestInterval, 1, func(now time.Duration) float64 {
				if now > 5*time.Second && now < 20*time.Second {
					return 0.55 * rate * factor
				}
				return 0.55 * rate
			})
			require.LessOrEqual(t, d.maxTaken(), (rate*8+rate)*1.1+140_000, "%g times %g", rate, factor)
		}
	}
}

// loadRandomly loads a fleet of a size whose digests are up to 0.8 s old.
func loadRandomly(hosts int, rate float64, seed uint64, demand func(time.Duration) float64) (d *deployment, sent, refused int) {
	return loadFleet(newDeployment(hosts, rate, rate), 800*time.Millisecond, seed, demand)
}

// loadFleet sends a demand in tokens a second to hosts chosen at random, in batches
// of three requests whose sizes are log-normally distributed. It returns the numbers
// of requests sent and refused.
func loadFleet(d *deployment, interval time.Duration, seed uint64, demand func(time.Duration) float64) (_ *deployment, sent, refused int) {
	return loadStaggered(newStaggeredDeployment(d, interval), seed, demand)
}

func loadStaggered(staggered *staggeredDeployment, seed uint64, demand func(time.Duration) float64) (d *deployment, sent, refused int) {
	const mean, sigma, batch = 6000.0, 1.1, 3
	d = staggered.deployment
	hosts := len(d.hosts)
	draw := rand.New(rand.NewPCG(seed, 7))
	for now := time.Duration(0); now < 30*time.Second; {
		staggered.exchange(now, func(int, int) bool { return true })
		for range batch {
			amount := min(mean*math.Exp(draw.NormFloat64()*sigma-sigma*sigma/2), 60_000)
			ok := d.take(draw.IntN(hosts), amount, now)
			// Whether requests of the first second are admitted depends on the level
			// that a new process assumes.
			if now < time.Second {
				continue
			}
			sent++
			if !ok {
				refused++
			}
		}
		now += time.Duration(draw.ExpFloat64() * batch * mean / demand(now) * float64(time.Second))
	}
	return d, sent, refused
}

// staggeredDeployment is a deployment whose hosts send digests at different times.
type staggeredDeployment struct {
	*deployment
	interval time.Duration
	// delay is the propagation delay that hosts reckon with.
	delay time.Duration
	// next holds the time of the next digest of each host.
	next []time.Duration
}

func newStaggeredDeployment(d *deployment, interval time.Duration) *staggeredDeployment {
	s := &staggeredDeployment{deployment: d, interval: interval, delay: interval - digestInterval, next: make([]time.Duration, len(d.hosts))}
	for i := range s.next {
		s.next[i] = interval * time.Duration(i) / time.Duration(len(d.hosts))
	}
	return s
}

// exchange passes what each host used to its connected peers if its digest is due.
// It returns the hosts that sent digests.
func (s *staggeredDeployment) exchange(now time.Duration, connected func(from, to int) bool) []int {
	var senders []int
	for i, from := range s.hosts {
		if now < s.next[i] {
			continue
		}
		s.next[i] += s.interval
		senders = append(senders, i)
		peers := 0
		for j, to := range s.hosts {
			if i != j && connected(i, j) {
				peers++
				to.RecordPeerUsage(fmt.Sprint(i), from.Used(), true, now)
			}
		}
		from.SetPropagationDelay(s.delay, peers)
	}
	return senders
}

// Load pattern: a customer with a small quota sends requests of 12,000 tokens, which
// use it up, and of 200 tokens.
func TestSmallRequestsPassWhereLargeOnesWait(t *testing.T) {
	l := quota.NewLimiter(quota.Tolerance{})
	c := catalog.Customer{Name: "c", Rate: 35_000, Burst: 35_000}
	smallRefused, largeRefused := 0, 0
	for k := range 400 {
		now := time.Duration(k) * 50 * time.Millisecond
		if ok, _ := l.Take(&c, 200, now); !ok {
			smallRefused++
		}
		if ok, _ := l.Take(&c, 12_000, now); !ok {
			largeRefused++
		}
	}
	require.Less(t, smallRefused, 40, "refused of 400 small requests")
	require.Greater(t, largeRefused, 300, "refused of 400 large requests")
}

func TestRefundedQuotaCanBeUsed(t *testing.T) {
	l := quota.NewLimiter(quota.Tolerance{})
	c := catalog.Customer{Name: "c", Rate: 100, Burst: 100}
	for range 50 {
		ok, _ := l.Take(&c, 40, time.Second)
		require.True(t, ok)
		l.Refund(&c, 40)
	}
	require.Zero(t, l.Used()["c"])
}

func TestNoQuotaMeansNoLimit(t *testing.T) {
	l := quota.NewLimiter(quota.Tolerance{})
	ok, _ := l.Take(&catalog.Customer{Name: "c"}, 1e12, 0)
	require.True(t, ok)
}

func TestNewProcessAssumesAPartOfTheBurst(t *testing.T) {
	l := quota.NewLimiter(quota.Tolerance{})
	c := catalog.Customer{Name: "c", Rate: 1000, Burst: 1000}
	taken := 0.0
	for range 100 {
		if ok, _ := l.Take(&c, 100, time.Second); ok {
			taken += 100
		}
	}
	require.LessOrEqual(t, taken, 500.0)
}

// A configuration holds an extreme quota by mistake, and the next one a sound one.
func TestExtremeQuotaIsForgottenWithTheNextOne(t *testing.T) {
	const rate, burst, refilled = 100, 500, 2 * time.Minute
	extremes := []float64{-math.MaxFloat64, -1e18, 0, 1e-9, 1e18, math.MaxFloat64}
	for _, wrongRate := range extremes {
		for _, wrongBurst := range extremes {
			for _, amount := range extremes {
				wrong := catalog.Customer{Name: "c", Rate: wrongRate, Burst: wrongBurst}
				sound := catalog.Customer{Name: "c", Rate: rate, Burst: burst}
				l := quota.NewLimiter(quota.Tolerance{})
				l.SetPropagationDelay(time.Second, 90)
				l.SetCustomers([]catalog.Customer{wrong}, time.Second)
				for range 3 {
					l.Take(&wrong, amount, 2*time.Second)
					l.ChargeRetry(&wrong, amount, 2*time.Second)
				}
				l.SetCustomers([]catalog.Customer{sound}, 3*time.Second)
				taken, wait := l.Take(&sound, 1, 3*time.Second+refilled)
				require.True(t, taken, "rate %g, burst %g, amount %g: wait %v", wrongRate, wrongBurst, amount, wait)
			}
		}
	}
}

// A peer reports by mistake that a customer has used an extreme amount.
func TestExtremeReportOfAPeerIsForgotten(t *testing.T) {
	customer := catalog.Customer{Name: "c", Rate: 100, Burst: 500}
	for _, used := range []float64{1e18, -1e18, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()} {
		l := quota.NewLimiter(quota.Tolerance{})
		l.SetPropagationDelay(time.Second, 90)
		l.SetCustomers([]catalog.Customer{customer}, time.Second)
		for i := range 3 {
			l.RecordPeerUsage("peer", map[string]float64{"c": used}, true, time.Second)
			l.RecordPeerUsage("peer", map[string]float64{"c": float64(i)}, true, time.Second)
		}
		l.RecordPeerUsage("other", map[string]float64{"c": used}, true, time.Second)
		taken, wait := l.Take(&customer, 1, 2*time.Minute)
		require.True(t, taken, "%g used: wait %v", used, wait)
	}
}

// Guards against a bucket that was refilled while the host could not hear what others used.
func TestRestartForgetsWhatWasRefilledUnheard(t *testing.T) {
	customer := &catalog.Customer{Name: "c", Rate: 100, Burst: 100}
	l := quota.NewLimiter(quota.Tolerance{})
	l.SetCustomers([]catalog.Customer{*customer}, 0)
	l.Restart(time.Minute)
	taken := 0
	for {
		if ok, _ := l.Take(customer, 10, time.Minute); !ok {
			break
		}
		taken += 10
	}
	require.LessOrEqual(t, taken, 40, "a new process assumes 0.4 of the burst")
	require.Positive(t, taken)
}
