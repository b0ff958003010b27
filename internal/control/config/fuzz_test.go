package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control/config"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

// FuzzRecord appends an arbitrary record after a valid document and checks that
// the active document stays valid, and that a reader that starts at that record
// does not panic.
func FuzzRecord(f *testing.F) {
	text, err := deploy.Config("chomkaew")
	require.NoError(f, err)
	first, err := logfold.EncodeEntry(config.Put{ID: "first", Base: config.NoBase, Document: string(text)})
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := logfold.New(config.Apply)
		fold.ApplyRecord(logsvc.Record{Offset: 0, Data: first})
		fold.ApplyRecord(logsvc.Record{Offset: 1, Data: data})
		_, err := document.Parse([]byte(fold.State().Put.Document))
		require.NoError(t, err)

		late := logfold.New(config.Apply)
		late.Truncate(1)
		late.ApplyRecord(logsvc.Record{Offset: 1, Data: data})
		late.ApplyRecord(logsvc.Record{Offset: 2, Data: first})
	})
}
