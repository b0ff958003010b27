// Package observation keeps what all hosts observe of engines: which prompts they were
// sent, and how fast they are. It does no I/O.
package observation

import (
	"math"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/promptcache"
	"github.com/marigoldmux/marigoldmux/internal/gateway/speed"
)

// repeatFor is the time for which an observation is in this host's digests. It exceeds the
// longest usual interval between digests (200 ms), so that each observation is in one also
// if that is late.
const repeatFor = 250 * time.Millisecond

// Recorder keeps the observations of this host and its peers. It is safe for concurrent
// use.
type Recorder struct {
	Prompts *promptcache.Index
	Speeds  *speed.Table

	host uint32
	own  members.ObservationLog
}

// NewRecorder returns the recorder of a host with an address for digests.
func NewRecorder(address string) *Recorder {
	return &Recorder{Prompts: promptcache.NewIndex(), Speeds: speed.NewTable(), host: members.HostID(address)}
}

// Sent records that this host sent a prompt to an engine, which takes a number of tokens in
// its cache.
func (r *Recorder) Sent(engine uint32, prefixes []promptcache.Prefix, tokens int, now time.Duration) {
	r.Prompts.Record(engine, prefixes, tokens)
	hashes := make([]uint32, len(prefixes))
	for i, prefix := range prefixes {
		hashes[i] = uint32(prefix)
	}
	r.own.Add(now, members.Observation{
		Host: r.host, Upstream: engine, Prefixes: hashes, Tokens: uint32(min(max(tokens, 0), math.MaxUint32)),
	})
}

// Reported records that an engine reported how long work takes there. Peers are told of
// changes only.
func (r *Recorder) Reported(engine uint32, slowdown float64, now time.Duration) {
	if !r.Speeds.Record(engine, slowdown, now) {
		return
	}
	percent := min(max(slowdown*100, 1), math.MaxUint16)
	r.own.Add(now, members.Observation{Host: r.host, Upstream: engine, SlowdownPercent: uint16(percent)})
}

// Merge adds what peers observed.
func (r *Recorder) Merge(list []members.Observation, now time.Duration) {
	var prefixes []promptcache.Prefix
	for i := range list {
		o := &list[i]
		if o.SlowdownPercent > 0 {
			r.Speeds.Record(o.Upstream, float64(o.SlowdownPercent)/100, now)
			continue
		}
		prefixes = prefixes[:0]
		for _, hash := range o.Prefixes {
			prefixes = append(prefixes, promptcache.Prefix(hash))
		}
		r.Prompts.Record(o.Upstream, prefixes, int(o.Tokens))
	}
}

// Recent returns the observations of this host that its next digest tells.
func (r *Recorder) Recent(now time.Duration) *members.Observations {
	return r.own.Since(now - repeatFor)
}

// SetEngines sets the listed engines with what distinguishes their processes. What is known
// of others is forgotten.
func (r *Recorder) SetEngines(processes map[uint32]int64) {
	r.Prompts.SetEngines(processes)
	r.Speeds.SetEngines(processes)
}
