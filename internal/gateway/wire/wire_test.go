package wire_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// Guards against a message of a few bytes that states an array of billions of values, for
// which the decoder allocates memory until the process ends.
func TestMessageShorterThanItsArraysIsRejected(t *testing.T) {
	for _, message := range [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff}, {0x81, 0xa1, 'x', 0xdd, 0x46, 0x92, 0x60, 0x94, 0x90},
		{0xdf, 0xff, 0xff, 0xff, 0xff, 0xc0}, {0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}, {0xc6, 0x7f, 0xff, 0xff, 0xff}, {0x92, 0xc0},
	} {
		require.Error(t, wire.Check(message), "%x", message)
	}
	sound, err := msgpack.Marshal(map[string]any{"a": []int{1, 2}, "b": map[string]string{"c": "d"}, "e": nil})
	require.NoError(t, err)
	require.NoError(t, wire.Check(sound))
	require.NoError(t, wire.Check(append(sound, sound...)), "several values")
}
