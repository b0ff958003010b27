package rollout

import (
	"fmt"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/sequential"
)

const (
	// failureMargin and lateMargin are how much more often than the old
	// version a version that is not bad may fail or be late.
	failureMargin = 0.01
	lateMargin    = 0.05
	// coldMargin is the same for attempts at upstreams in cold start, which
	// may fail for want of warmth.
	coldMargin = 0.3
	// failureBound and lateBound are the differences that the proof of a step
	// must rule out; on each route the estimated difference must be below.
	failureBound = 0.05
	lateBound    = 0.15
	// falseAlarms is the chance that a version that is not bad is taken back
	// in the whole of its move, over all routes and hosts.
	falseAlarms = 0.002
	// proofLevel is the evidence that proves a step over all routes.
	proofLevel = 20
	// suspicion is the evidence against a version above which a route holds a
	// step up.
	suspicion = 10
	// fewTrials is the number of attempts below which a route counts as quiet.
	fewTrials = 40
	// kinds is the number of tests of a route.
	kinds = 3
	// lostInterval is the time in which an upstream that breaks attempts off
	// counts once.
	lostInterval = 5 * time.Second
	// blockInterval is the least time between two blocks of the tests.
	blockInterval = time.Second
	// minBlocks is the least number of blocks that the tests are made for.
	minBlocks = 60
)

// arms holds the counts of both versions on one route. Late counts only
// attempts that did not fail.
type arms struct {
	control, candidate outcome
}

// outcome counts the attempts at one version.
type outcome struct {
	good, failed, late, cold, coldFailed int64
}

func (o outcome) trials() int64 { return o.good + o.failed + o.late }

func (o *outcome) add(other outcome) {
	o.good += other.good
	o.failed += other.failed
	o.late += other.late
	o.cold += other.cold
	o.coldFailed += other.coldFailed
}

// evidence is what is known of one move: the tests of each route, and the
// proof of the present step over all routes.
type evidence struct {
	move   Move
	step   int
	blocks int
	// flushed is when the newest block was made.
	flushed time.Time
	pool    proof
	routes  map[string]*routeEvidence
	// lost holds when each upstream last counted as lost.
	lost map[string]time.Time
	// attempts counts both versions since began.
	attempts int64
	began    time.Time
}

type routeEvidence struct {
	pending  arms
	failures *sequential.Detector
	lateness *sequential.Detector
	cold     *sequential.Detector
	// moreFailures and moreLate estimate the differences of the versions.
	moreFailures, moreLate sequential.Difference
}

// proof gathers evidence that a version is neither failing nor late.
type proof struct {
	failures, lateness *sequential.Proof
}

func newProof() proof {
	return proof{failures: sequential.NewProof(failureBound), lateness: sequential.NewProof(lateBound)}
}

func (p proof) complete() bool {
	return finite(p.failures.Evidence()) >= proofLevel && finite(p.lateness.Evidence()) >= proofLevel
}

func (p proof) add(failures, lateness sequential.Block) {
	p.failures.Add(failures)
	p.lateness.Add(lateness)
}

func newEvidence(move Move, now time.Time) *evidence {
	return &evidence{
		move: move, blocks: max(minBlocks, int(move.By.Sub(now)/blockInterval)), pool: newProof(), routes: map[string]*routeEvidence{},
		lost: map[string]time.Time{}, began: now,
	}
}

func (e *evidence) route(name string) *routeEvidence {
	r := e.routes[name]
	if r == nil {
		r = &routeEvidence{
			failures: sequential.NewDetector(failureMargin, e.blocks),
			lateness: sequential.NewDetector(lateMargin, e.blocks),
			cold:     sequential.NewDetector(coldMargin, e.blocks),
		}
		e.routes[name] = r
	}
	return r
}

// add counts attempts of the candidate or of the control on a route.
func (e *evidence) add(route string, candidate bool, counts outcome) {
	r := e.route(route)
	e.attempts += counts.trials()
	if candidate {
		r.pending.candidate.add(counts)
	} else {
		r.pending.control.add(counts)
	}
}

// lose counts an upstream that broke attempts off as one failure, once in a
// while.
func (e *evidence) lose(now time.Time, route, upstream string, candidate bool) {
	if at, seen := e.lost[upstream]; seen && now.Sub(at) < lostInterval {
		return
	}
	e.lost[upstream] = now
	e.add(route, candidate, outcome{failed: 1})
}

// tick makes a block of what has come in, no more often than blockInterval.
func (e *evidence) tick(now time.Time) {
	if now.Sub(e.flushed) >= blockInterval {
		e.flushed = now
		e.flush()
	}
}

// at starts the step's proof anew when the move has come to another step.
func (e *evidence) at(step int) {
	if e.step == step {
		return
	}
	e.flush()
	e.step = step
	e.pool.failures.Restart()
	e.pool.lateness.Restart()
}

// flush makes a block of what is pending on each route where both versions
// had attempts.
func (e *evidence) flush() {
	var poolFailures, poolLateness sequential.Block
	for _, r := range e.routes {
		if r.pending.control.trials() == 0 || r.pending.candidate.trials()+r.pending.candidate.cold == 0 {
			continue
		}
		failures, lateness := r.flush()
		addBlock(&poolFailures, failures)
		addBlock(&poolLateness, lateness)
	}
	if poolFailures.Control.Trials > 0 {
		e.pool.add(poolFailures, poolLateness)
	}
}

func addBlock(sum *sequential.Block, block sequential.Block) {
	sum.Control.Add(block.Control)
	sum.Candidate.Add(block.Candidate)
}

// flush adds what is pending to the tests and returns it as blocks.
func (r *routeEvidence) flush() (failures, lateness sequential.Block) {
	a, b := r.pending.control, r.pending.candidate
	r.pending = arms{}
	failures = sequential.Block{
		Control:   sequential.Counts{Trials: a.trials(), Bad: a.failed},
		Candidate: sequential.Counts{Trials: b.trials(), Bad: b.failed},
	}
	lateness = sequential.Block{
		Control:   sequential.Counts{Trials: a.good + a.late, Bad: a.late},
		Candidate: sequential.Counts{Trials: b.good + b.late, Bad: b.late},
	}
	r.cold.Add(sequential.Block{
		Control:   failures.Control,
		Candidate: sequential.Counts{Trials: b.cold, Bad: b.coldFailed},
	})
	r.failures.Add(failures)
	r.lateness.Add(lateness)
	r.moreFailures.Add(failures)
	r.moreLate.Add(lateness)
	return failures, lateness
}

// shown returns why the version is bad, or an empty string. Watchers is the
// number of hosts that look for it at the same time.
func (e *evidence) shown(watchers int) string {
	level := float64(max(1, len(e.routes))*kinds*max(1, watchers)) / falseAlarms
	for _, name := range e.names() {
		r := e.routes[name]
		if finite(r.failures.Evidence()) >= level {
			return fmt.Sprintf("fails more than the old version on route %s", name)
		}
		if finite(r.lateness.Evidence()) >= level {
			return fmt.Sprintf("is late more than the old version on route %s", name)
		}
		if finite(r.cold.Evidence()) >= level {
			return fmt.Sprintf("fails in cold start on route %s", name)
		}
	}
	return ""
}

// proved reports whether the move may go on from the present step: the step is
// proved over all routes, and no route looks bad since the move began.
func (e *evidence) proved() bool {
	if !e.pool.complete() {
		return false
	}
	for _, r := range e.routes {
		if r.suspicious() {
			return false
		}
	}
	return true
}

// suspicious reports whether a route holds the move up.
func (r *routeEvidence) suspicious() bool {
	if finite(r.failures.Evidence()) >= suspicion || finite(r.lateness.Evidence()) >= suspicion {
		return true
	}
	return r.moreFailures.Trials() >= fewTrials &&
		(r.moreFailures.Share() >= failureBound || r.moreLate.Share() >= lateBound)
}

// rate returns the attempts a second since the evidence began.
func (e *evidence) rate(now time.Time) float64 {
	elapsed := now.Sub(e.began).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(e.attempts) / elapsed
}

// names returns the routes in order.
func (e *evidence) names() []string {
	names := make([]string, 0, len(e.routes))
	for name := range e.routes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
