package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/proof"
)

var fromLog = proof.Source{Log: true}

func read(epoch int64, whole bool, versions ...int64) catalog.OperatorUpdate {
	update := catalog.OperatorUpdate{Epoch: epoch, Whole: whole}
	for _, version := range versions {
		update.Changes = append(update.Changes, catalog.OperatorChange{Document: &catalog.Document{Version: version}})
	}
	return update
}

func TestCopyAloneProvesNothing(t *testing.T) {
	var tracker proof.Tracker
	require.False(t, tracker.Read(read(1, true, 4), time.Second, fromLog))
	require.False(t, tracker.Read(read(1, false), 2*time.Second, fromLog))
	require.True(t, tracker.Missing())
	require.True(t, tracker.Read(read(1, false, 5), 3*time.Second, fromLog))
	require.Equal(t, proof.Written, tracker.Basis)
}

func TestProofIsCarriedOverUnlessItIsOldOrAPeerTellsMore(t *testing.T) {
	for _, test := range []struct {
		after  time.Duration
		peers  int64
		proven bool
	}{{4 * time.Second, 5, true}, {5 * time.Second, 5, false}, {time.Second, 6, false}} {
		var tracker proof.Tracker
		require.True(t, tracker.Read(read(0, true, 5), time.Second, fromLog))
		from := fromLog
		from.HighestVersion = test.peers
		require.Equal(t, test.proven, tracker.Read(read(1, true, 4), time.Second+test.after, from))
	}
}

// Guards against a host that was cut off for longer than it may serve keys, and serves them again by its old
// proof before it has asked its peers.
func TestOldProofIsCarriedOverOnlyOncePeersHadTheTimeToTell(t *testing.T) {
	for _, test := range []struct {
		after   time.Duration
		carries bool
	}{{5 * time.Second, true}, {30 * time.Second, true}, {31 * time.Second, false}} {
		var tracker proof.Tracker
		tracker.Read(read(0, true, 5), time.Second, fromLog)
		at := time.Second + test.after
		require.False(t, tracker.Read(read(1, true, 4), at, fromLog))
		require.False(t, tracker.CarriesLate(at+1900*time.Millisecond))
		require.Equal(t, test.carries, tracker.CarriesLate(at+2*time.Second))
	}
}

func TestNothingReadIsNotCarriedOver(t *testing.T) {
	var tracker proof.Tracker
	tracker.Read(read(0, true), time.Second, fromLog)
	require.False(t, tracker.Read(read(1, true, 4), 2*time.Second, fromLog))
}

func TestEvidenceProvesItsEpochAndVersionOnly(t *testing.T) {
	var tracker proof.Tracker
	tracker.Read(read(2, true, 4), time.Second, fromLog)
	for _, refused := range [][3]int64{{1, 4, 0}, {3, 4, 0}, {2, 5, 0}, {2, 4, 5}} {
		_, proven := tracker.Prove(proof.Ledger, refused[0], refused[1], refused[2])
		require.False(t, proven, refused)
	}
	require.False(t, tracker.Read(read(2, false), 2*time.Second, proof.Source{ProvenEpoch: 1}))
	readAt, proven := tracker.Prove(proof.Ledger, 2, 4, 4)
	require.True(t, proven)
	require.Equal(t, 2*time.Second, readAt)
	require.EqualValues(t, 2, tracker.ProvenEpoch)
	require.EqualValues(t, 4, tracker.ProvenVersion)
}

// Guards against a host that starts behind a drill and confirms an older version than one that was
// acknowledged, whatever it reads and hears.
func TestOlderVersionIsNeverConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const acknowledged = 5
		var tracker proof.Tracker
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			at := time.Duration(step+1) * time.Second
			version := rapid.Int64Range(1, acknowledged).Draw(t, "version")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				proven := tracker.Read(read(1, true, version), at, fromLog)
				require.True(t, !proven || tracker.Version >= acknowledged)
			case 1:
				proven := tracker.Read(read(1, false), at, proof.Source{Log: true, HighestVersion: acknowledged})
				require.True(t, !proven || tracker.Version >= acknowledged)
			case 2:
				_, proven := tracker.Prove(proof.Peer, 1, acknowledged, 0)
				require.True(t, !proven || tracker.Version >= acknowledged)
			case 3:
				proven := tracker.Read(read(1, true, acknowledged), at, proof.Source{ProvenEpoch: 1})
				require.True(t, proven)
			}
		}
	})
}
