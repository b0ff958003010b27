package forward

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"
)

// Bounds of what is read of one response, and of the memory that all bodies take.
const (
	// maxResponseBytes bounds a buffered response body.
	maxResponseBytes = 8 << 20
	// maxStrayBytes bounds the body of a response to another attempt, which is
	// read to find the one behind it, and maxRejectionBytes that of a rejection,
	// which is read to reuse the connection.
	maxStrayBytes     = 1 << 20
	maxRejectionBytes = 16 << 10
	// maxBufferedBytes bounds the bodies of all requests and responses that a
	// host holds: hosts have a few hundred MB, and the collector may keep as much
	// again.
	maxBufferedBytes = 48 << 20
	// firstBufferBytes is the size of the first buffer of a body, whatever length
	// its head states: the sender may never send it.
	firstBufferBytes = 4 << 10
	// pieceBytes is the size of the pieces in which the rest of a longer body is
	// read.
	pieceBytes = 64 << 10
)

var (
	errTooLong  = errors.New("body is too long")
	errNoMemory = errors.New("bodies of other requests take all memory")
)

// newBufferMemory returns the memory that the bodies at one host may take.
func newBufferMemory() *semaphore.Weighted { return semaphore.NewWeighted(maxBufferedBytes) }

// bodyBuffers holds the bodies of one request. Their memory counts as taken until
// release.
type bodyBuffers struct {
	memory *semaphore.Weighted
	taken  int64
}

// pieces holds pieces that are not in use: a body that does not end leaves no
// garbage, of which the collector would let as much gather as is in use.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// readAll reads a body to its end. It returns errTooLong if the body has more than
// limit bytes, and errNoMemory if there is no memory for it.
func (b *bodyBuffers) readAll(body io.Reader, limit int) ([]byte, error) {
	if err := b.take(firstBufferBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstBufferBytes)
	n, err := fill(first, body)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, err
	case n > limit:
		return nil, errTooLong
	case err == nil:
		return b.readPieces(first, body, limit)
	}
	return first[:n], nil
}

// readPieces reads the rest of a body and returns the whole body.
func (b *bodyBuffers) readPieces(first []byte, body io.Reader, limit int) ([]byte, error) {
	var used []*[pieceBytes]byte
	defer func() {
		for _, piece := range used {
			pieces.Put(piece)
		}
		b.give(len(used) * pieceBytes)
	}()
	parts := [][]byte{first}
	for size := len(first); ; {
		if err := b.take(pieceBytes); err != nil {
			return nil, err
		}
		piece := pieces.Get().(*[pieceBytes]byte)
		used = append(used, piece)
		n, err := fill(piece[:], body)
		parts = append(parts, piece[:n])
		size += n
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		case size > limit:
			return nil, errTooLong
		case err != nil:
			if err := b.take(size); err != nil {
				return nil, err
			}
			return bytes.Join(parts, nil), nil
		}
	}
}

// fill reads until buf is full or the body fails. The error is the body's own: as
// io.ReadFull reports it, a body that has ended looks like one that was cut off.
func fill(buf []byte, body io.Reader) (n int, err error) {
	for n < len(buf) && err == nil {
		var read int
		read, err = body.Read(buf[n:])
		n += read
	}
	return n, err
}

func (b *bodyBuffers) take(n int) error {
	if !b.memory.TryAcquire(int64(n)) {
		return errNoMemory
	}
	b.taken += int64(n)
	return nil
}

func (b *bodyBuffers) give(n int) {
	b.memory.Release(int64(n))
	b.taken -= int64(n)
}

// release gives the memory back. The bodies must not be used any more.
func (b *bodyBuffers) release() {
	b.give(int(b.taken))
}
