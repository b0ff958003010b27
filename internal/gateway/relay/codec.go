package relay

import (
	"bytes"
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting bounds how deeply arrays and maps of a message may be nested;
// messages of gateways have fewer than ten levels.
const maxNesting = 32

// ErrNestingTooDeep is the error for a message that exceeds maxNesting.
var ErrNestingTooDeep = eris.New("message is nested too deeply")

// codec encodes messages as msgpack.
type codec struct{}

func (codec) Name() string { return "msgpack" }

func (codec) Marshal(message any) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal decodes a message. The msgpack package skips fields that the message
// type lacks by recursion, so the nesting is checked first.
func (codec) Unmarshal(data []byte, message any) error {
	if err := checkNesting(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}

// checkNesting walks through the values of a message without recursion.
func checkNesting(data []byte) error {
	d := msgpack.NewDecoder(bytes.NewReader(data))
	// remaining holds the number of values left in each enclosing array or map.
	var remaining []int
	for {
		size, err := nextValue(d)
		switch {
		case errors.Is(err, io.EOF) && len(remaining) == 0:
			return nil
		case err != nil:
			return eris.Wrap(err, "walk through a message")
		case len(remaining) == maxNesting && size > 0:
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

// nextValue skips a value that is neither an array nor a map. For an array or map
// it skips the header only and returns the number of values in it.
func nextValue(d *msgpack.Decoder) (int, error) {
	code, err := d.PeekCode()
	if err != nil {
		return 0, err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		return d.DecodeArrayLen()
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		entries, err := d.DecodeMapLen()
		return 2 * entries, err
	}
	return 0, d.Skip()
}
