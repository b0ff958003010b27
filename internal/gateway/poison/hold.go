package poison

import (
	"fmt"
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
}

// Judge decides whether a request is held. A request that is held for parts of its prompt
// may be let through as a trial by one host at a time; hosts are the names of all that may
// do so, among them this one, self.
func (t *Table) Judge(request Request, self string, hosts []string, now time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	holding := t.holding(request, now)
	if len(holding) == 0 {
		return Verdict{}
	}
	if t.startTrial(holding, self, hosts, now) {
		return Verdict{Trait: holding[0], Trial: true}
	}
	return Verdict{HeldUntil: t.heldUntil(holding[0].Key, now), Trait: holding[0]}
}

// holding returns the traits for which a request is held: those with crashesToHold crashes
// that no other suspect explains, or with one such crash if there are more crashes in all.
// A suspect that the request lacks explains a crash that it was part of as well.
//
// Scenario: all requests with a part that crashes upstreams come from one customer and
// share the customer's own part too, of which sound requests come rarely. The first of
// those shows which of both parts it is.
func (t *Table) holding(request Request, now time.Duration) []Trait {
	var holding []Trait
	var others map[uint32][]time.Duration
	for _, trait := range request.traits() {
		times := t.crashTimes(trait.Key, now)
		if len(times) < crashesToHold {
			continue
		}
		if others == nil {
			others = t.crashesOfOthers(request, now)
		}
		unexplained := t.unexplained(trait.Key, others, now)
		if unexplained >= crashesToHold || unexplained > 0 && len(times) > crashesToHold {
			holding = append(holding, trait)
		}
	}
	return holding
}

// crashesOfOthers returns the times of the crashes of each upstream that are explained by
// suspects that a request lacks. A suspect has crashesToHold crashes or more.
func (t *Table) crashesOfOthers(request Request, now time.Duration) map[uint32][]time.Duration {
	traits := request.traits()
	others := map[uint32][]time.Duration{}
	for key, crashes := range t.byTrait {
		lacks := !slices.ContainsFunc(traits, func(trait Trait) bool { return trait.Key == key })
		if lacks && len(t.crashTimes(key, now)) >= crashesToHold {
			for upstream, c := range crashes {
				others[upstream] = append(others[upstream], c.at)
			}
		}
	}
	return others
}

// unexplained returns the number of crashes of a trait that are in none of the others.
func (t *Table) unexplained(trait uint64, others map[uint32][]time.Duration, now time.Duration) int {
	count := 0
	crashes := t.byTrait[trait]
	ttl := crashes.ttl()
	for upstream, c := range crashes {
		explained := slices.ContainsFunc(others[upstream], func(at time.Duration) bool {
			return (at - c.at).Abs() <= crashSpread
		})
		if !explained && now-c.at < ttl {
			count++
		}
	}
	return count
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

// heldUntil returns the boot time from which fewer than crashesToHold crashes of a trait
// count.
func (t *Table) heldUntil(trait uint64, now time.Duration) time.Duration {
	times := t.crashTimes(trait, now)
	return times[len(times)-crashesToHold] + t.byTrait[trait].ttl()
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

// trialDelays are the times from the last crash to the first trial after one, two, and
// three or more rounds of crashes. Each trial that fails costs an upstream.
var trialDelays = []time.Duration{4 * time.Second, 15 * time.Second, 30 * time.Minute}

// trialSlot is a time in which one host may let one request through.
type trialSlot struct {
	// round is the number of rounds of crashes so far, and number that of the slot since
	// the last one, from 0 on.
	round, number int
}

// slotAt returns the slot of a trait with crashes at the given times, and false before
// the first.
func slotAt(times []time.Duration, now time.Duration) (trialSlot, bool) {
	rounds := 1
	for i := 1; i < len(times); i++ {
		if times[i]-times[i-1] >= roundGap {
			rounds++
		}
	}
	waited := now - times[len(times)-1] - trialDelays[min(rounds, len(trialDelays))-1]
	if waited < 0 {
		return trialSlot{}, false
	}
	return trialSlot{rounds, int(waited / trialSlotLength)}, true
}

// startTrial reports whether a request that is held for the given traits is let through,
// and marks its parts as tried. A request that is held for its content is not.
func (t *Table) startTrial(holding []Trait, self string, hosts []string, now time.Duration) bool {
	slots := map[uint64]trialSlot{}
	for _, trait := range holding {
		if trait.Part == "" {
			return false
		}
		slot, due := slotAt(t.crashTimes(trait.Key, now), now)
		if !due || t.trials[trait.Key] == slot {
			return false
		}
		slots[trait.Key] = slot
	}
	// The parts of one request are tried by one host, by the first of them.
	first := slots[holding[0].Key]
	key := fmt.Sprintf("trial/%d/%d/%d", holding[0].Key, first.round, first.number)
	if rendezvous.First(key, hosts) != self {
		return false
	}
	for trait, slot := range slots {
		t.trials[trait] = slot
	}
	return true
}
