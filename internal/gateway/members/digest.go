package members

import (
	"math"
	"time"
)

// Detail says how much of a digest is told.
type Detail uint8

// The parts of digests; each contains those before.
const (
	// Heartbeat tells that the host lives, and of its duties.
	Heartbeat Detail = iota
	// Load tells besides what matters to all that send requests.
	Load
	// Full tells besides what the holder of the duties collects.
	Full
)

// UpstreamLoad is the work that a host has at an upstream.
type UpstreamLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Upstream is the hash of the upstream's ID.
	Upstream uint32
	Requests uint16
	// Tokens is the length of prompts whose first event is still missing.
	Tokens uint32
}

// WindowCounts counts the requests that began to run in a window of usage.
type WindowCounts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Window int64
	Counts map[string]int64
}

// Crash is an upstream that crashed while it had a request.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Request is the fingerprint of the request, Upstream the hash of the
	// upstream's ID.
	Request  uint64
	Upstream uint32
	// Age is the time since the crash.
	Age time.Duration
}

// Cleared is a request that was answered after upstreams crashed under it.
type Cleared struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Request is the fingerprint of the request.
	Request uint64
	// Age is the time since the answer.
	Age time.Duration
}

// Digest is what a host tells its peers about itself.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Host, Zone string
	// CallerAddress and Peers are the addresses for callers and for digests.
	CallerAddress, PeerAddress string
	// Incarnation differs for each process.
	Incarnation uint64
	Sequence    uint64
	Ready       bool
	Stopping    bool
	// LedgerToken is the fencing token of the duties if the host holds them,
	// and LedgerAge how long ago that was proven.
	LedgerToken int64
	LedgerAge   time.Duration
	InFlight    []UpstreamLoad
	// Suspects are hashes of upstreams that do not answer the host.
	Suspects []uint32
	// Crashes are those of upstreams under requests that may have caused them,
	// and Cleared those of these requests that were answered since.
	Crashes []Crash
	Cleared []Cleared
	// QuotaUsed is the quota used by customers since the process began.
	QuotaUsed map[string]float64
	Usage     []WindowCounts
	// Demand is what callers asked of services since the process began.
	Demand map[string]Demand
	// VersionStats holds the answers of services with a rollout, Targets those of
	// the upstreams of its target.
	VersionStats []VersionStats
	TargetStats  []UpstreamStats
	// VersionShares holds what the holder of the duties decided on rollouts.
	VersionShares []VersionShare
	// ViewAge is the age of what the host believes of configuration and
	// upstreams.
	ViewAge time.Duration
	// Detail says how much of this is told; the rest is empty.
	Detail Detail
}

// Trim returns the digest with some parts only.
func (d Digest) Trim(parts Detail) *Digest {
	d.Detail = parts
	if parts < Full {
		d.Usage, d.Demand, d.VersionStats, d.TargetStats = nil, nil, nil, nil
	}
	if parts < Load {
		d.InFlight, d.Suspects, d.QuotaUsed = nil, nil, nil
		d.Crashes, d.Cleared = nil, nil
	}
	return &d
}

// withMissingFrom returns the digest with what it lacks taken from the one before of
// the same process.
func (d Digest) withMissingFrom(before *Digest) Digest {
	if d.Detail < Full {
		d.Usage, d.Demand = before.Usage, before.Demand
		d.VersionStats, d.TargetStats = before.VersionStats, before.TargetStats
	}
	if d.Detail < Load {
		d.InFlight, d.Suspects, d.QuotaUsed = before.InFlight, before.Suspects, before.QuotaUsed
		d.Crashes, d.Cleared = before.Crashes, before.Cleared
	}
	return d
}

// VersionStats counts the answers of one version on one route.
type VersionStats struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Service, Version, Route string
	Answers, Failures       uint64
	// LatencySum is the sum of the times to the answer or the first event, Squares
	// that of their squares, in square seconds.
	LatencySum     time.Duration
	LatencySquares float64
}

// Key identifies the version and route.
func (s VersionStats) Key() string { return s.Service + "\x00" + s.Version + "\x00" + s.Route }

// Plus returns the sum of the counts.
func (s VersionStats) Plus(other VersionStats) VersionStats {
	s.Answers += other.Answers
	s.Failures += other.Failures
	s.LatencySum += other.LatencySum
	s.LatencySquares += other.LatencySquares
	return s
}

// Minus returns the growth of the counts.
func (s VersionStats) Minus(before VersionStats) VersionStats {
	s.Answers -= min(before.Answers, s.Answers)
	s.Failures -= min(before.Failures, s.Failures)
	s.LatencySum -= min(before.LatencySum, s.LatencySum)
	s.LatencySquares -= min(before.LatencySquares, s.LatencySquares)
	return s
}

// Mean returns the mean time to the answer.
func (s VersionStats) Mean() time.Duration {
	if s.Answers == 0 {
		return 0
	}
	return s.LatencySum / time.Duration(s.Answers)
}

// MeanError returns the standard error of the mean.
func (s VersionStats) MeanError() time.Duration {
	if s.Answers < 2 {
		return 0
	}
	n := float64(s.Answers)
	mean := s.Mean().Seconds()
	variance := max(0, s.LatencySquares/n-mean*mean) / (n - 1)
	return time.Duration(math.Sqrt(variance) * float64(time.Second))
}

// UpstreamStats counts the answers of one upstream.
type UpstreamStats struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Upstream is the hash of the upstream's ID.
	Upstream          uint32
	Answers, Failures uint64
}

// Plus returns the sum of the counts.
func (s UpstreamStats) Plus(other UpstreamStats) UpstreamStats {
	s.Answers += other.Answers
	s.Failures += other.Failures
	return s
}

// VersionShare is the part of a service's requests that a version gets.
type VersionShare struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Service, Version string
	Share            float64
}

// Demand counts what callers asked of a service.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Requests uint64
	// Tokens are the prompt tokens that engines had to read.
	Tokens uint64
}
