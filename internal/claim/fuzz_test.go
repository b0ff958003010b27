package claim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// FuzzRecord folds two arbitrary records after a claim, and checks that the claim
// keeps its holder and that the state can be encoded.
func FuzzRecord(f *testing.F) {
	const key = "1800000000.tasting"
	at := time.Unix(1_800_000_000, 0)
	holder := Holder{Host: "entry-0", Incarnation: "a", Number: 1}
	first, err := logfold.EncodeEntry(Batch{Ops: []Op{{Acquire: &AcquireOp{Key: key, Holder: holder}}}})
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, one, two []byte) {
		fold := logfold.New(Apply)
		for i, data := range [][]byte{first, one, two} {
			fold.ApplyRecord(logsvc.Record{Offset: int64(i), Time: at, Data: data})
		}
		if entry, ok := fold.State().Entries[key]; ok {
			require.Equal(t, holder, entry.Holder)
		}
		_, err := json.Marshal(fold.State())
		require.NoError(t, err)
	})
}
