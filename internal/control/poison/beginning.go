package poison

import (
	"slices"
	"time"
)

// roundsToHold is the number of rounds of crashes, more than correlationWindow apart, from
// which prompts that share their beginning are held. Many sound prompts share one, so it
// takes more than a whole request, and crashes at the same time count once.
const roundsToHold = 3

// beginningHeld reports whether prompts with a beginning are to be held after a crash: it
// was lost before the first token in roundsToHold rounds of crashes since the last
// complete response to one of them, and no single request was lost in all of these.
//
// Scenario: prompts of which no two are alike crash engines by a part that they share.
func (m *Machine) beginningHeld(service string, beginning uint64) bool {
	var crashes []*crash
	for _, c := range m.crashes {
		if c.service == service && c.beginnings[beginning] {
			crashes = append(crashes, c)
		}
	}
	return rounds(crashes) >= roundsToHold && !oneRequestInAll(crashes)
}

// rounds returns the number of crashes without those at most correlationWindow after
// another.
func rounds(crashes []*crash) int {
	var times []time.Time
	for _, c := range crashes {
		times = append(times, c.first)
	}
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > correlationWindow {
			count++
		}
	}
	return count
}

// oneRequestInAll reports whether one request was lost in all crashes.
func oneRequestInAll(crashes []*crash) bool {
	for fingerprint := range crashes[0].lost {
		inAll := !slices.ContainsFunc(crashes, func(c *crash) bool { return c.lost[fingerprint] == 0 })
		if inAll {
			return true
		}
	}
	return false
}

// evaluateBeginnings returns the beginnings of prompts to hold after a crash.
func (m *Machine) evaluateBeginnings(c *crash) []uint64 {
	var held []uint64
	for beginning := range c.beginnings {
		if m.beginningHeld(c.service, beginning) {
			held = append(held, beginning)
		}
	}
	slices.Sort(held)
	return held
}

// beginningInCrash reports whether prompts with a beginning were lost in a known crash.
func (m *Machine) beginningInCrash(beginning uint64) bool {
	return slices.ContainsFunc(m.crashes, func(c *crash) bool { return c.beginnings[beginning] })
}
