package document_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/document"
)

func BenchmarkParse(b *testing.B) {
	src, err := deploy.Config("fundacion")
	require.NoError(b, err)
	b.SetBytes(int64(len(src)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := document.Parse(src)
		require.NoError(b, err)
	}
}
