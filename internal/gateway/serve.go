package gateway

import (
	"context"
	"expvar"
	"fmt"
	"log"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/explain"
	"github.com/marigoldmux/marigoldmux/internal/gateway/forward"
)

// Timing of a graceful stop.
const (
	// acceptStreamsFor is how long streams are accepted after the stop signal.
	acceptStreamsFor = 3 * time.Second
	// minDrain is the shortest time for which a stopping host accepts requests,
	// since callers cache the directory's responses.
	minDrain = 3500 * time.Millisecond
	// minIdle is the time without a new request after which a stopping host may
	// exit.
	minIdle = 1200 * time.Millisecond
	// graceMargin is the time left between the exit and the end of the grace
	// period.
	graceMargin = 500 * time.Millisecond
	// drainCheckInterval is the interval at which a stopping host checks whether
	// callers use it, and activeCheckInterval that for requests in progress when it
	// refuses further ones.
	drainCheckInterval  = 50 * time.Millisecond
	activeCheckInterval = 10 * time.Millisecond
)

// evictInterval is the interval at which state of unlisted upstreams is
// dropped.
const evictInterval = time.Second

// crowdingInterval is the shortest time between two events about crowded listeners.
const crowdingInterval = time.Second

// drain stops accepting streams, later all requests, and returns when all responses are
// written or the grace period is nearly over. It returns the boot time of the latter.
func (g *Gateway) drain() time.Duration {
	now := boottime.Now()
	grace := g.options.GracePeriod.D()
	g.events.Emit(eventStopping, zap.Int64("active", g.forward.Active()), zap.Duration("grace", grace))
	g.stopping.Store(true)
	g.duties.Stop()
	end := now + grace - graceMargin
	limits := forward.StopDeadlines{StreamsUntil: now + acceptStreamsFor, OthersUntil: end - graceMargin, EndsAt: end}
	g.forward.Stop(limits)
	for boottime.Now() < end && !g.unused(now) {
		time.Sleep(drainCheckInterval)
	}
	// Until the process ends there is no time for further requests.
	limits.StreamsUntil, limits.OthersUntil = 0, 0
	g.forward.Stop(limits)
	for boottime.Now() < end && (g.answering() || g.forward.Active() > 0) {
		time.Sleep(activeCheckInterval)
	}
	g.forward.End()
	return end
}

// answering reports whether a caller's request has no complete response yet. The server
// writes the end of a response after the handler has returned.
func (g *Gateway) answering() bool { return g.servers[callersServer].connections.Busy() > 0 }

// unused reports whether callers have ceased to use a host that stops since stopAt.
func (g *Gateway) unused(stopAt time.Duration) bool {
	now := boottime.Now()
	return now-stopAt > minDrain && now-g.forward.LastRequestAt() > minIdle && g.forward.Active() == 0
}

// evictUnlisted drops idle connections and statistics of upstreams that are
// draining or no longer listed.
func (g *Gateway) evictUnlisted(ctx context.Context) {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := boottime.Now()
			listed, instances := map[string]bool{}, map[advisory.Instance]bool{}
			for _, upstreams := range g.loop.Snapshot().View.Members {
				for _, m := range upstreams {
					listed[m.ID] = !m.Draining && !g.advisories.State(m, now).Leaving
					instances[advisory.InstanceOf(m)] = true
				}
			}
			g.advisories.Retain(instances, now)
			g.pool.Retain(listed)
			g.inFlight.Retain(listed)
			g.cold.Retain(listed)
			g.brittle.Retain(instances)
		}
	}
}

// reportCrowding emits an event for each interval in which connections were closed, or heads
// refused, for lack of room.
func (g *Gateway) reportCrowding(ctx context.Context) {
	var before crowding
	ticker := time.NewTicker(crowdingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := crowding{g.gate.ClosedIdle(), g.gate.RefusedHeads()}
		if now != before {
			g.events.Emit(eventCrowded, zap.Int64("closedIdle", now.closedIdle-before.closedIdle),
				zap.Int64("refusedHeads", now.refusedHeads-before.refusedHeads))
		}
		before = now
	}
}

// crowding counts what connections have yielded to others.
type crowding struct{ closedIdle, refusedHeads int64 }

// SignalReceived emits an event about a signal to the process.
func (g *Gateway) SignalReceived(signal os.Signal) {
	g.events.Emit(eventSignal, zap.Stringer("signal", signal))
}

// SettingsChecked emits an event about a check of the settings file with the
// result err.
func (g *Gateway) SettingsChecked(err error) { g.events.Emit(eventReloaded, event.Err(err)) }

// metrics are the published values of a gateway, each under the name of its
// field.
type metrics struct {
	Answered, Refused, Cut, Left, Stray int64
	Held, PoisonTrials, Active          int64
	LeavingUpstreams, UpstreamPauses    int64
	Isolated, ForwardedToPeers          int64
	Dials                               uint64
	LogLinesDropped, LogLinesSampled    int64
	ConfigVersion                       int64
	ConfigAgeMs, ListAgeMs              int64
	LogEpoch                            int64
	Peers, Holders                      int
	DutyToken                           int64
	HeapBytes, ResidentBytes            uint64
	Goroutines                          int
	Connections                         map[string]int
	ClosedIdle, RefusedHeads            int64
	LatencyMs                           map[string]map[string]float64
	// Placement by expected wait.
	ForecastRefusals                     int64
	SharedPromptTokens, HeldPromptTokens int64
	IndexedPrefixes, EnginesWithSlowdown int
	FastExchange                         int
	ForecastErrorMs                      map[string]map[string]float64
}

func (g *Gateway) metrics() any {
	s := g.loop.Snapshot()
	now := boottime.Now()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	token, _ := g.duties.HeldToken()
	m := metrics{
		Answered: g.stats.Answered.Load(), Refused: g.stats.Refused.Load(), Cut: g.stats.AbortedStreams.Load(),
		Left: g.stats.CallerDisconnects.Load(), Stray: g.stats.MismatchedResponses.Load(),
		Held: g.stats.HeldRequests.Load(), PoisonTrials: g.stats.PoisonTrials.Load(), Active: g.forward.Active(),
		LeavingUpstreams: g.stats.LeavingUpstreams.Load(), UpstreamPauses: g.stats.UpstreamPauses.Load(), Dials: g.pool.Dials(),
		LogLinesDropped: g.sink.Dropped(), LogLinesSampled: g.sink.Sampled(),
		ConfigAgeMs: (now - s.View.ConfirmedAt).Milliseconds(), ListAgeMs: (now - s.View.ListedAt).Milliseconds(),
		LogEpoch: g.updates.epoch.Load(), Isolated: gauge(g.reach.Isolated()), ForwardedToPeers: g.stats.ForwardedToPeers.Load(),
		Peers: len(s.Peers), Holders: s.SenderCount, DutyToken: token,
		HeapBytes: memory.HeapAlloc, ResidentBytes: residentBytes(), Goroutines: runtime.NumGoroutine(),
		Connections: map[string]int{}, ClosedIdle: g.gate.ClosedIdle(), RefusedHeads: g.gate.RefusedHeads(), LatencyMs: g.stats.LatencyQuantiles(),
	}
	if s.View.Document != nil {
		m.ConfigVersion = s.View.Document.Version
	}
	g.setPlacementMetrics(&m, s)
	for _, server := range g.servers {
		m.Connections[server.name] = server.connections.Open()
	}
	return m
}

// gauge returns 1 for true, else 0.
func gauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// residentBytes returns the memory of the process as the kernel counts it, 0 where the
// kernel does not say.
func residentBytes() uint64 {
	// The second number of the file is the resident memory in pages.
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident uint64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * uint64(os.Getpagesize())
}

func (g *Gateway) metricsHandler() http.Handler {
	vars := expvar.NewMap("gateway")
	vars.Set(g.options.Host, expvar.Func(g.metrics))
	e := echo.New()
	e.Logger.SetOutput(log.Writer())
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	e.POST(explain.Path, explainHandler(g.forward))
	return e
}
