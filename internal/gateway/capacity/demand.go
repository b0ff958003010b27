package capacity

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// Parameters of the measurement of demand.
const (
	// smoothingTime is the time in which the weight of a measurement falls to 1/e.
	smoothingTime = 4 * time.Second
	// peakHoldTime is how long the highest need counts, so that capacity is not
	// released between the peaks of a wave.
	peakHoldTime = 20 * time.Second
	// warmup is how long demand is measured from the first request before it
	// replaces the initial need.
	warmup = 12 * time.Second
)

// processKey identifies the counter of a process for a service.
type processKey struct {
	incarnation uint64
	service     string
}

// meter measures the demand for one service as exponential moving averages.
type meter struct {
	// rate is the number of prompt tokens a second that engines have to read,
	// running the number of requests in flight.
	rate, running float64
	updatedAt     time.Duration
	// startedAt is the boot time of the first measurement.
	startedAt time.Duration
	// firstRequestAt is the boot time at which a request was first in flight, or 0.
	firstRequestAt time.Duration
	// peaks holds recent needs, newest last, in decreasing order.
	peaks []peak
}

type peak struct {
	need int
	at   time.Duration
}

// add adds a measurement: the prompt tokens that engines had to read since the last
// call, and the number of requests in flight.
func (m *meter) add(tokens, running float64, now time.Duration) {
	if m.updatedAt == 0 {
		m.updatedAt, m.startedAt = now, now
		return
	}
	elapsed := (now - m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed / smoothingTime.Seconds())
	m.rate = m.rate*keep + tokens/elapsed*(1-keep)
	m.running = m.running*keep + running*(1-keep)
	m.updatedAt = now
	if m.firstRequestAt == 0 && running > 0 {
		m.firstRequestAt = now
	}
}

// trusted reports whether demand was measured for longer than warmup since the first
// request.
func (m *meter) trusted(now time.Duration) bool {
	return m.firstRequestAt > 0 && now-m.firstRequestAt > warmup
}

// recentPeak adds the current need and returns the highest one within peakHoldTime.
func (m *meter) recentPeak(need int, now time.Duration) int {
	for len(m.peaks) > 0 && m.peaks[len(m.peaks)-1].need <= need {
		m.peaks = m.peaks[:len(m.peaks)-1]
	}
	m.peaks = append(m.peaks, peak{need: need, at: now})
	for now-m.peaks[0].at > peakHoldTime {
		m.peaks = m.peaks[1:]
	}
	return m.peaks[0].need
}

// counters turns the running totals of processes into increments.
type counters struct {
	last map[processKey]uint64
}

// delta returns the prompt tokens that engines had to read for a process since the last
// call. Those from before the first call for a process do not count.
func (c *counters) delta(incarnation uint64, service string, d members.Demand) float64 {
	key := processKey{incarnation, service}
	before, known := c.last[key]
	c.last[key] = d.Tokens
	if !known || d.Tokens < before {
		return 0
	}
	return float64(d.Tokens - before)
}
