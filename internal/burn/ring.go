package burn

import (
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// Windows holds the lengths of the sliding windows, in ascending order.
var Windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// slotsPerWindow is the number of slots of a window. A sum covers the current slot,
// which is incomplete, and the 29 before it, so it reaches back between 29/30 and
// 30/30 of the window.
const slotsPerWindow = 30

// slot counts the events of one interval, such as finished requests, and the bad ones
// among them. Its index is the interval's number since
// the Unix epoch.
type slot struct {
	index      int64
	total, bad uint32
}

// ring holds the slots of one window, at their index modulo slotsPerWindow.
type ring [slotsPerWindow]slot

// counts holds the event counts of each window, in the order of Windows.
type counts [len(Windows)]ring

func slotIndex(window int, at time.Time) int64 {
	return at.UnixNano() / int64(Windows[window]/slotsPerWindow)
}

// add counts an event at the given time.
func (c *counts) add(at time.Time, bad bool) {
	for w := range c {
		index := slotIndex(w, at)
		s := &c[w][index%slotsPerWindow]
		if s.index != index {
			*s = slot{index: index}
		}
		s.total++
		if bad {
			s.bad++
		}
	}
}

// sums returns the counts of each window that ends at now.
func (c *counts) sums(now time.Time) []*peerv1.BurnCount {
	sums := make([]*peerv1.BurnCount, len(c))
	for w := range c {
		sums[w] = c[w].sum(slotIndex(w, now))
	}
	return sums
}

func (r *ring) sum(newest int64) *peerv1.BurnCount {
	sum := &peerv1.BurnCount{}
	for _, s := range r {
		if s.index > newest-slotsPerWindow && s.index <= newest {
			sum.Total += int64(s.total)
			sum.Bad += int64(s.bad)
		}
	}
	return sum
}

// empty reports whether the longest window has no events.
func (c *counts) empty(now time.Time) bool {
	last := len(c) - 1
	return c[last].sum(slotIndex(last, now)).GetTotal() == 0
}

func totals(sums []*peerv1.BurnCount) []int64 {
	out := make([]int64, len(sums))
	for i, sum := range sums {
		out[i] = sum.GetTotal()
	}
	return out
}
