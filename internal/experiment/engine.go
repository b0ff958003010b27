package experiment

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// prefill is the time to compute one token of a prompt.
	prefill = 400 * time.Microsecond
	// promptTokens is the length of a prompt, of which prefixTokens are
	// shared with other prompts.
	promptTokens = 400
	prefixTokens = 320
	// between is the time between tokens of a lone request, and crowding what
	// each other running request adds to it.
	between  = 20 * time.Millisecond
	crowding = 1250 * time.Microsecond
	// coldFactor is the number of times that a cold engine takes longer.
	coldFactor = 4
	// downTime is how long an engine is away after it fell over.
	downTime = 5 * time.Second
	// reportLag is the age of load reports.
	reportLag      = 400 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	// lostEvents is the share of cache events that never come.
	lostEvents = 0.05
	// cacheSize is the number of prefixes in an engine's cache.
	cacheSize = 48
)

// engineFake is a model engine that batches requests.
type engineFake struct {
	w         *Simulation
	id, zone  string
	slots     int
	bears     int
	coldStart time.Duration
	coldTill  time.Time
	downTill  time.Time
	running   map[*attempt]bool
	waiting   []*attempt
	cache     *cache
	reports   []engine.Load
	// coldSince is the time from which on starts count against what a cold
	// engine bears; peakCold is the highest number in flight then.
	peakCold int
	falls    int
	started  int
	last     map[int]time.Time
	fullAt   time.Time
}

// attempt is one try at a job.
type attempt struct {
	job     *job
	host    *host
	engine  *engineFake
	started time.Time
	first   time.Duration
	between time.Duration
	ended   bool
}

func (e *engineFake) cold() bool { return e.w.Now.Before(e.coldTill) }

func (e *engineFake) down() bool { return e.w.Now.Before(e.downTill) }

func (e *engineFake) inFlight() int { return len(e.running) + len(e.waiting) }

// turnCold makes the engine cold without notice.
func (e *engineFake) turnCold() {
	e.coldTill = e.w.Now.Add(e.coldStart)
	e.cache = newCache()
	e.peakCold = 0
	e.fullAt = time.Time{}
}

// send takes an attempt.
func (e *engineFake) send(a *attempt) {
	if e.down() {
		e.w.after(hostDelay, func() { a.host.failed(a) })
		return
	}
	if e.last == nil {
		e.last = map[int]time.Time{}
	}
	e.last[a.host.index] = e.w.Now
	e.started++
	e.waiting = append(e.waiting, a)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].job.priority > e.waiting[j].job.priority })
	if e.cold() {
		e.peakCold = max(e.peakCold, e.inFlight())
		if e.inFlight() > e.bears {
			e.fall()
			return
		}
	}
	if e.inFlight()*10 >= e.slots*9 && e.fullAt.IsZero() {
		e.fullAt = e.w.Now
	}
	e.fill()
}

// fall ends the engine and all that runs there; it comes back cold.
func (e *engineFake) fall() {
	e.falls++
	e.downTill = e.w.Now.Add(downTime)
	e.coldTill = e.downTill.Add(e.coldStart)
	e.cache = newCache()
	lost := append([]*attempt(nil), e.waiting...)
	for a := range e.running {
		lost = append(lost, a)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].job.id < lost[j].job.id })
	e.running = map[*attempt]bool{}
	e.waiting = nil
	for _, a := range lost {
		a.ended = true
		e.w.after(hostDelay, func() { a.host.failed(a) })
	}
}

func (e *engineFake) fill() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.run(a)
	}
}

func (e *engineFake) run(a *attempt) {
	e.running[a] = true
	a.between = between + time.Duration(len(e.running)-1)*crowding
	compute := promptTokens
	if e.cache.use(a.job.query.Prefix) {
		compute -= prefixTokens
	}
	a.job.computed += compute
	start := time.Duration(compute) * prefill
	if e.cold() {
		start *= coldFactor
		a.between *= coldFactor
	}
	a.first = e.w.Now.Sub(a.started) + start + a.between
	total := start + time.Duration(a.job.tokens)*a.between
	e.w.after(total, func() { e.finish(a) })
}

func (e *engineFake) finish(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	delete(e.running, a)
	e.fill()
	a.host.finished(a)
}

func (e *engineFake) sample() {
	e.reports = append(e.reports, engine.Load{
		AsOf: e.w.Now, Running: len(e.running), Queued: len(e.waiting), Slots: e.slots,
		CacheTokens: len(e.cache.entries) * prefixTokens, Version: "v1",
	})
	if keep := int(reportLag/sampleInterval) + 1; len(e.reports) > keep {
		e.reports = e.reports[len(e.reports)-keep:]
	}
}

// cache is an engine's prefix cache, the least recently used first out.
type cache struct {
	entries map[uint64]uint64
	clock   uint64
	events  []engine.CacheEvent
}

func newCache() *cache { return &cache{entries: map[uint64]uint64{}} }

// use reports whether a prefix is in the cache and puts it there.
func (c *cache) use(prefix uint64) bool {
	c.clock++
	_, cached := c.entries[prefix]
	c.entries[prefix] = c.clock
	if cached {
		return true
	}
	c.event(prefix, false)
	if len(c.entries) > cacheSize {
		oldest := prefix
		for p, at := range c.entries {
			if at < c.entries[oldest] {
				oldest = p
			}
		}
		delete(c.entries, oldest)
		c.event(oldest, true)
	}
	return false
}

func (c *cache) event(prefix uint64, evicted bool) {
	c.events = append(c.events, engine.CacheEvent{
		Sequence: int64(len(c.events) + 1), Prefix: prefix, Tokens: prefixTokens, Evicted: evicted,
	})
}
