// Package proof decides whether the configuration that a host has read is known to be the
// newest one. Behind a log that came back from a copy a read alone does not show that: the copy
// may lack what was written last. It does no I/O.
package proof

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// How long a proof is carried over to a later epoch.
const (
	// maxCarriedAge is the age of a proof up to which it is carried over at once: a host whose
	// proof is older may no longer serve keys.
	maxCarriedAge = 4 * time.Second
	// maxLateAge is the age up to which it is carried over if no peer has had the proof, nor a
	// higher version, for peersWait.
	maxLateAge = 30 * time.Second
	// peersWait is the time in which the digests of all live peers arrive.
	peersWait = 2 * time.Second
)

// Basis says what a proof rests on.
type Basis string

// The bases of a proof.
const (
	None Basis = ""
	// CarriedOver: the host had the proof before the log came back.
	CarriedOver Basis = "carried over"
	// Written: operators wrote the configuration after the host had listed it.
	Written Basis = "written"
	// Peer: a peer that has the proof has no higher version.
	Peer Basis = "peer"
	// Ledger: the ledger of the duties has no higher version.
	Ledger Basis = "ledger"
	// Recorded: a host recorded a version in the log that is not higher.
	Recorded Basis = "record"
	// FirstStart: the deployment starts for the first time and the log has no ledger, so there
	// was no earlier configuration.
	FirstStart Basis = "first start"
)

// Source is where an update was read.
type Source struct {
	// Log is set when it was read from the log directly.
	Log bool
	// ProvenEpoch is the epoch in which the peer that it was read from has the proof, and
	// ProvenVersion the version that it has the proof of.
	ProvenEpoch, ProvenVersion int64
	// HighestVersion is the highest version in the digests of peers.
	HighestVersion int64
}

// State is what a host knows of its proof.
type State struct {
	// Epoch is the epoch that was read last, and Basis what the proof in it rests on.
	Epoch int64
	Basis Basis
	// Version is the highest version that was read.
	Version int64
	// ProvenEpoch and ProvenVersion are those of the latest proof.
	ProvenEpoch, ProvenVersion int64
	// Behind is set while a digest of a peer has a higher version.
	Behind bool
	// carriesLateAt is the boot time from which a former proof is carried over although it was
	// old, 0 if there is none.
	carriesLateAt time.Duration
}

// CarriesLate reports whether a former proof is carried over although it was old, as no peer
// has one.
func (s State) CarriesLate(now time.Duration) bool {
	return s.Missing() && s.carriesLateAt > 0 && now >= s.carriesLateAt
}

// Missing reports whether the host lacks the proof in the epoch that it read last.
func (s State) Missing() bool { return s.Epoch > 0 && s.Basis == None }

// Tracker follows the proof of a host. Its zero value has read nothing.
type Tracker struct {
	State
	read bool
	// readAt is the boot time of the request that was answered last, provenAt that of the
	// last one that confirmed the configuration.
	readAt, provenAt time.Duration
}

// Read records an update that was read by a request sent at a boot time. It reports whether the
// update confirms the configuration as the newest.
func (t *Tracker) Read(u catalog.OperatorUpdate, requestedAt time.Duration, from Source) bool {
	if !t.read || u.Epoch > t.Epoch {
		t.enter(u.Epoch, requestedAt)
	}
	t.readAt = max(t.readAt, requestedAt)
	written := t.note(u)
	switch {
	case t.Basis != None:
	case from.Log && !u.Whole && written:
		t.Basis = Written
	case from.ProvenEpoch == u.Epoch && from.ProvenVersion <= t.Version:
		t.Basis = Peer
	}
	t.Behind = u.Epoch > 0 && from.HighestVersion > t.Version
	if t.Basis == None || t.Behind {
		return false
	}
	t.confirm(requestedAt)
	return true
}

// enter begins an epoch: a proof of the former one is carried over unless it is old.
func (t *Tracker) enter(epoch int64, requestedAt time.Duration) {
	had := t.read && t.Basis != None && t.ProvenVersion > 0
	age := requestedAt - t.provenAt
	t.Epoch, t.read, t.Basis, t.carriesLateAt = epoch, true, None, 0
	switch {
	case epoch == 0 || had && age <= maxCarriedAge:
		t.Basis = CarriedOver
	case had && age <= maxLateAge:
		t.carriesLateAt = requestedAt + peersWait
	}
}

// note records the versions in an update. It reports whether there are any.
func (t *Tracker) note(u catalog.OperatorUpdate) bool {
	written := false
	for _, change := range u.Changes {
		if change.Document != nil {
			t.Version = max(t.Version, change.Document.Version)
			written = true
		}
	}
	return written
}

func (t *Tracker) confirm(requestedAt time.Duration) {
	t.provenAt = max(t.provenAt, requestedAt)
	t.ProvenEpoch, t.ProvenVersion = t.Epoch, t.Version
}

// Prove records evidence that, in an epoch, no version above the given one is the newest. It
// returns the boot time from which on the configuration is confirmed, and reports whether it is.
func (t *Tracker) Prove(basis Basis, epoch, version, highestVersion int64) (time.Duration, bool) {
	if !t.Missing() || epoch != t.Epoch || max(version, highestVersion) > t.Version {
		return 0, false
	}
	t.Basis = basis
	t.confirm(t.readAt)
	return t.readAt, true
}
