// Package usage counts the requests of customers that were started, by window of the
// time of day.
package usage

import (
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// maxWindows is the number of windows that are kept and sent to peers.
const maxWindows = 4

// Counter counts the requests that one host started. It is safe for concurrent use.
type Counter struct {
	windowLength time.Duration
	wall         boottime.Wall

	mu sync.Mutex
	// windows holds the counts by customer of each window number.
	windows map[int64]map[string]int64
	// total is the number of counted requests.
	total uint64
}

// NewCounter returns a counter with windows of the given length.
func NewCounter(windowLength time.Duration) *Counter {
	return &Counter{windowLength: windowLength, windows: map[int64]map[string]int64{}}
}

// Now returns the time of day by which requests are counted.
func (c *Counter) Now() time.Time { return c.wall.Now() }

// Window returns the number of the window that holds a time of day, counted from
// the Unix epoch.
func (c *Counter) Window(at time.Time) int64 { return at.UnixNano() / int64(c.windowLength) }

// WindowEnd returns the time of day at which a window ends.
func (c *Counter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(c.windowLength))
}

// Count counts a request of a customer that was started at a time of day. Requests
// without a customer are not counted.
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
		c.dropThrough(window - maxWindows)
	}
	counts[customer]++
	c.total++
}

// Total returns the number of requests that were counted.
func (c *Counter) Total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// dropThrough drops the windows up to last.
func (c *Counter) dropThrough(last int64) {
	for window := range c.windows {
		if window <= last {
			delete(c.windows, window)
		}
	}
}

// Recent returns copies of the counts of the last maxWindows windows, in no order.
func (c *Counter) Recent(now time.Time) []members.WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropThrough(c.Window(now) - maxWindows)
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
