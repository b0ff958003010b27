package relay

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// codec encodes messages as msgpack.
type codec struct{}

func (codec) Name() string { return "msgpack" }

func (codec) Marshal(message any) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal checks and decodes a message.
func (codec) Unmarshal(data []byte, message any) error {
	if err := wire.Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}
