package members_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
)

// fullDigest is what testdata/compat/full.msgpack holds. Its values differ from
// each other, so that two fields in a changed order are noticed. Maps have one
// key, since the order of keys is not determined.
func fullDigest() members.Digest {
	return members.Digest{
		Host: "host-a", Zone: "zone-b", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.2:81",
		Incarnation: 1<<63 + 3, Sequence: 4, Ready: true, Stopping: true,
		LedgerToken: 5, LedgerAge: 6 * time.Second,
		InFlight:  []members.UpstreamLoad{{Upstream: 1<<31 + 7, Requests: 8, Tokens: 9}},
		Suspects:  []uint32{10, 1<<32 - 11},
		Crashes:   []members.Crash{{Request: 1<<63 + 12, Upstream: 13, Age: 14 * time.Millisecond}},
		Cleared:   []members.Cleared{{Request: 15, Age: 16 * time.Microsecond}},
		QuotaUsed: map[string]float64{"customer-q": 17.5},
		Usage:     []members.WindowCounts{{Window: 18, Counts: map[string]int64{"customer-u": 19}}},
		Demand:    map[string]members.Demand{"service-d": {Requests: 20, Tokens: 21}},
		VersionStats: []members.VersionStats{{
			Service: "service-v", Version: "v1", Route: "route-r", Responses: 22, Failures: 23,
			LatencySum: 24 * time.Second, LatencySquares: 25.25,
		}},
		TargetStats:   []members.UpstreamStats{{Upstream: 26, Responses: 27, Failures: 28}},
		VersionShares: []members.VersionShare{{Service: "service-s", Version: "v2", Share: 0.29}},
		ViewAge:       30 * time.Millisecond,
		Detail:        members.Full,
	}
}

// TestFormerBuildReadsExtendedDigest checks that the parts that were added later
// follow the bytes of a former build, which stops reading before them.
func TestFormerBuildReadsExtendedDigest(t *testing.T) {
	former, err := os.ReadFile(filepath.Join("testdata", "compat", "full.msgpack"))
	require.NoError(t, err)
	want := fullDigest()
	want.Extension.Leaving = []advisory.Instance{1<<63 + 31, 32}
	want.Extension.TakesForwarded, want.Extension.Isolated = true, true
	data, err := members.Encode(&want)
	require.NoError(t, err)
	require.Equal(t, former, data[:len(former)])
	got, err := members.Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	var first members.Digest
	require.NoError(t, msgpack.Unmarshal(data, &first), "what a former build does")
	require.Equal(t, fullDigest(), first)
	_, err = members.Decode(data[:len(data)-1])
	require.ErrorIs(t, err, members.ErrDigest)
}

// epochDigest is what testdata/compat/epochs.msgpack holds, of a build with epochs of the log.
func epochDigest() members.Digest {
	d := fullDigest()
	d.VersionStats[0].Pace = members.Timing{Count: 33, Sum: 34 * time.Second, Squares: 35.5}
	d.Extension = members.Extension{
		Leaving: []advisory.Instance{1<<63 + 31, 32}, Tree: true, Strength: 0.4, Uptime: 36 * time.Second,
		ProvenEpoch: 37, ProvenVersion: 38, TakesForwarded: true, Isolated: true,
	}
	return d
}

// TestReadsDigestsWithEpochs checks that the present build reads and writes the digests and
// summaries of a build with epochs of the log as that one does.
func TestReadsDigestsWithEpochs(t *testing.T) {
	want := epochDigest()
	data, err := os.ReadFile(filepath.Join("testdata", "compat", "epochs.msgpack"))
	require.NoError(t, err)
	got, err := members.Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	again, err := members.Encode(&got)
	require.NoError(t, err)
	require.Equal(t, data, again)

	data, err = os.ReadFile(filepath.Join("testdata", "compat", "epochs-summary.msgpack"))
	require.NoError(t, err)
	summary, err := members.DecodeSummary(data)
	require.NoError(t, err)
	heartbeat := want.Trim(members.Heartbeat)
	require.Len(t, summary.Hosts, 1)
	require.Equal(t, heartbeat.Extension, summary.Hosts[0].Extension)
	again, err = members.EncodeSummary(summary)
	require.NoError(t, err)
	require.Equal(t, data, again)
}

// TestBuildWithEpochsPassesOverLaterFields checks that what was added to digests since leaves the
// bytes of all that the former build reads as they were.
func TestBuildWithEpochsPassesOverLaterFields(t *testing.T) {
	former, err := os.ReadFile(filepath.Join("testdata", "compat", "epochs.msgpack"))
	require.NoError(t, err)
	d := epochDigest()
	d.Extension.RolloutShares = []members.VersionShare{{Service: "service-s", Version: "v2", Share: 0.25}}
	data, err := members.Encode(&d)
	require.NoError(t, err)
	var got, want members.Digest
	read := func(data []byte, d *members.Digest) map[string]any {
		decoder := msgpack.NewDecoder(bytes.NewReader(data))
		require.NoError(t, decoder.Decode(d))
		extension, err := decoder.DecodeMap()
		require.NoError(t, err)
		return extension
	}
	extension, formerExtension := read(data, &got), read(former, &want)
	require.Equal(t, want, got)
	require.Contains(t, extension, "rollouts")
	delete(extension, "rollouts")
	require.Equal(t, formerExtension, extension)
}

func TestReadsFormerData(t *testing.T) {
	full := fullDigest()
	// Values of zero of the flags, and a load that tells nothing.
	idle := members.Digest{Host: "idle", ViewAge: -time.Second, Detail: members.Full}
	for name, want := range map[string]*members.Digest{
		"heartbeat": full.Trim(members.Heartbeat),
		"load":      full.Trim(members.Load),
		"full":      full.Trim(members.Full),
		"idle":      &idle,
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", "compat", name+".msgpack"))
			require.NoError(t, err)
			got, err := members.Decode(data)
			require.NoError(t, err)
			require.Equal(t, *want, got)
			again, err := members.Encode(&got)
			require.NoError(t, err)
			require.Equal(t, data, again)
		})
	}
	require.Equal(t, []members.Detail{0, 1, 2}, []members.Detail{members.Heartbeat, members.Load, members.Full})
}
