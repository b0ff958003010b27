// Package reach finds out whether this host is isolated: cut off from all upstreams, while
// its callers and peers may still reach it.
//
// Failures of requests only raise the question. What answers it are probes, connections to
// upstreams of different services and availability zones: one service or zone that is down
// isolates no host, and neither do upstreams that accept connections but are silent.
package reach

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// Timing and numbers of probes.
const (
	// probesPerRound is the number of upstreams that are probed at once.
	probesPerRound = 4
	// roundsToIsolate is the number of rounds in a row in which no probe may succeed, so
	// that a pause of this process or a few lost packets isolate no host.
	roundsToIsolate = 2
	// minUpstreams is the number of upstreams below which a host can't tell that it is
	// isolated from the failure of one upstream.
	minUpstreams = 2
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
	// roundPause is the time between two rounds.
	roundPause = 100 * time.Millisecond
	// freshFor is the time for which a response on a new connection to any upstream shows
	// that the host is not isolated. Open connections may live on when new ones fail.
	freshFor = 100 * time.Millisecond
	// returnInterval is the time between two probes of an isolated host.
	returnInterval = 250 * time.Millisecond
	// returnDuration is the time in which a host that is no longer isolated takes its
	// requests back from its peers: its connections to upstreams are gone.
	returnDuration = time.Second
)

// Probe opens a connection to an upstream, and returns an error if that fails or the
// upstream closes it.
type Probe func(ctx context.Context, address string) error

// Monitor knows whether the host is isolated. It is safe for concurrent use.
type Monitor struct {
	probe     Probe
	upstreams func() []*catalog.Member
	// changed is called when the host becomes isolated and when it no longer is.
	changed func(isolated bool)
	// now returns the boot time.
	now func() time.Duration

	doubts   chan struct{}
	isolated atomic.Bool
	// reachedAt is the boot time of the latest response on a new connection, and
	// returnedAt that at which the host was last no longer isolated; 0 if never.
	reachedAt, returnedAt atomic.Int64
	// rounds is held while probes are made. It guards checkedAt, the boot time at which
	// the latest check began.
	rounds    sync.Mutex
	checkedAt time.Duration
}

// NewMonitor returns a monitor of the upstreams that are listed when it probes.
func NewMonitor(probe Probe, upstreams func() []*catalog.Member, changed func(isolated bool)) *Monitor {
	return &Monitor{probe: probe, upstreams: upstreams, changed: changed, now: boottime.Now, doubts: make(chan struct{}, 1)}
}

// Isolated reports whether the host is isolated.
func (m *Monitor) Isolated() bool { return m.isolated.Load() }

// Avoid reports whether a request should not be sent to an upstream by this host. It draws
// at random while the host takes its requests back.
func (m *Monitor) Avoid() bool {
	if m.Isolated() {
		return true
	}
	returned := m.returnedAt.Load()
	since := m.now() - time.Duration(returned)
	return returned > 0 && since < returnDuration && rand.Float64() >= float64(since)/float64(returnDuration)
}

// Reached records that an upstream responded on a new connection.
func (m *Monitor) Reached() { m.reachedAt.Store(int64(m.now())) }

// Doubt records that an upstream may be out of reach. The host is checked in the background.
func (m *Monitor) Doubt() {
	select {
	case m.doubts <- struct{}{}:
	default:
	}
}

// Run checks the host when there is doubt, until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.doubts:
		}
		// Other requests show meanwhile whether upstreams can be reached.
		sleep(ctx, freshFor)
		if m.Check(ctx) {
			m.awaitReturn(ctx)
		}
	}
}

// Check finds out whether the host is isolated. It makes no probes if a response or
// another check has shown it meanwhile.
func (m *Monitor) Check(ctx context.Context) bool {
	asked := m.now()
	m.rounds.Lock()
	defer m.rounds.Unlock()
	now := m.now()
	if m.Isolated() || m.checkedAt >= asked || now-time.Duration(m.reachedAt.Load()) < freshFor {
		return m.Isolated()
	}
	m.checkedAt = now
	for round := range roundsToIsolate {
		if round > 0 {
			sleep(ctx, roundPause)
		}
		if m.reachesAny(ctx, probesPerRound) {
			return false
		}
	}
	if ctx.Err() == nil {
		m.isolated.Store(true)
		m.changed(true)
		// Run waits for the return.
		m.Doubt()
	}
	return m.Isolated()
}

// Look returns what this host sees of an upstream.
func (m *Monitor) Look(ctx context.Context, address string) Sight {
	switch {
	case m.probe(ctx, address) == nil:
		return Reached
	case m.Check(ctx):
		return AllOutOfReach
	}
	return OutOfReach
}

// awaitReturn probes one upstream at a time until one is reached.
func (m *Monitor) awaitReturn(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, returnInterval)
		if m.reachesAny(ctx, 1) {
			m.returnedAt.Store(int64(m.now()))
			m.isolated.Store(false)
			m.changed(false)
			return
		}
	}
}

// reachesAny probes some upstreams and reports whether one was reached, or there are too few
// to tell.
func (m *Monitor) reachesAny(ctx context.Context, count int) bool {
	upstreams := m.upstreams()
	if len(upstreams) < minUpstreams {
		return true
	}
	targets := spread(upstreams, count)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reached := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { reached <- m.probe(ctx, target.Address) == nil }()
	}
	for range targets {
		if <-reached {
			m.Reached()
			return true
		}
	}
	return false
}

// spread returns some of the upstreams at random, of as many services and availability zones
// as possible.
func spread(upstreams []*catalog.Member, count int) []*catalog.Member {
	rest := make([]*catalog.Member, len(upstreams))
	for i, from := range rand.Perm(len(upstreams)) {
		rest[i] = upstreams[from]
	}
	services, zones := map[string]int{}, map[string]int{}
	var chosen []*catalog.Member
	for len(chosen) < count && len(rest) > 0 {
		best := 0
		for i, m := range rest {
			if services[m.Service]+zones[m.Zone] < services[rest[best].Service]+zones[rest[best].Zone] {
				best = i
			}
		}
		m := rest[best]
		services[m.Service]++
		zones[m.Zone]++
		chosen = append(chosen, m)
		rest = append(rest[:best], rest[best+1:]...)
	}
	return chosen
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
