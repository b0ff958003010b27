package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

var policies = []Policy{RoundRobin, LeastLoad, Core}

func newSimulation(tb testing.TB, opts Options) *Simulation {
	tb.Helper()
	sim, err := NewSimulation(opts)
	require.NoError(tb, err)
	return sim
}

func onRoute(name string) func(string, string) bool {
	return func(routeName, _ string) bool { return routeName == name }
}

// BenchmarkLoad measures 9 hosts and 9 engines at several loads.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 1.0, 1.2} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, policy), func(b *testing.B) {
				for range b.N {
					sim := newSimulation(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
					sim.Offer(sim.Mixed(0.4), 60*time.Second)
					sim.Run(60 * time.Second)
					from := sim.Now
					sim.Offer(sim.Mixed(load), 12*time.Minute)
					sim.Run(12 * time.Minute)
					to := from.Add(2 * time.Minute)
					menu, draft := sim.Results(from, to, onRoute("menu")), sim.Results(from, to, onRoute("draft"))
					b.ReportMetric(100*menu.OnTime, "on-time-%")
					b.ReportMetric(100*menu.Refused, "refused-%")
					b.ReportMetric(float64(menu.FirstToken.Milliseconds()), "first-p95-ms")
					b.ReportMetric(float64(menu.TokenInterval.Milliseconds()), "between-p95-ms")
					b.ReportMetric(100*draft.Finished, "drafts-finished-%")
					b.ReportMetric(menu.Computed, "prompt-tokens")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// withFlood adds to the default mix requests of the largest customer at three
// times the capacity.
func withFlood(sim *Simulation, load float64) []Stream {
	streams := sim.Mixed(load)
	return append(streams, Stream{
		Route: "menu", Customer: "central-branches", PerSecond: 3 * sim.Capacity() / sim.meanTokens("menu"),
	})
}

var smallCustomers = []string{"riverside", "planners", "head-office"}

// BenchmarkFlood has one large customer flood the hosts while small customers
// send less than their shares.
func BenchmarkFlood(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
				sim.Offer(sim.Mixed(0.4), 60*time.Second)
				sim.Run(60 * time.Second)
				from := sim.Now
				sim.Offer(withFlood(sim, 0.5), 2*time.Minute)
				sim.Run(3 * time.Minute)
				worst, worstNotes := 1.0, 1.0
				for _, name := range smallCustomers {
					menu := sim.Results(from, sim.Now, func(r, c string) bool { return r == "menu" && c == name })
					notes := sim.Results(from, sim.Now, func(r, c string) bool { return r == "notes" && c == name })
					worst, worstNotes = min(worst, menu.OnTime), min(worstNotes, notes.Finished)
				}
				large := sim.Results(from, sim.Now, func(r, c string) bool { return r == "menu" && c == "central-branches" })
				b.ReportMetric(100*worst, "worst-small-on-time-%")
				b.ReportMetric(100*worstNotes, "worst-small-notes-done-%")
				b.ReportMetric(100*large.Finished, "large-done-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// runColdStart adds a new engine under high load, with or without a network
// partition. It returns the engine's peak of requests in flight while cold
// relative to its cold limit, the time from the end of its cold start to full use
// (zero if it was never full) and its number of crashes.
func runColdStart(tb testing.TB, policy Policy, partitioned bool, seed uint64) (peak float64, full time.Duration, crashes int) {
	tb.Helper()
	sim := newSimulation(tb, Options{Policy: policy, Hosts: 9, Engines: 8, Seed: seed, Warm: true})
	sim.Offer(sim.Mixed(0.4), 30*time.Second)
	sim.Run(30 * time.Second)
	sim.Offer(sim.Mixed(1.2), 3*time.Minute)
	sim.Run(10 * time.Second)
	if partitioned {
		for i := range sim.partition {
			sim.partition[i] = i % 2
		}
		sim.UpdateMembers()
	}
	added := sim.addEngine("advice-new", sim.zone(3), false)
	sim.updateHostList()
	listed := sim.Now
	sim.Run(15 * time.Second)
	if partitioned {
		for i := range sim.partition {
			sim.partition[i] = sim.rand.IntN(2)
		}
		sim.UpdateMembers()
	}
	sim.Run(90 * time.Second)
	peak = float64(added.peakCold) / float64(added.coldInFlight)
	if !added.fullAt.IsZero() {
		full = added.fullAt.Sub(listed) - added.coldStart
	}
	return peak, full, added.crashes
}

// BenchmarkColdStart measures the load of a new engine when more is offered
// than the capacity.
func BenchmarkColdStart(b *testing.B) {
	for _, partitioned := range []bool{false, true} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("split=%v/%s", partitioned, policy), func(b *testing.B) {
				for range b.N {
					worst, crashes, slowest, full := 0.0, 0, time.Duration(0), 0
					const seeds = 10
					for seed := range uint64(seeds) {
						peak, toFull, crashed := runColdStart(b, policy, partitioned, seed)
						worst, crashes, slowest = max(worst, peak), crashes+crashed, max(slowest, toFull)
						if toFull > 0 {
							full++
						}
					}
					b.ReportMetric(worst, "peak-over-bears")
					b.ReportMetric(float64(crashes), "falls")
					b.ReportMetric(slowest.Seconds(), "to-full-max-s")
					b.ReportMetric(float64(full), "of-10-full")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func TestColdEngineStaysWithinItsLimit(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		for seed := range uint64(3) {
			peak, full, crashes := runColdStart(t, Core, partitioned, seed)
			require.LessOrEqual(t, peak, 1.0, "split=%v seed=%d", partitioned, seed)
			require.Zero(t, crashes)
			if !partitioned {
				require.Positive(t, full)
			}
		}
	}
}

// BenchmarkTurnCold makes engines cold without notice, one after the other.
func BenchmarkTurnCold(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
				sim.Offer(sim.Mixed(0.4), 60*time.Second)
				sim.Run(60 * time.Second)
				sim.Offer(sim.Mixed(0.6), 5*time.Minute)
				from := sim.Now
				crashes := 0
				for _, name := range sim.engineIDs[:4] {
					sim.Run(20 * time.Second)
					sim.engines[name].becomeCold()
					sim.Run(40 * time.Second)
					crashes += sim.engines[name].crashes
				}
				menu := sim.Results(from, sim.Now, onRoute("menu"))
				b.ReportMetric(float64(crashes), "falls-of-4")
				b.ReportMetric(100*menu.OnTime, "on-time-%")
				b.ReportMetric(100*menu.Finished, "done-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkZone excludes a zone under load and puts it back into service. The
// configuration reaches each host within a second.
func BenchmarkZone(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(b, Options{Policy: policy, Hosts: 9, Engines: 12, Seed: 1, Warm: true})
				sim.Offer(sim.Mixed(0.4), 60*time.Second)
				sim.Run(60 * time.Second)
				sim.Offer(sim.Mixed(0.6), 5*time.Minute)
				sim.Run(time.Minute)
				excludedAt := sim.Now
				sim.SetZone(sim.zone(1), document.ZoneExcluded, time.Second)
				sim.Run(time.Minute)
				last := time.Duration(0)
				for _, e := range sim.engines {
					for _, at := range e.lastAttempt {
						if e.zone == sim.zone(1) {
							last = max(last, at.Sub(excludedAt))
						}
					}
				}
				restoredAt := sim.Now
				sim.SetZone(sim.zone(1), document.ZoneServing, time.Second)
				sim.Run(time.Minute)
				during, after := sim.Results(excludedAt, restoredAt, onRoute("menu")), sim.Results(restoredAt, sim.Now.Add(-10*time.Second), onRoute("menu"))
				b.ReportMetric(last.Seconds(), "last-new-work-s")
				b.ReportMetric(100*(1-during.OnTime), "late-away-%")
				b.ReportMetric(100*(1-after.OnTime), "late-return-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
