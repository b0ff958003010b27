// Package testcompat checks that the records of a stream that a former build
// wrote are read and written as before.
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

// Start is the time of the record at offset 0; each next one is a second later.
var Start = time.Date(2026, 5, 4, 0, 0, 0, 0, time.UTC)

// Read returns a file of testdata/compat.
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

// Fold checks the lines of testdata/compat/records.jsonl, which must be the
// records of the entries, and checkpoint.json, which must be the checkpoint
// after them. It returns the state that a reader of the checkpoint gets.
func Fold[S, E any](t testing.TB, apply logfold.Apply[S], entries []E) *S {
	t.Helper()
	lines := bytes.Split(bytes.TrimSuffix(Read(t, "records.jsonl"), []byte("\n")), []byte("\n"))
	require.Len(t, lines, len(entries))
	fold := logfold.New(apply)
	for i, line := range lines {
		var former struct{ Entry E }
		require.NoError(t, json.Unmarshal(line, &former))
		require.Equal(t, entries[i], former.Entry)
		again, err := logfold.EncodeEntry(former.Entry)
		require.NoError(t, err)
		require.Equal(t, string(line), string(again))
		fold.ApplyRecord(record(i, line))
	}
	former := Read(t, "checkpoint.json")
	checkpoint, err := fold.Checkpoint()
	require.NoError(t, err)
	require.Equal(t, string(former), string(checkpoint))

	late := logfold.New(apply)
	late.Truncate(int64(len(lines)))
	require.False(t, late.Complete())
	late.ApplyRecord(record(len(lines), former))
	require.True(t, late.Complete(), "the checkpoint is not read")
	want, err := json.Marshal(fold.State())
	require.NoError(t, err)
	got, err := json.Marshal(late.State())
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
	return late.State()
}
