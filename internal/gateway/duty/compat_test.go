package duty_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
	"github.com/marigoldmux/marigoldmux/internal/gateway/duty"
	"github.com/marigoldmux/marigoldmux/internal/gateway/rollout"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
	"github.com/marigoldmux/marigoldmux/internal/gateway/usage"
)

// formerLedger is what testdata/compat/ledger.json holds.
func formerLedger() duty.Ledger {
	return duty.Ledger{
		Holder: "host-a", Incarnation: 1<<63 + 1, RecentHolders: []string{"host-b", "host-a"}, Token: 3, WriteID: 1<<52 - 4,
		Reports: map[int64]duty.Counts{5: {"acme": 6, "umbrella": 7}, 8: {}}, NextWindow: 9,
		OpenCounts: map[int64]map[uint64]duty.Counts{9: {1<<63 + 10: {"acme": 11}, 12: {"acme": 13}}},
		Rollouts: map[string]rollout.Progress{
			"chat":   {Target: "v2", State: rollout.Running, Share: 0.25, Acknowledged: true, StartedAtMillis: 1 << 41},
			"embed":  {Target: "v3", State: rollout.Completed, Share: 1, StartedAtMillis: 15},
			"search": {Target: "v4", State: rollout.RolledBack, StartedAtMillis: 16},
		},
	}
}

// epochLedger is what testdata/compat/epochs.json holds, of a build with epochs of the log.
func epochLedger() duty.Ledger {
	l := formerLedger()
	l.Token, l.ConfigVersion = 2<<32+51, 52
	return l
}

func TestReadsFormerData(t *testing.T) {
	for name, want := range map[string]duty.Ledger{
		"epochs": epochLedger(),
		"ledger": formerLedger(),
		// A ledger without a holder and without what may be left out.
		"released": {Token: 17, WriteID: 18, NextWindow: 19},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile("testdata/compat/" + name + ".json")
			require.NoError(t, err)
			got, err := duty.ParseLedger(data)
			require.NoError(t, err)
			require.Equal(t, want, got)
			again, err := got.Encode()
			require.NoError(t, err)
			require.Equal(t, string(data), string(again))
		})
	}
}

// formerLog is a log with the ledger of a former build, a clock, and the
// snapshots of a host without peers. It keeps what is put.
type formerLog struct {
	t         *testing.T
	former    []byte
	now       time.Duration
	name, key string
	put       duty.Ledger
}

func (l *formerLog) Newest(_ context.Context, name string) ([]topic.Entry, topic.Position, error) {
	require.Equal(l.t, "keyed.duty", name)
	return []topic.Entry{{Key: "ledger", Value: l.former}}, topic.Position{Offset: 1}, nil
}

func (l *formerLog) Put(_ context.Context, name, key string, value []byte, _ topic.Position) (topic.Position, error) {
	var err error
	l.name, l.key = name, key
	l.put, err = duty.ParseLedger(value)
	require.NoError(l.t, err)
	return topic.Position{Offset: 2}, nil
}

func (l *formerLog) Now() time.Duration { return l.now }
func (l *formerLog) Wall() time.Time    { return time.Unix(1_700_000_000, 0).Add(l.now) }
func (l *formerLog) Snapshot() *control.Snapshot {
	return &control.Snapshot{View: &catalog.View{}, SenderCount: 1}
}

// TestGoesOnFromFormerLedger checks that a host finds the ledger where the
// former build put it, and goes on from its values.
func TestGoesOnFromFormerLedger(t *testing.T) {
	data, err := os.ReadFile("testdata/compat/released.json")
	require.NoError(t, err)
	log := &formerLog{t: t, former: data}
	driver := duty.NewDriver(duty.Deps{
		Host: "host-c", Incarnation: 20, Log: log, Snapshots: log, Usage: usage.NewCounter(time.Hour),
		Events: event.Discard(), Lease: time.Second, Clock: log,
	})
	for range 100 {
		log.now += 100 * time.Millisecond
		if driver.Step(t.Context()); log.key != "" {
			break
		}
	}
	require.Equal(t, []string{"keyed.duty", "ledger"}, []string{log.name, log.key})
	require.EqualValues(t, 17+1<<10, log.put.Token)
	require.Equal(t, "host-c", log.put.Holder)
}

// formerClaims is more than the claims that builds without epochs make before this one claims.
const formerClaims = 100

// Guards against a token that a build without epochs, which claims with the previous one plus 1,
// gives out again behind a copy that lacks this build's claim.
func TestFormerBuildsGiveOutNoTokenOfALostClaim(t *testing.T) {
	copied := duty.Ledger{Token: 17}
	for _, at := range []topic.Position{{Offset: 1}, {Epoch: 1, Offset: 1 << 10}} {
		lost := copied.Claim("host-c", 20, 0, at)
		require.Greater(t, lost.Token, copied.Token+formerClaims, "%+v", at)
	}
}
