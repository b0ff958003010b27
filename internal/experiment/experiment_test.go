package experiment

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/document"
)

var policies = []Policy{RoundRobin, LeastLoad, Core}

func newWorld(tb testing.TB, opts Options) *Simulation {
	tb.Helper()
	w, err := NewSimulation(opts)
	require.NoError(tb, err)
	return w
}

func onRoute(name string) func(string, string) bool {
	return func(routeName, _ string) bool { return routeName == name }
}

// BenchmarkLoad offers a rising load to 9 hosts and 9 engines.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 1.0, 1.2} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, policy), func(b *testing.B) {
				for range b.N {
					w := newWorld(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
					w.Offer(w.Mixed(0.4), 60*time.Second)
					w.Run(60 * time.Second)
					from := w.Now
					w.Offer(w.Mixed(load), 12*time.Minute)
					w.Run(12 * time.Minute)
					to := from.Add(2 * time.Minute)
					menu, draft := w.Results(from, to, onRoute("menu")), w.Results(from, to, onRoute("draft"))
					b.ReportMetric(100*menu.OnTime, "on-time-%")
					b.ReportMetric(100*menu.Refused, "refused-%")
					b.ReportMetric(float64(menu.First.Milliseconds()), "first-p95-ms")
					b.ReportMetric(float64(menu.Between.Milliseconds()), "between-p95-ms")
					b.ReportMetric(100*draft.Finished, "drafts-finished-%")
					b.ReportMetric(menu.Computed, "prompt-tokens")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// flood adds to a usual load a customer that sends three times the capacity.
func flood(w *Simulation, load float64) []Stream {
	streams := w.Mixed(load)
	return append(streams, Stream{
		Route: "menu", Customer: "central-branches", PerSecond: 3 * w.Capacity() / w.tokensOf("menu"),
	})
}

var smallCustomers = []string{"riverside", "planners", "head-office"}

// BenchmarkFlood has one large customer flood the hosts beside small ones that
// ask for less than their shares.
func BenchmarkFlood(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				w := newWorld(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
				w.Offer(w.Mixed(0.4), 60*time.Second)
				w.Run(60 * time.Second)
				from := w.Now
				w.Offer(flood(w, 0.5), 2*time.Minute)
				w.Run(3 * time.Minute)
				worst, worstDrafts := 1.0, 1.0
				for _, name := range smallCustomers {
					menu := w.Results(from, w.Now, func(r, c string) bool { return r == "menu" && c == name })
					draft := w.Results(from, w.Now, func(r, c string) bool { return r == "notes" && c == name })
					worst, worstDrafts = min(worst, menu.OnTime), min(worstDrafts, draft.Finished)
				}
				large := w.Results(from, w.Now, func(r, c string) bool { return r == "menu" && c == "central-branches" })
				b.ReportMetric(100*worst, "worst-small-on-time-%")
				b.ReportMetric(100*worstDrafts, "worst-small-notes-done-%")
				b.ReportMetric(100*large.Finished, "large-done-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// coldTrial lists a new engine under high load, with the network split or not,
// and returns its peak use while cold over what it bears and the time from the
// end of its cold start to full use.
func coldTrial(tb testing.TB, policy Policy, split bool, seed uint64) (peak float64, full time.Duration, falls int) {
	tb.Helper()
	w := newWorld(tb, Options{Policy: policy, Hosts: 9, Engines: 8, Seed: seed, Warm: true})
	w.Offer(w.Mixed(0.4), 30*time.Second)
	w.Run(30 * time.Second)
	w.Offer(w.Mixed(1.2), 3*time.Minute)
	w.Run(10 * time.Second)
	if split {
		for i := range w.side {
			w.side[i] = i % 2
		}
		w.Members()
	}
	fresh := w.addEngine("advice-new", w.zone(3), false)
	w.list()
	listed := w.Now
	w.Run(15 * time.Second)
	if split {
		for i := range w.side {
			w.side[i] = w.rand.IntN(2)
		}
		w.Members()
	}
	w.Run(90 * time.Second)
	peak = float64(fresh.peakCold) / float64(fresh.bears)
	if !fresh.fullAt.IsZero() {
		full = fresh.fullAt.Sub(listed) - fresh.coldStart
	}
	return peak, full, fresh.falls
}

// BenchmarkColdStart shows what a new engine gets under a load above the capacity.
func BenchmarkColdStart(b *testing.B) {
	for _, split := range []bool{false, true} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("split=%v/%s", split, policy), func(b *testing.B) {
				for range b.N {
					worst, falls, slowest, full := 0.0, 0, time.Duration(0), 0
					const seeds = 10
					for seed := range uint64(seeds) {
						peak, toFull, fell := coldTrial(b, policy, split, seed)
						worst, falls, slowest = max(worst, peak), falls+fell, max(slowest, toFull)
						if toFull > 0 {
							full++
						}
					}
					b.ReportMetric(worst, "peak-over-bears")
					b.ReportMetric(float64(falls), "falls")
					b.ReportMetric(slowest.Seconds(), "to-full-max-s")
					b.ReportMetric(float64(full), "of-10-full")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

func TestColdEngineGetsNoMoreThanItBears(t *testing.T) {
	for _, split := range []bool{false, true} {
		for seed := range uint64(3) {
			peak, full, falls := coldTrial(t, Core, split, seed)
			require.LessOrEqual(t, peak, 1.0, "split=%v seed=%d", split, seed)
			require.Zero(t, falls)
			if !split {
				require.Positive(t, full)
			}
		}
	}
}

// BenchmarkTurnCold has engines turn cold without notice, one after the other.
func BenchmarkTurnCold(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				w := newWorld(b, Options{Policy: policy, Hosts: 9, Engines: 9, Seed: 1, Warm: true})
				w.Offer(w.Mixed(0.4), 60*time.Second)
				w.Run(60 * time.Second)
				w.Offer(w.Mixed(0.6), 5*time.Minute)
				from := w.Now
				falls := 0
				for _, name := range w.names[:4] {
					w.Run(20 * time.Second)
					w.engines[name].turnCold()
					w.Run(40 * time.Second)
					falls += w.engines[name].falls
				}
				menu := w.Results(from, w.Now, onRoute("menu"))
				b.ReportMetric(float64(falls), "falls-of-4")
				b.ReportMetric(100*menu.OnTime, "on-time-%")
				b.ReportMetric(100*menu.Finished, "done-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkZone takes a zone out under load and brings it back. The
// configuration reaches each host within a second.
func BenchmarkZone(b *testing.B) {
	for _, policy := range policies {
		b.Run(string(policy), func(b *testing.B) {
			for range b.N {
				w := newWorld(b, Options{Policy: policy, Hosts: 9, Engines: 12, Seed: 1, Warm: true})
				w.Offer(w.Mixed(0.4), 60*time.Second)
				w.Run(60 * time.Second)
				w.Offer(w.Mixed(0.6), 5*time.Minute)
				w.Run(time.Minute)
				out := w.Now
				w.SetZone(w.zone(1), document.ZoneExcluded, time.Second)
				w.Run(time.Minute)
				last := time.Duration(0)
				for _, e := range w.engines {
					for _, at := range e.last {
						if e.zone == w.zone(1) {
							last = max(last, at.Sub(out))
						}
					}
				}
				back := w.Now
				w.SetZone(w.zone(1), document.ZoneServing, time.Second)
				w.Run(time.Minute)
				away, home := w.Results(out, back, onRoute("menu")), w.Results(back, w.Now.Add(-10*time.Second), onRoute("menu"))
				b.ReportMetric(last.Seconds(), "last-new-work-s")
				b.ReportMetric(100*(1-away.OnTime), "late-away-%")
				b.ReportMetric(100*(1-home.OnTime), "late-return-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}
