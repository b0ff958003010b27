package advisory

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
)

// saidAt is when pauses are said, in the time of day.
var saidAt = time.UnixMilli(10_000)

func member(id string, born int64) *catalog.Member {
	return &catalog.Member{Upstream: catalog.Upstream{ID: id, Born: born}}
}

func TestLeavingConcernsOneInstance(t *testing.T) {
	table := NewTable()
	old, fresh := member("u", 1), member("u", 2)
	require.True(t, table.Leave(InstanceOf(old), 0))
	require.False(t, table.Leave(InstanceOf(old), 0), "known")
	require.True(t, table.State(old, time.Hour).Closed(), "there is no end")
	require.False(t, table.State(fresh, 0).Closed(), "another process under the same ID")
	require.False(t, table.State(member("u1", 0), 0).Closed())
}

func TestLeavingOutlastsAnOutageOfTheList(t *testing.T) {
	table := NewTable()
	m := member("u", 1)
	table.Leave(InstanceOf(m), 0)
	table.Retain(nil, retention-1)
	require.True(t, table.State(m, retention-1).Leaving)
	table.Retain(map[Instance]bool{InstanceOf(m): true}, retention)
	table.Retain(nil, 2*retention-1)
	require.True(t, table.State(m, 2*retention-1).Leaving)
	table.Retain(nil, 2*retention)
	require.False(t, table.State(m, 2*retention).Leaving)
}

func TestPeersAreToldOnlyWhatThisHostWasTold(t *testing.T) {
	table := NewTable()
	heard, told := member("heard", 1), member("told", 1)
	table.MergePeer([]Instance{InstanceOf(heard)}, 0)
	require.True(t, table.State(heard, 0).Leaving)
	require.Empty(t, table.Leaving())
	table.Leave(InstanceOf(told), 0)
	require.Equal(t, []Instance{InstanceOf(told)}, table.Leaving())
	require.False(t, table.Leave(InstanceOf(heard), 0), "not new")
	require.Len(t, table.Leaving(), 2)
}

func TestPauseEndsAndIsBounded(t *testing.T) {
	table := NewTable()
	m := member("u", 1)
	table.Pause(m, 2*time.Second, 0, saidAt)
	table.Pause(m, time.Second, time.Second/2, saidAt)
	require.Equal(t, time.Second, table.State(m, time.Second).PausedFor, "a shorter pause does not end a longer one")
	require.False(t, table.State(m, 2*time.Second).Closed())
	require.Equal(t, maxPause, table.Pause(m, math.MaxInt64, 0, saidAt))
	table.Retain(nil, maxPause)
	require.Empty(t, *table.records.Load())
}

// Guards against requests for an upstream that started again under its ID and asked for a pause
// before its new entry was read (the case restart-pause of the second review).
func TestPauseOfAProcessWhoseEntryIsNotReadYetOutlastsThat(t *testing.T) {
	table := NewTable()
	born := saidAt.UnixMilli() - 500
	table.Pause(member("u", 1), 2*time.Second, 0, saidAt)
	require.Equal(t, time.Second, table.State(member("u", born), time.Second).PausedFor)
	require.False(t, table.State(member("u", saidAt.UnixMilli()+500), time.Second).Closed(), "it started behind that")
	require.False(t, table.State(member("other", born), time.Second).Closed())
	table.Retain(nil, 2*time.Second)
	require.Empty(t, *table.pauses.Load())
}
