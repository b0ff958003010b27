package settings_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/jsonc"
	"github.com/marigoldmux/marigoldmux/internal/settings"
)

// FuzzParse checks that Parse returns either settings with a host and an address,
// or at least one fault.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := settings.Parse(src)
		if err == nil {
			require.NotEmpty(t, s.Host)
			require.NotEmpty(t, s.Address)
			return
		}
		var faults jsonc.Faults
		require.True(t, errors.As(err, &faults))
		require.NotEmpty(t, faults)
	})
}
