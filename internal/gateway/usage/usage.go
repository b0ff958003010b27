// Package usage counts the requests of customers that began to run, by windows
// of the time of day.
package usage

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// keepWindows is the number of windows that are kept and told to peers.
const keepWindows = 4

// Counter counts the requests that one host began.
type Counter struct {
	length time.Duration
	wall   boottime.Wall

	mu      sync.Mutex
	windows map[int64]map[string]int64
}

// NewCounter returns a counter of windows of a length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: map[int64]map[string]int64{}}
}

// Now returns the time of day by which requests are counted.
func (c *Counter) Now() time.Time { return c.wall.Now() }

// Window returns the number of the window of a time of day.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// WindowEnd returns the time of day at which a window ends.
func (c *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.length)) }

// Count counts a request that began to run at a time of day.
func (c *Counter) Count(customer string, at time.Time) {
	if customer == "" {
		return
	}
	window := c.Window(at)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[window]
	if counts == nil {
		counts = map[string]int64{}
		c.windows[window] = counts
		c.drop(window - keepWindows)
	}
	counts[customer]++
}

func (c *Counter) drop(until int64) {
	for window := range c.windows {
		if window <= until {
			delete(c.windows, window)
		}
	}
}

// Recent returns the counts of the windows that are kept.
func (c *Counter) Recent(now time.Time) []members.WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop(c.Window(now) - keepWindows)
	recent := make([]members.WindowCounts, 0, len(c.windows))
	for window, counts := range c.windows {
		copied := make(map[string]int64, len(counts))
		for customer, count := range counts {
			copied[customer] = count
		}
		recent = append(recent, members.WindowCounts{Window: window, Counts: copied})
	}
	return recent
}
