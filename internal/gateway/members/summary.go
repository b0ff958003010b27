package members

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// Summary is what a hub tells about many hosts: those of its availability zone, to
// the hubs of other zones, or those of all zones, to the hosts of its zone. On the
// wire it is a map, a Digest an array.
type Summary struct {
	// Hub is the address of the hub for digests.
	Hub         string `msgpack:"hub"`
	Zone        string `msgpack:"zone"`
	Incarnation uint64 `msgpack:"inc"`
	Sequence    uint64 `msgpack:"seq"`
	// Fleet is set when the summary covers all zones.
	Fleet bool `msgpack:"fleet,omitempty"`
	// Alive are the states of the live hosts, the hub's among them.
	Alive HostStates `msgpack:"alive"`
	// Hosts are heartbeats of some of the hosts: of those that hold duties or
	// changed lately, and of the others in turn.
	Hosts []HostEntry `msgpack:"hosts,omitempty"`
	// Loads are the sums over the hosts by upstream.
	Loads []LoadSum `msgpack:"loads,omitempty"`
	// QuotaUsed is what the hosts used of each customer's quota since the hub first
	// summed them up.
	QuotaUsed map[string]float64  `msgpack:"quota,omitempty"`
	Crashes   []Crash             `msgpack:"crashes,omitempty"`
	Cleared   []Cleared           `msgpack:"cleared,omitempty"`
	Leaving   []advisory.Instance `msgpack:"leaving,omitempty"`
	// Observed are recent observations of the hosts.
	Observed *Observations `msgpack:"observed,omitempty"`
}

// HostEntry is a heartbeat of a host in a Summary.
type HostEntry struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	Digest Digest
	// Extension is that of the Digest, which a digest in a summary lacks.
	Extension Extension
}

// HostStates holds the states of live hosts, hostStateBytes each: it is read several
// times a second by every host.
type HostStates []byte

// HostState is the state of a live host in a Summary.
type HostState struct {
	// ID is the HostID of the host's address.
	ID    uint32
	Flags StateFlags
}

// hostStateBytes is the size of an ID and the flags.
const hostStateBytes = 5

func (s HostStates) add(state HostState) HostStates {
	return append(binary.BigEndian.AppendUint32(s, state.ID), byte(state.Flags))
}

// all returns the states; an incomplete last one is left out.
func (s HostStates) all() iter.Seq[HostState] {
	return func(yield func(HostState) bool) {
		for ; len(s) >= hostStateBytes; s = s[hostStateBytes:] {
			if !yield(HostState{ID: binary.BigEndian.Uint32(s), Flags: StateFlags(s[hostStateBytes-1])}) {
				return
			}
		}
	}
}

// StateFlags are the parts of a host's state that change often.
type StateFlags uint8

// The flags of a host's state.
const (
	// StateReady is set when the host is ready for callers, StateStopping when it
	// stops, and StateFresh when its view is at most FreshViewAge old.
	StateReady StateFlags = 1 << iota
	StateStopping
	StateFresh
)

// FreshViewAge is the age of a view up to which it counts as fresh. Views from a healthy
// reader are younger; changes by operators and upstreams must be in effect within two
// seconds.
const FreshViewAge = 1300 * time.Millisecond

// LoadSum is the load of many hosts' in-flight requests at an upstream.
type LoadSum struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // option of the codec

	// Upstream is the hash of the upstream's ID.
	Upstream uint32
	Requests uint32
	// Tokens is the number of prompt tokens of requests without a first event
	// yet.
	Tokens uint32
	// Suspects is the number of hosts to which the upstream does not respond.
	Suspects uint16
}

// Bounds of the parts of a summary.
const (
	maxSummaryEvidence = 64
	maxSummaryLeaving  = 128
	maxSummaryLoads    = 1024
)

// HostID returns the hash of a host's address for digests, which stands for it in
// summaries.
func HostID(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

func flagsOf(d *Digest) StateFlags {
	var flags StateFlags
	if d.Ready {
		flags |= StateReady
	}
	if d.Stopping {
		flags |= StateStopping
	}
	if d.ViewAge <= FreshViewAge {
		flags |= StateFresh
	}
	return flags
}

// EncodeSummary encodes a summary as a message. Its error is an ErrDigest.
func EncodeSummary(s *Summary) ([]byte, error) {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	return checkLength(data)
}

// IsSummary reports whether a message holds a Summary rather than a Digest.
func IsSummary(data []byte) bool {
	return len(data) > 0 && (data[0]>>4 == 0x8 || data[0] == 0xde || data[0] == 0xdf)
}

// DecodeSummary decodes a message. Its error is an ErrDigest.
func DecodeSummary(data []byte) (*Summary, error) {
	if len(data) > MaxMessageBytes {
		return nil, eris.Wrapf(ErrDigest, "%d bytes", len(data))
	}
	if err := wire.Check(data); err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	var s Summary
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	return &s, nil
}

// sums adds up the parts of digests and summaries.
type sums struct {
	loads   map[uint32]LoadSum
	crashes []Crash
	cleared []Cleared
	leaving map[advisory.Instance]bool
}

func newSums() *sums {
	return &sums{loads: map[uint32]LoadSum{}, leaving: map[advisory.Instance]bool{}}
}

// addLoads adds the load and the suspicions of one host.
func (s *sums) addLoads(inFlight []UpstreamLoad, suspects []uint32) {
	for _, load := range inFlight {
		sum := s.loads[load.Upstream]
		sum.Upstream = load.Upstream
		sum.Requests += uint32(load.Requests)
		sum.Tokens += load.Tokens
		s.loads[load.Upstream] = sum
	}
	for _, upstream := range suspects {
		sum := s.loads[upstream]
		sum.Upstream = upstream
		sum.Suspects++
		s.loads[upstream] = sum
	}
}

// addEvidence adds what a host or hub reported some time ago.
func (s *sums) addEvidence(crashes []Crash, cleared []Cleared, leaving []advisory.Instance, ago time.Duration) {
	for _, c := range crashes {
		c.Age += ago
		s.crashes = append(s.crashes, c)
	}
	for _, c := range cleared {
		c.Age += ago
		s.cleared = append(s.cleared, c)
	}
	for _, instance := range leaving {
		s.leaving[instance] = true
	}
}

// addSummary adds a summary that was received some time ago.
func (s *sums) addSummary(other *Summary, ago time.Duration) {
	for _, load := range other.Loads {
		sum := s.loads[load.Upstream]
		load.Requests += sum.Requests
		load.Tokens += sum.Tokens
		load.Suspects += sum.Suspects
		s.loads[load.Upstream] = load
	}
	s.addEvidence(other.Crashes, other.Cleared, other.Leaving, ago)
}

// fill sets the parts of a summary to the sums. Where they exceed a bound, the
// largest loads and the newest evidence are kept.
func (s *sums) fill(summary *Summary) {
	loads := slices.SortedFunc(maps.Values(s.loads), func(a, b LoadSum) int { return int(b.Requests) - int(a.Requests) })
	summary.Loads = loads[:min(len(loads), maxSummaryLoads)]
	slices.SortFunc(s.crashes, func(a, b Crash) int { return int(a.Age - b.Age) })
	crashes := slices.CompactFunc(s.crashes, func(a, b Crash) bool { return a.Request == b.Request && a.Upstream == b.Upstream })
	summary.Crashes = crashes[:min(len(crashes), maxSummaryEvidence)]
	slices.SortFunc(s.cleared, func(a, b Cleared) int { return int(a.Age - b.Age) })
	summary.Cleared = s.cleared[:min(len(s.cleared), maxSummaryEvidence)]
	leaving := slices.Sorted(maps.Keys(s.leaving))
	summary.Leaving = leaving[:min(len(leaving), maxSummaryLeaving)]
}
