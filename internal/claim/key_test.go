package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// TestUndatedKeyStaysClaimed checks that the first claim of a key without a
// creation time is retained for a day while other records are appended.
func TestUndatedKeyStaysClaimed(t *testing.T) {
	fold := logfold.New(Apply)
	start := time.Unix(1_800_000_000, 0)
	acquire := func(offset int64, after time.Duration, key, host string) {
		batch := Batch{Ops: []Op{{Acquire: &AcquireOp{Key: key, Holder: Holder{Host: host, Incarnation: host, Number: 1}}}}}
		data, err := logfold.EncodeEntry(batch)
		require.NoError(t, err)
		fold.ApplyRecord(logsvc.Record{Offset: offset, Time: start.Add(after), Data: data})
	}
	acquire(0, 0, "tasting of Ana", "entry-0")
	acquire(1, entryRetention+time.Hour, "another", "entry-1")
	acquire(2, undatedRetention-time.Minute, "tasting of Ana", "entry-1")
	require.Equal(t, "entry-0", fold.State().Entries["tasting of Ana"].Holder.Host)
}
