package experiment

import (
	"sort"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

const (
	// prefillPerToken is the time to compute one token of a prompt.
	prefillPerToken = 400 * time.Microsecond
	// promptTokens is the length of a prompt; its first prefixTokens are
	// shared with other prompts.
	promptTokens = 400
	prefixTokens = 320
	// tokenInterval is the time between tokens of a request that runs alone;
	// each other running request adds batchSlowdown to it.
	tokenInterval = 20 * time.Millisecond
	batchSlowdown = 1250 * time.Microsecond
	// coldSlowdown is the factor by which a cold engine is slower.
	coldSlowdown = 4
	// restartTime is how long an engine is down after a crash.
	restartTime = 5 * time.Second
	// reportLag is the age of load reports.
	reportLag      = 400 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	// eventLossRate is the share of cache events that are lost.
	eventLossRate = 0.05
	// cacheSize is the number of prefixes in an engine's cache.
	cacheSize = 48
)

// fakeEngine simulates a model engine that batches requests.
type fakeEngine struct {
	sim          *Simulation
	id, zone     string
	slots        int
	coldInFlight int
	coldStart    time.Duration
	coldUntil    time.Time
	downUntil    time.Time
	running      map[*attempt]bool
	waiting      []*attempt
	cache        *cache
	reports      []engine.Load
	// peakCold is the highest number of requests in flight while the engine was cold.
	peakCold    int
	crashes     int
	started     int
	lastAttempt map[int]time.Time
	fullAt      time.Time
}

// attempt is one attempt at a job.
type attempt struct {
	job           *job
	host          *host
	engine        *fakeEngine
	started       time.Time
	firstToken    time.Duration
	tokenInterval time.Duration
	ended         bool
}

func (e *fakeEngine) cold() bool { return e.sim.Now.Before(e.coldUntil) }

func (e *fakeEngine) down() bool { return e.sim.Now.Before(e.downUntil) }

func (e *fakeEngine) inFlight() int { return len(e.running) + len(e.waiting) }

// becomeCold makes the engine cold without notice to the hosts.
func (e *fakeEngine) becomeCold() {
	e.coldUntil = e.sim.Now.Add(e.coldStart)
	e.cache = newCache()
	e.peakCold = 0
	e.fullAt = time.Time{}
}

// accept queues an attempt, or fails it if the engine is down. A cold engine
// crashes when it has more requests in flight than it can handle.
func (e *fakeEngine) accept(a *attempt) {
	if e.down() {
		e.sim.after(messageDelay, func() { a.host.attemptFailed(a) })
		return
	}
	if e.lastAttempt == nil {
		e.lastAttempt = map[int]time.Time{}
	}
	e.lastAttempt[a.host.index] = e.sim.Now
	e.started++
	e.waiting = append(e.waiting, a)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].job.priority > e.waiting[j].job.priority })
	if e.cold() {
		e.peakCold = max(e.peakCold, e.inFlight())
		if e.inFlight() > e.coldInFlight {
			e.crash()
			return
		}
	}
	if e.inFlight()*10 >= e.slots*9 && e.fullAt.IsZero() {
		e.fullAt = e.sim.Now
	}
	e.fill()
}

// crash fails all attempts at the engine, which restarts cold.
func (e *fakeEngine) crash() {
	e.crashes++
	e.downUntil = e.sim.Now.Add(restartTime)
	e.coldUntil = e.downUntil.Add(e.coldStart)
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
		e.sim.after(messageDelay, func() { a.host.attemptFailed(a) })
	}
}

func (e *fakeEngine) fill() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.run(a)
	}
}

func (e *fakeEngine) run(a *attempt) {
	e.running[a] = true
	a.tokenInterval = tokenInterval + time.Duration(len(e.running)-1)*batchSlowdown
	compute := promptTokens
	if e.cache.use(a.job.query.Prefix) {
		compute -= prefixTokens
	}
	a.job.computed += compute
	start := time.Duration(compute) * prefillPerToken
	if e.cold() {
		start *= coldSlowdown
		a.tokenInterval *= coldSlowdown
	}
	a.firstToken = e.sim.Now.Sub(a.started) + start + a.tokenInterval
	total := start + time.Duration(a.job.tokens)*a.tokenInterval
	e.sim.after(total, func() { e.finish(a) })
}

func (e *fakeEngine) finish(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	delete(e.running, a)
	e.fill()
	a.host.attemptFinished(a)
}

func (e *fakeEngine) sample() {
	e.reports = append(e.reports, engine.Load{
		AsOf: e.sim.Now, Running: len(e.running), Queued: len(e.waiting), Slots: e.slots,
		CacheTokens: len(e.cache.entries) * prefixTokens, Version: "v1",
	})
	if keep := int(reportLag/sampleInterval) + 1; len(e.reports) > keep {
		e.reports = e.reports[len(e.reports)-keep:]
	}
}

// cache is an engine's prefix cache with least-recently-used eviction.
type cache struct {
	entries map[uint64]uint64
	clock   uint64
	events  []engine.CacheEvent
}

func newCache() *cache { return &cache{entries: map[uint64]uint64{}} }

// use reports whether a prefix was in the cache, and adds it or marks it as
// the most recently used.
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
