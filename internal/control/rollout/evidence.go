package rollout

import (
	"fmt"
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/sequential"
)

const (
	// failureMargin and lateMargin are how much higher than the old version's the
	// failure and lateness rates of a good version may be.
	failureMargin = 0.01
	lateMargin    = 0.05
	// coldMargin is the margin of the failure rate at upstreams in cold start,
	// which may fail because they are not warm yet.
	coldMargin = 0.3
	// failureBound and lateBound are the differences that the proof of a step
	// must rule out over all routes. The estimated difference of each route must
	// be below them too.
	failureBound = 0.05
	lateBound    = 0.15
	// falseAlarmRate is the probability that a good version is rolled back during
	// its whole rollout, over all routes and hosts.
	falseAlarmRate = 0.002
	// proofLevel is the evidence that proves a step over all routes.
	proofLevel = 20
	// suspicionLevel is the evidence against a version on a route from which the
	// rollout stays on its step.
	suspicionLevel = 10
	// minEstimateTrials is the number of attempts below which the estimated
	// differences of a route are ignored.
	minEstimateTrials = 40
	// testsPerRoute is the number of sequential tests on each route.
	testsPerRoute = 3
	// lostInterval is the time in which broken-off attempts at one upstream count
	// as one failure.
	lostInterval = 5 * time.Second
	// blockInterval is the minimum time between two blocks of the tests.
	blockInterval = time.Second
	// minBlocks is the minimum number of blocks for which the tests are designed.
	minBlocks = 60
)

// arms holds the counts of both arms of the comparison on one route: control is
// the versions without a rollout or whose rollout is done, candidate the new one.
type arms struct {
	control, candidate outcome
}

// outcome counts the attempts of one arm. Late attempts are those that did not
// fail; coldFailed is part of cold, and cold attempts count nowhere else.
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

// evidence is the statistics of one rollout: the tests of each route and the
// proof of the current step over all routes.
type evidence struct {
	target Target
	step   int
	blocks int
	// flushedAt is when tick last made a block.
	flushedAt time.Time
	pooled    proof
	routes    map[string]*routeEvidence
	// lost holds the time at which each upstream last counted as lost.
	lost map[string]time.Time
	// attempts counts those of both arms since startedAt, without cold ones.
	attempts  int64
	startedAt time.Time
}

type routeEvidence struct {
	pending  arms
	failures *sequential.Detector
	lateness *sequential.Detector
	cold     *sequential.Detector
	// failureDifference and latenessDifference estimate how much higher the
	// candidate's rates are.
	failureDifference, latenessDifference sequential.Difference
}

// proof gathers evidence that a version neither fails nor is late more often
// than the control.
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

func newEvidence(target Target, now time.Time) *evidence {
	return &evidence{
		target: target, blocks: max(minBlocks, int(target.Deadline.Sub(now)/blockInterval)), pooled: newProof(), routes: map[string]*routeEvidence{},
		lost: map[string]time.Time{}, startedAt: now,
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

// addLost counts an upstream that broke attempts off as one failure, at most
// once in lostInterval.
func (e *evidence) addLost(now time.Time, route, upstream string, candidate bool) {
	if at, seen := e.lost[upstream]; seen && now.Sub(at) < lostInterval {
		return
	}
	e.lost[upstream] = now
	e.add(route, candidate, outcome{failed: 1})
}

// tick makes a block of the pending counts, at most once in blockInterval.
func (e *evidence) tick(now time.Time) {
	if now.Sub(e.flushedAt) >= blockInterval {
		e.flushedAt = now
		e.flush()
	}
}

// setStep restarts the proof when the rollout has reached another step.
func (e *evidence) setStep(step int) {
	if e.step == step {
		return
	}
	e.flush()
	e.step = step
	e.pooled.failures.Restart()
	e.pooled.lateness.Restart()
}

// flush makes a block of the pending counts of each route on which both arms
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
		e.pooled.add(poolFailures, poolLateness)
	}
}

func addBlock(sum *sequential.Block, block sequential.Block) {
	sum.Control.Add(block.Control)
	sum.Candidate.Add(block.Candidate)
}

// flush adds the pending counts to the tests and returns them as blocks.
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
	r.failureDifference.Add(failures)
	r.latenessDifference.Add(lateness)
	return failures, lateness
}

// regression returns why the version is bad, or an empty string. Hosts is the
// number of hosts that run the tests at the same time: together they keep to
// falseAlarmRate.
func (e *evidence) regression(hosts int) string {
	level := float64(max(1, len(e.routes))*testsPerRoute*max(1, hosts)) / falseAlarmRate
	for _, name := range e.sortedRoutes() {
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

// proved reports whether the rollout may leave the current step: the step is
// proved over all routes, and no route is suspicious by its attempts since the
// rollout started.
func (e *evidence) proved() bool {
	if !e.pooled.complete() {
		return false
	}
	for _, r := range e.routes {
		if r.suspicious() {
			return false
		}
	}
	return true
}

// suspicious reports whether the route keeps the rollout on its step.
func (r *routeEvidence) suspicious() bool {
	if finite(r.failures.Evidence()) >= suspicionLevel || finite(r.lateness.Evidence()) >= suspicionLevel {
		return true
	}
	return r.failureDifference.Trials() >= minEstimateTrials &&
		(r.failureDifference.Share() >= failureBound || r.latenessDifference.Share() >= lateBound)
}

// rate returns the mean number of attempts per second since startedAt.
func (e *evidence) rate(now time.Time) float64 {
	elapsed := now.Sub(e.startedAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(e.attempts) / elapsed
}

// sortedRoutes returns the names of the routes in order.
func (e *evidence) sortedRoutes() []string {
	names := make([]string, 0, len(e.routes))
	for name := range e.routes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
