// Package wire checks messages of other hosts, and records that other writers may have
// changed, before they are decoded.
package wire

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxNesting bounds how deeply arrays and maps of a message may be nested;
// messages of gateways have fewer than ten levels.
const MaxNesting = 32

// ErrNestingTooDeep is the error for a message that exceeds MaxNesting.
var ErrNestingTooDeep = eris.New("message is nested too deeply")

// Check reports whether the arrays, maps and texts of a message in msgpack are as long as
// they state, and not nested too deeply. The msgpack package allocates memory for as many
// values as an array states, and skips fields that a type lacks by recursion.
func Check(data []byte) error {
	d := msgpack.NewDecoder(bytes.NewReader(data))
	// remaining holds the number of values left in each enclosing array or map.
	var remaining []int
	for {
		code, err := d.PeekCode()
		if errors.Is(err, io.EOF) && len(remaining) == 0 {
			return nil
		}
		size := 0
		if err == nil {
			size, err = nextValue(d, code)
		}
		switch {
		case err != nil:
			return eris.Wrap(err, "walk through a message")
		case len(remaining) == MaxNesting && size > 0:
			return ErrNestingTooDeep
		}
		if len(remaining) > 0 {
			remaining[len(remaining)-1]--
		}
		if size > 0 {
			remaining = append(remaining, size)
		}
		for len(remaining) > 0 && remaining[len(remaining)-1] == 0 {
			remaining = remaining[:len(remaining)-1]
		}
	}
}

// nextValue skips a value that is neither an array nor a map, as its code says. For an
// array or map it skips the header only and returns the number of values in it.
func nextValue(d *msgpack.Decoder, code byte) (int, error) {
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		entries, err := d.DecodeMapLen()
		return 2 * entries, err
	}
	return 0, d.Skip()
}
