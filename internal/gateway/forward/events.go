package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/event"
)

// Outcomes of requests.
var (
	eventAnswered      = event.Define(900, zapcore.InfoLevel, "request answered")
	eventRefused       = event.Define(901, zapcore.WarnLevel, "request refused or failed by this host")
	eventStreamAborted = event.Define(902, zapcore.WarnLevel, "stream aborted")
	eventCallerGone    = event.Define(903, zapcore.InfoLevel, "caller disconnected")

	eventUpstreamLeaves  = event.Define(906, zapcore.InfoLevel, "upstream leaves")
	eventUpstreamPauses  = event.Define(907, zapcore.InfoLevel, "upstream pauses")
	eventAdvisoryIgnored = event.Define(908, zapcore.WarnLevel, "pause of an upstream ignored")
)

func (p *proxyRequest) log(e *event.Event, status int, reason string, more ...zap.Field) {
	p.h.Events.Emit(e, append(p.logFields(status, reason), more...)...)
}

// Range of the latency histograms, in microseconds, and their precision.
const (
	minLatencyMicros  = 100
	maxLatencyMicros  = 60_000_000
	significantDigits = 2
)

// Stats counts the outcomes of requests. It is safe for concurrent use.
type Stats struct {
	// Answered counts upstream responses that were sent to the caller in full,
	// Refused responses of the gateway itself, AbortedStreams streams closed
	// before their end, CallerDisconnects requests whose caller disconnected,
	// MismatchedResponses discarded responses to other attempts, HeldRequests
	// requests ended since requests like them crashed upstreams, and PoisonTrials those
	// let through all the same to find out whether they still do.
	Answered, Refused, AbortedStreams, CallerDisconnects, MismatchedResponses, HeldRequests, PoisonTrials atomic.Int64
	// ForecastRefusals counts requests that were refused since no engine could begin them
	// in time. SharedPromptTokens counts the tokens of shared parts of the prompts that were
	// placed by the expected wait, HeldPromptTokens those that the engines probably held.
	ForecastRefusals, SharedPromptTokens, HeldPromptTokens atomic.Int64
	// LeavingUpstreams counts the upstreams that told this host that they leave,
	// UpstreamPauses the responses in which one wanted no requests for a while.
	LeavingUpstreams, UpstreamPauses atomic.Int64
	// ForwardedToPeers counts the requests that a peer answered for this host.
	ForwardedToPeers atomic.Int64

	mu        sync.Mutex
	latencies histograms
	// forecastErrors holds the errors of forecasts by their direction.
	forecastErrors histograms
}

// histograms holds histograms of durations by name.
type histograms map[string]*hdrhistogram.Histogram

// record adds a duration to the histogram of a name. Durations outside the range are
// recorded as its nearest bound.
func (all *histograms) record(name string, d time.Duration) {
	if *all == nil {
		*all = histograms{}
	}
	h := (*all)[name]
	if h == nil {
		h = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		(*all)[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// quantiles returns, by name, the quantiles in milliseconds ("p50", "p95", "p99") and the
// number of values ("count").
func (all histograms) quantiles() map[string]map[string]float64 {
	result := map[string]map[string]float64{}
	for name, h := range all {
		result[name] = map[string]float64{
			"count": float64(h.TotalCount()),
			"p50":   float64(h.ValueAtQuantile(50)) / 1000,
			"p95":   float64(h.ValueAtQuantile(95)) / 1000,
			"p99":   float64(h.ValueAtQuantile(99)) / 1000,
		}
	}
	return result
}

// RecordLatency records the time from the arrival of a request of a route to
// its completed response.
func (s *Stats) RecordLatency(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies.record(route, took)
}

// Directions of the errors of forecasts.
const (
	forecastLater  = "later"
	forecastSooner = "sooner"
)

// RecordForecastError records the difference between the expected and the observed time
// from the send of a request to the first event of its stream.
func (s *Stats) RecordForecastError(expected, observed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if observed >= expected {
		s.forecastErrors.record(forecastLater, observed-expected)
		return
	}
	s.forecastErrors.record(forecastSooner, expected-observed)
}

// ForecastErrors returns the quantiles of the errors of forecasts in milliseconds ("p50",
// "p95", "p99") and their number ("count"): under "later" for first events that came later
// than expected, under "sooner" for the others.
func (s *Stats) ForecastErrors() map[string]map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forecastErrors.quantiles()
}

// LongestLatency returns the longest latency of a route's responses, 0 if there was none.
func (s *Stats) LongestLatency(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.latencies[route]
	if h == nil {
		return 0
	}
	return time.Duration(h.Max()) * time.Microsecond
}

// LatencyQuantiles returns, by route, the latency quantiles in milliseconds
// ("p50", "p95", "p99") and the number of responses ("count").
func (s *Stats) LatencyQuantiles() map[string]map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.quantiles()
}
