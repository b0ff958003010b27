package wire

import "github.com/vmihailenco/msgpack/v5"

// Codec encodes the messages of RPCs between hosts as msgpack.
type Codec struct{}

// Name implements connect.Codec.
func (Codec) Name() string { return "msgpack" }

// Marshal implements connect.Codec.
func (Codec) Marshal(message any) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal checks and decodes a message.
func (Codec) Unmarshal(data []byte, message any) error {
	if err := Check(data); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, message)
}
