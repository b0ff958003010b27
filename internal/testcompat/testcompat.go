// Package testcompat checks that the records of a stream are read and written as
// by an earlier build.
package testcompat

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// Start is the time of the record at offset 0; the times of later records are one
// second apart.
var Start = time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)

// Read returns the content of a file in testdata/compat.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/compat/" + name)
	require.NoError(t, err)
	return data
}

// record returns the record at an offset.
func record(offset int, data []byte) logsvc.Record {
	return logsvc.Record{Offset: int64(offset), Time: Start.Add(time.Duration(offset) * time.Second), Data: data}
}

// Fold checks that the lines of testdata/compat/records.jsonl decode to the
// entries and encode to the same bytes, and that checkpoint.json is the checkpoint
// after them. It returns the state restored from the checkpoint.
func Fold[S, E any](t testing.TB, apply logfold.Apply[S], entries []E) *S {
	t.Helper()
	lines := bytes.Split(bytes.TrimSuffix(Read(t, "records.jsonl"), []byte("\n")), []byte("\n"))
	require.Len(t, lines, len(entries))
	fold := logfold.New(apply)
	for i, line := range lines {
		var decoded struct{ Entry E }
		require.NoError(t, json.Unmarshal(line, &decoded))
		require.Equal(t, entries[i], decoded.Entry)
		encoded, err := logfold.EncodeEntry(decoded.Entry)
		require.NoError(t, err)
		require.Equal(t, string(line), string(encoded))
		fold.ApplyRecord(record(i, line))
	}
	stored := Read(t, "checkpoint.json")
	checkpoint, err := fold.Checkpoint()
	require.NoError(t, err)
	require.Equal(t, string(stored), string(checkpoint))

	restored := logfold.New(apply)
	restored.Truncate(int64(len(lines)))
	require.False(t, restored.Complete())
	restored.ApplyRecord(record(len(lines), stored))
	require.True(t, restored.Complete(), "the checkpoint is not read")
	want, err := json.Marshal(fold.State())
	require.NoError(t, err)
	got, err := json.Marshal(restored.State())
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	return restored.State()
}
