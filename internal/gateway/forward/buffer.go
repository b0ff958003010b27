package forward

import (
	"bytes"
	"errors"
	"io"
	"sync"
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
	// reservedBytes is the part of maxBufferedBytes that only upstreams with at most
	// reservedShareBytes use: short responses find room beside a hundred upstreams whose
	// responses do not end.
	reservedBytes      = 8 << 20
	reservedShareBytes = 64 << 10
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

// bufferMemory is the memory that the bodies at one host may take. The responses of one
// upstream may take as much as is left free, so that none takes all, and the requests leave
// a reserve for responses: a request can still be refused, but what responds has run.
type bufferMemory struct {
	mu   sync.Mutex
	free int
	// byUpstream holds the memory of the responses of each upstream, by ID.
	byUpstream map[string]int
}

func newBufferMemory() *bufferMemory {
	return &bufferMemory{free: maxBufferedBytes, byUpstream: map[string]int{}}
}

// take takes n bytes for a response of an upstream, or for the body of a request if
// upstream is empty. It reports whether there was room for them.
func (m *bufferMemory) take(upstream string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := m.free - n
	if upstream == "" {
		if free < reservedBytes {
			return false
		}
		m.free = free
		return true
	}
	used := m.byUpstream[upstream] + n
	if used > reservedShareBytes && used > free-reservedBytes || free < 0 {
		return false
	}
	m.free, m.byUpstream[upstream] = free, used
	return true
}

// give gives back what was taken for upstream.
func (m *bufferMemory) give(upstream string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
	if upstream == "" {
		return
	}
	m.byUpstream[upstream] -= n
	if m.byUpstream[upstream] == 0 {
		delete(m.byUpstream, upstream)
	}
}

// bodyBuffers holds the body of a request, or of its response by one upstream. Their
// memory counts as taken until release.
type bodyBuffers struct {
	memory *bufferMemory
	// upstream is the ID of the upstream that sends the response, empty for a request.
	upstream string
	taken    int
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
	if !b.memory.take(b.upstream, n) {
		return errNoMemory
	}
	b.taken += n
	return nil
}

func (b *bodyBuffers) give(n int) {
	b.memory.give(b.upstream, n)
	b.taken -= n
}

// release gives the memory back. The bodies must not be used any more.
func (b *bodyBuffers) release() {
	b.give(b.taken)
}
