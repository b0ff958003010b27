package members

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// ErrDigest is the root of errors about digests that cannot be encoded or
// decoded.
var ErrDigest = eris.New("digest cannot be understood")

// ErrTooLong is the error for digests and summaries of more than MaxMessageBytes. It is an
// ErrDigest.
var ErrTooLong = eris.Wrap(ErrDigest, "too long")

// Encode encodes a digest as a message. Its error is an ErrDigest.
func Encode(d *Digest) ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	sent := d.Extension
	sent.Paces = paces(d.VersionStats)
	if sent.empty() {
		return checkLength(data)
	}
	extension, err := msgpack.Marshal(&sent)
	if err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	return checkLength(append(data, extension...))
}

func checkLength(message []byte) ([]byte, error) {
	if len(message) > MaxMessageBytes {
		return nil, eris.Wrapf(ErrTooLong, "%d bytes", len(message))
	}
	return message, nil
}

// Decode decodes a message. Its error is an ErrDigest.
func Decode(data []byte) (Digest, error) {
	var d Digest
	if len(data) > MaxMessageBytes {
		return d, eris.Wrapf(ErrDigest, "%d bytes", len(data))
	}
	if err := wire.Check(data); err != nil {
		return d, eris.Wrap(ErrDigest, err.Error())
	}
	reader := bytes.NewReader(data)
	decoder := msgpack.NewDecoder(reader)
	if err := decoder.Decode(&d); err != nil {
		return Digest{}, eris.Wrap(ErrDigest, err.Error())
	}
	if reader.Len() == 0 {
		return d, nil
	}
	if err := decoder.Decode(&d.Extension); err != nil {
		return Digest{}, eris.Wrap(ErrDigest, err.Error())
	}
	setPaces(d.VersionStats, d.Extension.Paces)
	d.Extension.Paces = nil
	return d, nil
}
