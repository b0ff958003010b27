package poison

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
)

// Verdict says what is to be done with a request.
type Verdict struct {
	// HeldUntil is the boot time until which the request is held, 0 if it is not.
	HeldUntil time.Duration
	// Trait is the trait for which it is held or tried.
	Trait Trait
	// Trial is set when the request is let through to find out whether requests with its
	// parts still crash upstreams.
	Trial bool
	// slots are the slots that the trial takes, by trait.
	slots map[uint64]trialSlot
}

// suspect is a trait with enough crashes for a hold.
type suspect struct {
	Trait
	// times are the sorted times of its crashes, and unexplained those of the crashes that
	// no other suspect, which the request lacks, was part of too.
	times, unexplained []time.Duration
}

// isExplained reports whether all crashes, or if they are just enough for a hold, some of
// them, may have been caused by other suspects.
func (s suspect) isExplained() bool {
	return len(s.unexplained) == 0 || len(s.unexplained) < crashesToHold && len(s.times) == crashesToHold
}

// Judge decides whether a request is held. A request that is held for parts of its prompt
// may be let through as a trial by one host at a time; hosts are the names of all that may
// do so, among them this one, self.
func (t *Table) Judge(request Request, self string, hosts []string, now time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := t.holding(request, now)
	if len(suspects) == 0 {
		return Verdict{}
	}
	first := suspects[0]
	if slots := t.startTrial(suspects, self, hosts, now); slots != nil {
		return Verdict{Trait: first.Trait, Trial: true, slots: slots}
	}
	return Verdict{HeldUntil: first.times[len(first.times)-crashesToHold] + t.byTrait[first.Key].ttl(), Trait: first.Trait}
}

// holding returns the traits for which a request is held: those with crashesToHold crashes
// that nothing else explains, or with more than crashesToConfirm.
//
// Scenario: all requests with a part that crashes upstreams come from one customer and
// share the customer's own part too, of which sound requests come rarely. The first of
// those shows which of both parts it is.
//
// Scenario: requests with either of two crashing parts are at each upstream when it
// crashes, so that each part explains the crashes of the other.
func (t *Table) holding(request Request, now time.Duration) []suspect {
	var holding []suspect
	for _, trait := range request.traits() {
		times := t.crashTimes(trait.Key, now)
		if len(times) < crashesToHold {
			continue
		}
		s := suspect{Trait: trait, times: times, unexplained: t.unexplained(trait, request)}
		if !s.isExplained() || len(times) > crashesToConfirm {
			holding = append(holding, s)
		}
	}
	return holding
}

// unexplained returns the sorted times of the crashes of a trait of which no suspect that
// the request lacks was part. The content of one request does not explain the crashes of a
// part that others share.
func (t *Table) unexplained(trait Trait, request Request) []time.Duration {
	others := map[uint32][]time.Duration{}
	for key, other := range t.byTrait {
		if len(other) < crashesToHold || request.has(key) || trait.Part != "" && !isPart(key) {
			continue
		}
		for upstream, c := range other {
			others[upstream] = append(others[upstream], c.at)
		}
	}
	var times []time.Duration
	for upstream, c := range t.byTrait[trait.Key] {
		if !slices.ContainsFunc(others[upstream], func(at time.Duration) bool { return (at - c.at).Abs() <= crashSpread }) {
			times = append(times, c.at)
		}
	}
	slices.Sort(times)
	return times
}

// crashTimes returns the sorted times of the crashes of a trait that count.
func (t *Table) crashTimes(trait uint64, now time.Duration) []time.Duration {
	crashes := t.byTrait[trait]
	if len(crashes) < crashesToHold {
		return nil
	}
	var times []time.Duration
	ttl := crashes.ttl()
	for _, c := range crashes {
		if now-c.at < ttl {
			times = append(times, c.at)
		}
	}
	slices.Sort(times)
	return times
}

// Trials of held parts.
//
// Scenario: all engines crash at once, for another reason, while they read prompts of
// which many share a part. No request with the part is left whose response could clear it.
const (
	// roundGap is the time after a crash from which the next one begins a new round: the
	// hold was in force at all hosts, so a trial caused it.
	roundGap = 2 * time.Second
	// trialSlotLength is the time for which one host may let one request through.
	trialSlotLength = 5 * time.Second
)

// trialDelays are the times from the last crash to the first trial after no, one, two, and
// three or more rounds of crashes that nothing else explains. Each trial that fails costs
// an upstream, and is such a round.
var trialDelays = []time.Duration{time.Second, 4 * time.Second, 15 * time.Second, 30 * time.Minute}

// trialSlot is a time in which one host may let one request through.
type trialSlot struct {
	// round is the number of rounds of crashes so far that nothing else explains, crashes
	// that of all crashes, and number that of the slot since the last crash, from 0 on.
	round, crashes, number int
}

// slotAt returns the slot at a time, and false before the first.
func (s suspect) slotAt(now time.Duration) (trialSlot, bool) {
	rounds := 0
	for i, at := range s.unexplained {
		if i == 0 || at-s.unexplained[i-1] >= roundGap {
			rounds++
		}
	}
	waited := now - s.times[len(s.times)-1] - trialDelays[min(rounds, len(trialDelays)-1)]
	if waited < 0 {
		return trialSlot{}, false
	}
	return trialSlot{rounds, len(s.times), int(waited / trialSlotLength)}, true
}

// ReturnTrial gives a trial back that no upstream has run, so that another request is let
// through in its place.
//
// Scenario: a popular part is due for a trial while no upstream is up yet.
func (t *Table) ReturnTrial(verdict Verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for trait, slot := range verdict.slots {
		if t.trials[trait] == slot {
			delete(t.trials, trait)
		}
	}
}

// startTrial returns the slots of a trial if a request that is held for the given suspects is
// let through, and marks them as tried. A request that is held for its content is not.
func (t *Table) startTrial(suspects []suspect, self string, hosts []string, now time.Duration) map[uint64]trialSlot {
	slots := map[uint64]trialSlot{}
	for _, s := range suspects {
		slot, due := s.slotAt(now)
		last, tried := t.trials[s.Key]
		if s.Part == "" || !due || tried && last == slot {
			return nil
		}
		slots[s.Key] = slot
	}
	// The first part determines the host that tries all parts of the request.
	first := suspects[0].Key
	if rendezvous.First(fmt.Sprintf("trial/%d/%d/%d", first, slots[first].round, slots[first].number), hosts) != self {
		return nil
	}
	maps.Copy(t.trials, slots)
	return slots
}
