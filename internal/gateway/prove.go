package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/proof"
	"github.com/marigoldmux/marigoldmux/internal/gateway/relay"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// proofInterval is the pause between two calls for the proof of the configuration.
const proofInterval = time.Second

// ledgerWatch passes the calls of the duties on to the log, and notes where that had no ledger:
// the first holder writes one, perhaps before its host has read the configuration.
type ledgerWatch struct {
	topic.Keyed
	// absentIn is the latest epoch in which there was no ledger.
	absentIn atomic.Int64
}

// Newest implements topic.Keyed.
func (w *ledgerWatch) Newest(ctx context.Context, name string) ([]topic.Entry, topic.Position, error) {
	entries, end, err := w.Keyed.Newest(ctx, name)
	if err == nil && len(entries) == 0 {
		w.absentIn.Store(end.Epoch)
	}
	return entries, end, err
}

// Where hosts record in the log that a version of the configuration was the newest in an epoch.
const (
	proofTopic = "keyed.proof"
	proofKey   = "configuration"
)

// proofRecord is the value of proofKey.
type proofRecord struct {
	Epoch   int64 `json:"epoch"`
	Version int64 `json:"version"`
}

// proofSeeker looks for the proof of the configuration while this host lacks it, and records
// it in the log for hosts that start later.
type proofSeeker struct {
	g      *Gateway
	client *relay.Client
	log    *dependency
	// nextCallAt is the boot time from which it may call a peer or the log again.
	nextCallAt time.Duration
	// recordAt is the boot time from which the proof of recordEpoch is to be recorded, and
	// recorded is set once it is.
	recordAt    time.Duration
	recordEpoch int64
	recorded    bool
}

// seekProof looks for the proof until the context ends.
func (g *Gateway) seekProof(ctx context.Context) {
	seeker := &proofSeeker{g: g, client: relay.NewClient(), log: &dependency{g: g, name: "log: proof"}}
	for ctx.Err() == nil {
		seeker.step(ctx, boottime.Now())
		sleep(ctx, roleCheckInterval)
	}
}

// step compares the configuration with those of the peers that have the proof. If that is not
// enough, it reads a newer configuration from such a peer, or what the log tells of the proof.
func (s *proofSeeker) step(ctx context.Context, now time.Duration) {
	state := s.g.updates.currentProof()
	if !state.Missing() && !state.Behind {
		s.record(ctx, state, now)
		return
	}
	peer := s.g.provenPeer(state.Epoch)
	if peer != nil && peer.Extension.ProvenVersion <= state.Version {
		s.g.updates.prove(ctx, proof.Peer, state.Epoch, peer.Extension.ProvenVersion)
		return
	}
	if s.g.options.FirstStart && s.g.ledger.absentIn.Load() == state.Epoch {
		s.g.updates.prove(ctx, proof.FirstStart, state.Epoch, 0)
	}
	if peer == nil && state.CarriesLate(now) {
		s.g.updates.prove(ctx, proof.CarriedOver, state.Epoch, state.ProvenVersion)
	}
	if now < s.nextCallAt {
		return
	}
	s.nextCallAt = now + time.Duration(float64(proofInterval)*(0.75+rand.Float64()/2))
	switch {
	case peer != nil:
		s.readFrom(ctx, peer)
	case state.Missing() && s.g.source.Load().ReadsLog:
		s.readLedger(ctx, state.Epoch)
		s.readRecord(ctx, state.Epoch)
	}
}

// record writes the proof to the log, once in each epoch that a copy began.
//
// Scenario: the hosts that have the proof are restarted one after the other, before one of them
// has claimed the duties. No host would have it any more, and all would refuse keys until
// operators write again.
func (s *proofSeeker) record(ctx context.Context, state proof.State, now time.Duration) {
	if state.Epoch == 0 || state.ProvenEpoch != state.Epoch {
		return
	}
	if s.recordEpoch != state.Epoch {
		s.recordEpoch, s.recorded = state.Epoch, state.Basis == proof.Recorded
		s.recordAt = now + rand.N(max(rewriteSpread(len(s.g.loop.Snapshot().Peers)+1), 1))
	}
	if s.recorded || now < s.recordAt {
		return
	}
	s.recordAt = now + proofInterval
	data, err := json.Marshal(proofRecord{Epoch: state.ProvenEpoch, Version: state.ProvenVersion})
	if err == nil {
		_, err = s.g.ports.Feed.Put(ctx, proofTopic, proofKey, data, topic.Anywhere)
	}
	if err != nil {
		s.log.failed(err)
		return
	}
	s.log.succeeded()
	s.recorded = true
}

// readRecord takes the proof from what a host recorded in the same epoch.
func (s *proofSeeker) readRecord(ctx context.Context, epoch int64) {
	entries, _, err := s.g.ports.Feed.Newest(ctx, proofTopic)
	if err != nil {
		s.log.failed(err)
		return
	}
	for _, entry := range entries {
		var record proofRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			s.g.events.Emit(eventUndecodable, event.Err(err))
			continue
		}
		if entry.Key == proofKey && record.Epoch == epoch && record.Version > 0 {
			s.g.updates.prove(ctx, proof.Recorded, epoch, record.Version)
		}
	}
}

// provenPeer returns the peer of the highest version among those that have the proof in an
// epoch, nil if there is none.
func (g *Gateway) provenPeer(epoch int64) *members.Peer {
	var proven *members.Peer
	for _, p := range g.loop.Snapshot().Peers {
		if p.Extension.ProvenEpoch != epoch || p.Stopping {
			continue
		}
		if proven == nil || p.Extension.ProvenVersion > proven.Extension.ProvenVersion {
			proven = p
		}
	}
	return proven
}

// readFrom reads the configuration from a peer that has the proof.
func (s *proofSeeker) readFrom(ctx context.Context, peer *members.Peer) {
	requestedAt := boottime.Now()
	_, upstreams := s.g.updates.copy.Positions()
	resp, err := s.client.Read(ctx, peer.PeerAddress, relay.Request{
		Operator: topic.Unread.Offset, Upstreams: upstreams.Offset, UpstreamsEpoch: upstreams.Epoch,
	})
	if err != nil {
		s.g.events.Emit(eventLost, zap.String("dependency", "proof of "+peer.Host), event.Err(err))
		return
	}
	s.g.updates.applyRelayed(ctx, resp, requestedAt)
}

// readLedger takes the proof from the ledger of the duties. In a first start there was no
// configuration before if the log has no ledger; otherwise a copy may lack it.
func (s *proofSeeker) readLedger(ctx context.Context, epoch int64) {
	version, ledgerEpoch, known, err := duty.ProvenVersion(ctx, s.g.ports.Feed)
	if err != nil {
		s.log.failed(err)
		return
	}
	s.log.succeeded()
	if ledgerEpoch != epoch {
		return
	}
	switch {
	case !known && s.g.options.FirstStart:
		s.g.updates.prove(ctx, proof.FirstStart, epoch, 0)
	case version > 0:
		s.g.updates.prove(ctx, proof.Ledger, epoch, version)
	}
}

// highestVersion returns the highest version of the configuration that a peer tells, 0 if none
// does.
func (g *Gateway) highestVersion() int64 {
	highest := int64(0)
	for _, p := range g.loop.Snapshot().Peers {
		highest = max(highest, p.Extension.ProvenVersion)
	}
	return highest
}

// reportProof emits an event about the proof of the configuration.
func (g *Gateway) reportProof(state proof.State) {
	g.events.Emit(eventProof, zap.Bool("proven", !state.Missing()), zap.String("by", string(state.Basis)),
		zap.Int64("epoch", state.Epoch), zap.Int64("version", state.Version))
}

// provenConfig returns the version of the configuration that this host last knew to be the newest,
// and the epoch of the log in which it did. In a log that never came back from a copy peers
// need neither.
func (g *Gateway) provenConfig() (epoch, version int64) {
	state := g.updates.currentProof()
	if state.Epoch == 0 {
		return 0, 0
	}
	return state.ProvenEpoch, state.ProvenVersion
}

// provenVersion returns the version that the ledger of the duties is to tell in an epoch, 0 while
// this host lacks the proof in it and where peers need none.
func (g *Gateway) provenVersion(epoch int64) int64 {
	state := g.updates.currentProof()
	if state.Epoch == 0 || state.ProvenEpoch != epoch || state.Missing() || state.Behind {
		return 0
	}
	return state.ProvenVersion
}
