package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"text/tabwriter"
	"time"
)

// The environment variable rolloutSeeds sets the number of seeds of each kind of
// version in the experiment; the default is that of the published table.
const (
	rolloutSeeds = "ROLLOUT_SEEDS"
	defaultSeeds = 200
)

// policy sets the shares in the experiment.
type policy interface {
	// share returns the new version's share of a route's requests on a host.
	share(host int, route string) float64
	observe(now time.Time, host int, attempt attempt)
	tick(now time.Time)
	// phase returns the decision; alarm is set when a test found a regression.
	phase() (done, rolledBack, alarm bool)
}

type makePolicy func(w *world) policy

func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(rolloutSeeds), 10, 32); err == nil {
		return n
	}
	return defaultSeeds
}

// BenchmarkRollouts prints the results of rollouts of seeded versions of each
// kind, with the machine and with two baselines. Run it once:
//
//	go test -run '^$' -bench Rollouts -benchtime 1x ./internal/control/rollout
func BenchmarkRollouts(b *testing.B) {
	policies := []struct {
		name string
		make makePolicy
	}{
		{"sequential", newMachines},
		{"fixed steps, total ratio", newFixed(true)},
		{"fixed steps", newFixed(false)},
	}
	for b.Loop() {
		out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(out, "\npolicy\tversions\truns\ttaken back %\tdone in time %\tundecided %\tmet bad %\tworst run %\tshare after shown %\tnot proved in time %\tfalse alarms %")
		for _, p := range policies {
			for _, k := range worldKinds {
				summary := runKind(k, p.make, seeds())
				_, _ = fmt.Fprintf(out, "%s\t%s\t%s\n", p.name, k, summary.row())
			}
		}
		_ = out.Flush()
	}
}

type summary struct {
	runs, done, rolledBack, undecided int
	// alarms counts the versions rolled back because a test found a regression.
	alarms                                int
	bad                                   bool
	badShare, worst, badShareAfterEvident float64
}

func runKind(k kind, make makePolicy, count uint64) summary {
	s := summary{bad: k.bad()}
	for seed := range count {
		w := newWorld(k, seed)
		result := w.run(make(w))
		s.add(result)
	}
	return s
}

func (s *summary) add(r result) {
	s.runs++
	switch {
	case r.done:
		s.done++
	case r.rolledBack:
		s.rolledBack++
		if r.alarm {
			s.alarms++
		}
	default:
		s.undecided++
	}
	badShare := ratio(r.badRequests, r.requests)
	s.badShare += badShare
	s.worst = max(s.worst, badShare)
	s.badShareAfterEvident += ratio(r.badRequestsAfterEvident, r.requestsAfterEvident)
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (s *summary) row() string {
	percent := func(part float64) string { return fmt.Sprintf("%.2f", 100*part/float64(s.runs)) }
	if !s.bad {
		return fmt.Sprintf("%d\t-\t%s\t%s\t-\t-\t-\t%s\t%s", s.runs, percent(float64(s.done)),
			percent(float64(s.undecided)), percent(float64(s.rolledBack-s.alarms)), percent(float64(s.alarms)))
	}
	return fmt.Sprintf("%d\t%s\t-\t%s\t%s\t%.2f\t%s\t-\t-", s.runs, percent(float64(s.rolledBack)),
		percent(float64(s.undecided)), percent(s.badShare), 100*s.worst, percent(s.badShareAfterEvident))
}

// TestExperiment requires, for a few seeds of the experiment, that all bad
// versions are rolled back and all good ones reach their goal.
func TestExperiment(t *testing.T) {
	const seedCount = 3
	for _, k := range worldKinds {
		s := runKind(k, newMachines, seedCount)
		if k.bad() && s.rolledBack != seedCount {
			t.Errorf("%s: %d of %d bad versions rolled back", k, s.rolledBack, seedCount)
		}
		if !k.bad() && s.done != seedCount {
			t.Errorf("%s: %d of %d good versions done", k, s.done, seedCount)
		}
	}
}

// fixed is the baseline: the steps are taken at fixed times. With a threshold,
// the version is rolled back when its rate of bad attempts over all routes is
// more than 0.01 above twice the old version's.
type fixed struct {
	w                  *world
	threshold          bool
	now                time.Time
	rolledBack         bool
	control, candidate counts
}

type counts struct{ trials, bad int }

const minFixedTrials = 20

func newFixed(threshold bool) makePolicy {
	return func(w *world) policy { return &fixed{w: w, threshold: threshold, now: w.start} }
}

func (f *fixed) share(int, string) float64 {
	if f.rolledBack {
		return 0
	}
	steps := []float64{0.01, 0.05, 0.2, 0.5, 0.9, 1}
	passed := float64(f.now.Sub(f.w.start)) / float64(window)
	return steps[min(int(passed*float64(len(steps))), len(steps)-1)]
}

func (f *fixed) observe(_ time.Time, _ int, a attempt) {
	c := &f.control
	if a.version == newVersion {
		c = &f.candidate
	}
	c.trials++
	if a.failure != nil || a.late {
		c.bad++
	}
}

func (f *fixed) tick(now time.Time) {
	f.now = now
	if !f.threshold || f.candidate.trials < minFixedTrials || f.control.trials < minFixedTrials {
		return
	}
	control := ratio(f.control.bad, f.control.trials)
	f.rolledBack = f.rolledBack || ratio(f.candidate.bad, f.candidate.trials) > 2*control+0.01
}

func (f *fixed) phase() (done, rolledBack, alarm bool) {
	return !f.rolledBack && f.now.Sub(f.w.start) >= window*9/10, f.rolledBack, f.rolledBack
}

// newRand returns the random source for one purpose of a seed.
func newRand(seed, purpose uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, purpose)) }
