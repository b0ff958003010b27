package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/upstream"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// maxReporters bounds the number of hosts that send summaries of a rollout, so
// that the aggregator of a large deployment stays within the budget of the
// control plane; the others test their own attempts only. Each reporter sends
// once in a summaryInterval, which grows with the number of reporters.
const (
	maxReporters       = 20
	reportersPerSecond = 10
	minSummaryInterval = time.Second
)

// tally is what this host counted for a rollout since its last summary.
type tally struct {
	routes   map[string]*arms
	lost     map[lostKey]bool
	sequence uint64
	sentAt   time.Time
}

type lostKey struct {
	route, upstream string
	candidate       bool
}

func (t *tally) route(name string) *arms {
	if t.routes == nil {
		t.routes = map[string]*arms{}
	}
	if t.routes[name] == nil {
		t.routes[name] = &arms{}
	}
	return t.routes[name]
}

// attemptEnded counts an attempt for each rollout of its service that is in
// progress.
func (m *Machine) attemptEnded(now time.Time, in control.AttemptEnded) {
	if m.document == nil {
		return
	}
	service := m.document.Service(in.Service)
	if service == nil {
		return
	}
	for i := range service.Versions {
		ref := Ref{Service: in.Service, Version: service.Versions[i].Name}
		ro := m.rollouts[ref]
		if ro == nil || m.status(ro).Phase != control.RolloutInProgress {
			continue
		}
		candidate := in.Version == ref.Version
		if candidate || m.isControl(service, in.Version) {
			m.count(now, ro, candidate, in)
		}
	}
}

// isControl reports whether a version belongs to the control of the comparison:
// it has no rollout or its rollout is done.
func (m *Machine) isControl(service *document.Service, name string) bool {
	ro := m.rollouts[Ref{Service: service.Name, Version: name}]
	if ro == nil {
		return service.Version(name) != nil
	}
	return m.status(ro).Phase == control.RolloutDone
}

func (m *Machine) count(now time.Time, ro *rollout, candidate bool, in control.AttemptEnded) {
	counts, lost, counted := classify(in)
	if !counted || lost && (m.leaving[in.Upstream] || m.reclaiming[in.Upstream]) {
		return
	}
	a := ro.tally.route(in.Route)
	if lost {
		if ro.tally.lost == nil {
			ro.tally.lost = map[lostKey]bool{}
		}
		ro.tally.lost[lostKey{in.Route, in.Upstream, candidate}] = true
		ro.local.addLost(now, in.Route, in.Upstream, candidate)
		return
	}
	if candidate {
		a.candidate.add(counts)
	} else {
		a.control.add(counts)
	}
	ro.local.add(in.Route, candidate, counts)
}

// classify turns an attempt into counts. lost is set where the upstream broke
// the attempt off or was not reached: one crash may then end all its attempts at
// once. Refused and invalid attempts say nothing about the version and are not
// counted.
func classify(in control.AttemptEnded) (counts outcome, lost, counted bool) {
	kind, failed := upstream.Kind(-1), in.Failure != nil
	if failed {
		kind = in.Failure.Kind
	}
	switch {
	case kind == upstream.Refused || kind == upstream.Invalid:
		return outcome{}, false, false
	case in.Cold && failed:
		return outcome{cold: 1, coldFailed: 1}, false, true
	case in.Cold:
		return outcome{cold: 1}, false, true
	case kind == upstream.Lost || kind == upstream.NotSent:
		return outcome{}, true, true
	case failed:
		return outcome{failed: 1}, false, true
	case in.Late:
		return outcome{late: 1}, false, true
	}
	return outcome{good: 1}, false, true
}

// summaryInterval returns the time between two summaries of a host.
func (m *Machine) summaryInterval() time.Duration {
	reporters := min(len(m.members), maxReporters)
	return max(minSummaryInterval, time.Duration(reporters)*time.Second/reportersPerSecond)
}

// sendSummaries sends the tally to the aggregator, or adds it to the global
// evidence where this host is the aggregator, and resets it.
func (m *Machine) sendSummaries(now time.Time, ro *rollout) []control.Output {
	if now.Sub(ro.tally.sentAt) < m.summaryInterval() {
		return nil
	}
	ro.tally.sentAt = now
	var outs []control.Output
	for _, summary := range ro.summaries() {
		if !ro.sendsSummaries {
			break
		}
		if ro.aggregator == m.self.ID {
			ro.addSummary(now, summary)
			continue
		}
		message := &peerv1.Message{Body: &peerv1.Message_Attempts{Attempts: summary}}
		outs = append(outs, control.SendMessage{To: ro.aggregator, Message: message})
	}
	ro.tally.routes = nil
	ro.tally.lost = nil
	return outs
}

// summaries returns the tally as one message per route and arm.
func (ro *rollout) summaries() []*peerv1.AttemptSummary {
	var list []*peerv1.AttemptSummary
	for _, route := range slices.Sorted(maps.Keys(ro.tally.routes)) {
		a := ro.tally.routes[route]
		for _, candidate := range []bool{false, true} {
			counts, version := a.control, ""
			if candidate {
				counts, version = a.candidate, ro.ref.Version
			}
			lost := ro.tally.lostUpstreams(route, candidate)
			if counts == (outcome{}) && len(lost) == 0 {
				continue
			}
			ro.tally.sequence++
			list = append(list, &peerv1.AttemptSummary{
				Service: ro.ref.Service, Candidate: ro.ref.Version, Route: route,
				Version: version,
				Good:    counts.good, Failed: counts.failed, Late: counts.late, Cold: counts.cold,
				ColdFailed: counts.coldFailed,
				Lost:       lost, Sequence: ro.tally.sequence,
				Goal: ro.target.Goal, ByUnixNano: ro.target.Deadline.UnixNano(),
			})
		}
	}
	return list
}

func (t *tally) lostUpstreams(route string, candidate bool) []string {
	ids := map[string]bool{}
	for key := range t.lost {
		if key.route == route && key.candidate == candidate {
			ids[key.upstream] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// addSummary adds a summary to the global evidence.
func (ro *rollout) addSummary(now time.Time, s *peerv1.AttemptSummary) {
	candidate := s.GetVersion() == ro.ref.Version
	ro.global.add(s.GetRoute(), candidate, outcome{
		good: s.GetGood(), failed: s.GetFailed(), late: s.GetLate(),
		cold: s.GetCold(), coldFailed: s.GetColdFailed(),
	})
	for _, id := range s.GetLost() {
		ro.global.addLost(now, s.GetRoute(), id, candidate)
	}
}

// matches reports whether a message with this goal and deadline is about the
// rollout.
func (ro *rollout) matches(goal float64, byUnixNano int64) bool {
	return ro.target.Goal == goal && ro.target.Deadline.UnixNano() == byUnixNano
}
