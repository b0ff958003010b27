package members

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/marigoldmux/marigoldmux/internal/gateway/wire"
)

// MaxDigestBytes bounds the size of a digest on the wire.
const MaxDigestBytes = 32 << 10

// ErrDigest is the root of errors about digests that cannot be encoded or
// decoded.
var ErrDigest = eris.New("digest cannot be understood")

// Encode encodes a digest as a datagram. Its error is an ErrDigest.
func Encode(d *Digest) ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	sent := d.Extension
	sent.Paces = paces(d.VersionStats)
	if sent.empty() {
		return data, nil
	}
	extension, err := msgpack.Marshal(&sent)
	if err != nil {
		return nil, eris.Wrap(ErrDigest, err.Error())
	}
	return append(data, extension...), nil
}

// Decode decodes a datagram. Its error is an ErrDigest.
func Decode(data []byte) (Digest, error) {
	var d Digest
	if len(data) > MaxDigestBytes {
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
