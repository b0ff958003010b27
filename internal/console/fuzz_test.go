package console

import (
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
)

// FuzzDraft edits arbitrary drafts at arbitrary pointers. The result must be JSON
// with comments, or the edit must fail with ErrDraft.
func FuzzDraft(f *testing.F) {
	f.Fuzz(func(t *testing.T, text, pointer, typed string) {
		draft, err := readDraft(url.Values{"base": {"1"}, "draft": {text}})
		if err != nil {
			require.ErrorIs(t, err, ErrDraft)
			return
		}
		if s, err := sectionOf(pointer); err == nil && draft.value(pointer) != nil {
			_ = schema.Build(s.element, pointer, s.title, draft.value(pointer))
			values := url.Values{pointer + "/name": {typed}, pointer + "/routes#": {typed}, pointer + "/share": {typed}}
			if err := draft.replace(pointer, schema.Decode(s.element, pointer, values)); err != nil {
				require.ErrorIs(t, err, ErrDraft)
			}
		}
		if _, err := draft.add("/customers"); err != nil {
			require.ErrorIs(t, err, ErrDraft)
		}
		_, err = jsonc.Parse([]byte(draft.Text))
		require.NoError(t, err)
	})
}
