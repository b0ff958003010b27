package members

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
)

// Detail selects the parts of a digest that are sent.
type Detail uint8

// The levels of detail; each contains those before it.
const (
	// Heartbeat shows that the host is live, with its duties and rollout shares.
	Heartbeat Detail = iota
	// Load adds what matters to all hosts that send requests.
	Load
	// Full adds what the holder of the duties collects.
	Full
)

// UpstreamLoad is the load of a host's in-flight requests at an upstream.
type UpstreamLoad struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Upstream is the hash of the upstream's ID.
	Upstream uint32
	Requests uint16
	// Tokens is the number of prompt tokens of requests without a first event
	// yet.
	Tokens uint32
}

// WindowCounts counts by customer the requests that started to run in a usage
// window.
type WindowCounts struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Window int64
	Counts map[string]int64
}

// Crash is the crash of an upstream that had a request in flight.
type Crash struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Request is the fingerprint of the request, Upstream the hash of the
	// upstream's ID.
	Request  uint64
	Upstream uint32
	// Age is the time since the crash.
	Age time.Duration
}

// Cleared is a request that got a response after upstreams had crashed with it in
// flight.
type Cleared struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Request is the fingerprint of the request.
	Request uint64
	// Age is the time since the response.
	Age time.Duration
}

// Digest is what a host sends to its peers about itself.
type Digest struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Host, Zone string
	// CallerAddress and PeerAddress are the addresses for callers and for
	// digests.
	CallerAddress, PeerAddress string
	// Incarnation differs for each process.
	Incarnation uint64
	Sequence    uint64
	Ready       bool
	Stopping    bool
	// LedgerToken is the fencing token of the duties if the host holds them, and
	// LedgerAge the time since that was last confirmed.
	LedgerToken int64
	LedgerAge   time.Duration
	InFlight    []UpstreamLoad
	// Suspects are hashes of upstreams that do not respond to the host.
	Suspects []uint32
	// Crashes are those of upstreams with requests in flight that may have caused
	// them, and Cleared those of these requests that got a response since.
	Crashes []Crash
	Cleared []Cleared
	// QuotaUsed is the quota used by customers since the process started.
	QuotaUsed map[string]float64
	Usage     []WindowCounts
	// Demand counts the requests of callers by service since the process started.
	Demand map[string]Demand
	// VersionStats counts the responses of services with a rollout, TargetStats
	// those of the upstreams of the rollouts' targets.
	VersionStats []VersionStats
	TargetStats  []UpstreamStats
	// VersionShares holds the rollout shares decided by the holder of the duties.
	VersionShares []VersionShare
	// ViewAge is the age of the host's view of configuration and upstreams.
	ViewAge time.Duration
	// Detail says which parts are sent; the others are empty.
	Detail Detail
	// Extension follows the other parts.
	Extension Extension `msgpack:"-"`
}

// Extension holds the parts of a digest that were added later. On the wire it is
// a map behind the digest: a build that does not know it stops reading before it.
type Extension struct {
	// Leaving are the instances of upstreams that told the host that they leave.
	Leaving []advisory.Instance `msgpack:"leaving,omitempty"`
	// Tree is set when the host understands summaries.
	Tree bool `msgpack:"tree,omitempty"`
	// Strength is what the host can carry, in any unit: stronger hosts become hubs
	// and readers first.
	Strength float64 `msgpack:"strength,omitempty"`
	// Uptime is the time since the process began to use quotas.
	Uptime time.Duration `msgpack:"up,omitempty"`
	// Paces are those of VersionStats, only on the wire.
	Paces []Pace `msgpack:"paces,omitempty"`
	// Observed are recent observations of the host.
	Observed *Observations `msgpack:"observed,omitempty"`
	// ProvenVersion is the version of the configuration that the host last knew to be the
	// newest, and ProvenEpoch the epoch of the log in which it did.
	ProvenEpoch   int64 `msgpack:"provenEpoch,omitempty"`
	ProvenVersion int64 `msgpack:"proven,omitempty"`
	// TakesForwarded is set when the host takes requests that its peers forward to it, and
	// Isolated when it reaches no upstream itself.
	TakesForwarded bool `msgpack:"takes,omitempty"`
	Isolated       bool `msgpack:"isolated,omitempty"`
	// RolloutShares are the latest shares that the host knows a holder of the duties to have
	// decided, in a log that came back from a copy.
	RolloutShares []VersionShare `msgpack:"rollouts,omitempty"`
}

func (e Extension) empty() bool {
	return len(e.Leaving) == 0 && !e.Tree && e.Strength == 0 && e.Uptime == 0 && len(e.Paces) == 0 && e.Observed == nil &&
		e.ProvenVersion == 0 && !e.TakesForwarded && !e.Isolated && len(e.RolloutShares) == 0
}

// paces returns the paces of versions as they are sent.
func paces(stats []VersionStats) []Pace {
	var sent []Pace
	for _, s := range stats {
		if s.Pace.Count > 0 {
			sent = append(sent, Pace{
				Service: s.Service, Version: s.Version, Route: s.Route,
				Streams: s.Pace.Count, Sum: s.Pace.Sum, Squares: s.Pace.Squares,
			})
		}
	}
	return sent
}

// setPaces sets the paces of versions to those received.
func setPaces(stats []VersionStats, received []Pace) {
	for _, pace := range received {
		key := VersionStats{Service: pace.Service, Version: pace.Version, Route: pace.Route}.Key()
		for i := range stats {
			if stats[i].Key() == key {
				stats[i].Pace = Timing{pace.Streams, pace.Sum, pace.Squares}
			}
		}
	}
}

// Trim returns a copy of the digest reduced to a level of detail.
func (d Digest) Trim(detail Detail) *Digest {
	d.Detail = detail
	if detail < Full {
		d.Usage, d.Demand, d.VersionStats, d.TargetStats = nil, nil, nil, nil
	}
	if detail < Load {
		d.InFlight, d.Suspects, d.QuotaUsed = nil, nil, nil
		d.Crashes, d.Cleared, d.Extension.Leaving, d.Extension.Observed = nil, nil, nil, nil
	}
	return &d
}

// withMissingFrom returns the digest with the parts that it lacks taken from the
// previous one of the same process.
func (d Digest) withMissingFrom(previous *Digest) Digest {
	if d.Detail < Full {
		d.Usage, d.Demand = previous.Usage, previous.Demand
		d.VersionStats, d.TargetStats = previous.VersionStats, previous.TargetStats
	}
	if d.Detail < Load {
		d.InFlight, d.Suspects, d.QuotaUsed = previous.InFlight, previous.Suspects, previous.QuotaUsed
		d.Crashes, d.Cleared, d.Extension.Leaving = previous.Crashes, previous.Cleared, previous.Extension.Leaving
	}
	return d
}

// VersionStats counts the responses of one version on one route.
type VersionStats struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Service, Version, Route string
	Responses, Failures     uint64
	// LatencySum is the sum of the times to the response or first event, and
	// LatencySquares that of their squares, in square seconds.
	LatencySum     time.Duration
	LatencySquares float64
	// Pace is the mean time between two events of a stream. It is sent in
	// Extension.Paces.
	Pace Timing `msgpack:"-"`
}

// Timing holds the sums of a number of times.
type Timing struct {
	Count uint64
	Sum   time.Duration
	// Squares is the sum of the squares, in square seconds.
	Squares float64
}

// TimingOf returns the Timing of one time.
func TimingOf(d time.Duration) Timing {
	return Timing{Count: 1, Sum: d, Squares: d.Seconds() * d.Seconds()}
}

func (t Timing) plus(other Timing) Timing {
	return Timing{t.Count + other.Count, t.Sum + other.Sum, t.Squares + other.Squares}
}

// minus returns the growth since before.
func (t Timing) minus(before Timing) Timing {
	return Timing{t.Count - min(before.Count, t.Count), t.Sum - min(before.Sum, t.Sum), t.Squares - min(before.Squares, t.Squares)}
}

// Mean returns the mean time, 0 if there is none.
func (t Timing) Mean() time.Duration {
	if t.Count == 0 {
		return 0
	}
	return t.Sum / time.Duration(t.Count)
}

// MeanError returns the standard error of the mean, 0 below two times.
func (t Timing) MeanError() time.Duration {
	if t.Count < 2 {
		return 0
	}
	n := float64(t.Count)
	mean := t.Mean().Seconds()
	variance := max(0, t.Squares/n-mean*mean) / (n - 1)
	return time.Duration(math.Sqrt(variance) * float64(time.Second))
}

// Pace is the pace of the streams of one version on one route.
type Pace struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Service, Version, Route string
	Streams                 uint64
	Sum                     time.Duration
	Squares                 float64
}

// Key identifies the version and route.
func (s VersionStats) Key() string { return s.Service + "\x00" + s.Version + "\x00" + s.Route }

// Plus returns the sum of the counts.
func (s VersionStats) Plus(other VersionStats) VersionStats {
	s.Responses += other.Responses
	s.Failures += other.Failures
	s.LatencySum += other.LatencySum
	s.LatencySquares += other.LatencySquares
	s.Pace = s.Pace.plus(other.Pace)
	return s
}

// Minus returns the growth of the counts since before, at least 0 each.
func (s VersionStats) Minus(before VersionStats) VersionStats {
	s.Responses -= min(before.Responses, s.Responses)
	s.Failures -= min(before.Failures, s.Failures)
	s.LatencySum -= min(before.LatencySum, s.LatencySum)
	s.LatencySquares -= min(before.LatencySquares, s.LatencySquares)
	s.Pace = s.Pace.minus(before.Pace)
	return s
}

// Latency returns the times to the response or first event.
func (s VersionStats) Latency() Timing { return Timing{s.Responses, s.LatencySum, s.LatencySquares} }

// UpstreamStats counts the responses of one upstream.
type UpstreamStats struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Upstream is the hash of the upstream's ID.
	Upstream            uint32
	Responses, Failures uint64
}

// Plus returns the sum of the counts.
func (s UpstreamStats) Plus(other UpstreamStats) UpstreamStats {
	s.Responses += other.Responses
	s.Failures += other.Failures
	return s
}

// VersionShare is the fraction of a service's requests that a version gets.
type VersionShare struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Service, Version string
	Share            float64
}

// Demand counts the requests of callers for a service.
type Demand struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Requests uint64
	// Tokens is the number of prompt tokens that engines had to process.
	Tokens uint64
}
