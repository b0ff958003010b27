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

// maxReporters bounds the hosts that send summaries of a move, so that the
// aggregator of a large deployment stays within the budget of control; the
// others look at their own attempts only. Each reporter sends once in a
// summaryInterval, the more of them the longer.
const (
	maxReporters       = 20
	reportersPerSecond = 10
	minSummary         = time.Second
)

// tally is what this host counted for a move since its last summary.
type tally struct {
	routes   map[string]*arms
	lost     map[lostKey]bool
	sequence uint64
	sent     time.Time
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

// attemptEnded counts an attempt for each move of its service.
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
		mv := m.moves[ref]
		if mv == nil || m.status(mv).Phase != control.RolloutInProgress {
			continue
		}
		candidate := in.Version == ref.Version
		if candidate || m.isControl(service, in.Version) {
			m.count(now, mv, candidate, in)
		}
	}
}

// isControl reports whether new versions are compared with a version: it is
// already proved.
func (m *Machine) isControl(service *document.Service, name string) bool {
	mv := m.moves[Ref{Service: service.Name, Version: name}]
	if mv == nil {
		return service.Version(name) != nil
	}
	return m.status(mv).Phase == control.RolloutDone
}

func (m *Machine) count(now time.Time, mv *move, candidate bool, in control.AttemptEnded) {
	counts, lost, counted := classify(in)
	if !counted || lost && (m.leaving[in.Upstream] || m.noticed[in.Upstream]) {
		return
	}
	a := mv.tally.route(in.Route)
	if lost {
		if mv.tally.lost == nil {
			mv.tally.lost = map[lostKey]bool{}
		}
		mv.tally.lost[lostKey{in.Route, in.Upstream, candidate}] = true
		mv.own.lose(now, in.Route, in.Upstream, candidate)
		return
	}
	if candidate {
		a.candidate.add(counts)
	} else {
		a.control.add(counts)
	}
	mv.own.add(in.Route, candidate, counts)
}

// classify turns an attempt into counts. Lost is set where the upstream broke
// off or was not reached, which may be the end of all its attempts at once.
// Attempts that say nothing of the version are not counted.
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

// summaryInterval is the time between two summaries of a host.
func (m *Machine) summaryInterval() time.Duration {
	reporters := min(len(m.members), maxReporters)
	return max(minSummary, time.Duration(reporters)*time.Second/reportersPerSecond)
}

// summarize sends what was counted to the aggregator, or counts it here.
func (m *Machine) summarize(now time.Time, mv *move) []control.Output {
	if now.Sub(mv.tally.sent) < m.summaryInterval() {
		return nil
	}
	mv.tally.sent = now
	var outs []control.Output
	for _, summary := range mv.summaries() {
		if !mv.reports {
			break
		}
		if mv.aggregator == m.self.ID {
			mv.collect(now, summary)
			continue
		}
		message := &peerv1.Message{Body: &peerv1.Message_Attempts{Attempts: summary}}
		outs = append(outs, control.SendMessage{To: mv.aggregator, Message: message})
	}
	mv.tally.routes = nil
	mv.tally.lost = nil
	return outs
}

// summaries returns the messages of a tally.
func (mv *move) summaries() []*peerv1.AttemptSummary {
	var list []*peerv1.AttemptSummary
	for _, route := range slices.Sorted(maps.Keys(mv.tally.routes)) {
		a := mv.tally.routes[route]
		for _, candidate := range []bool{false, true} {
			counts, version := a.control, ""
			if candidate {
				counts, version = a.candidate, mv.ref.Version
			}
			lost := mv.tally.lostOf(route, candidate)
			if counts == (outcome{}) && len(lost) == 0 {
				continue
			}
			mv.tally.sequence++
			list = append(list, &peerv1.AttemptSummary{
				Service: mv.ref.Service, Candidate: mv.ref.Version, Route: route,
				Version: version,
				Good:    counts.good, Failed: counts.failed, Late: counts.late, Cold: counts.cold,
				ColdFailed: counts.coldFailed,
				Lost:       lost, Sequence: mv.tally.sequence,
				Goal: mv.move.Goal, ByUnixNano: mv.move.By.UnixNano(),
			})
		}
	}
	return list
}

func (t *tally) lostOf(route string, candidate bool) []string {
	ids := map[string]bool{}
	for key := range t.lost {
		if key.route == route && key.candidate == candidate {
			ids[key.upstream] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}

// collect adds a summary to the evidence of all hosts.
func (mv *move) collect(now time.Time, s *peerv1.AttemptSummary) {
	candidate := s.GetVersion() == mv.ref.Version
	mv.all.add(s.GetRoute(), candidate, outcome{
		good: s.GetGood(), failed: s.GetFailed(), late: s.GetLate(),
		cold: s.GetCold(), coldFailed: s.GetColdFailed(),
	})
	for _, id := range s.GetLost() {
		mv.all.lose(now, s.GetRoute(), id, candidate)
	}
}

// sameMove reports whether a message is about this move.
func (mv *move) sameMove(goal float64, byUnixNano int64) bool {
	return mv.move.Goal == goal && mv.move.By.UnixNano() == byUnixNano
}
