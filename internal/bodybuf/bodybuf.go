// Package bodybuf reads the bodies of requests and responses into memory that has a bound over
// all of them, and divides it so that one upstream does not take that of others.
package bodybuf

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

const (
	// reservedBytes is the part of the memory that only upstreams with at most
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

// Errors of bodies that are not read whole.
var (
	ErrTooLong  = errors.New("body is too long")
	ErrNoMemory = errors.New("bodies of other requests take all memory")
)

// Memory is the memory that the bodies at one host may take. The responses of one
// upstream may take as much as is left free, so that none takes all, and the requests leave
// a reserve for responses: a request can still be refused, but what responds has run.
type Memory struct {
	mu   sync.Mutex
	free int
	// byUpstream holds the memory of the responses of each upstream, by ID.
	byUpstream map[string]int
}

// NewMemory returns a Memory of the given number of bytes.
func NewMemory(bytes int) *Memory { return &Memory{free: bytes, byUpstream: map[string]int{}} }

// Buffers returns buffers for a response of an upstream, or for the body of a request if
// upstream is empty.
func (m *Memory) Buffers(upstream string) *Buffers { return &Buffers{memory: m, upstream: upstream} }

// take takes n bytes for a response of an upstream, or for the body of a request if
// upstream is empty. It reports whether there was room for them.
func (m *Memory) take(upstream string, n int) bool {
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
	// used is what the upstream then has.
	used := m.byUpstream[upstream] + n
	fits := used <= free-reservedBytes || used <= reservedShareBytes && free >= 0
	if !fits {
		return false
	}
	m.free, m.byUpstream[upstream] = free, used
	return true
}

// give gives back what was taken for upstream.
func (m *Memory) give(upstream string, n int) {
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

// Buffers holds the body of a request, or of its response by one upstream. Their
// memory counts as taken until Release.
type Buffers struct {
	memory *Memory
	// upstream is the ID of the upstream that sends the response, empty for a request.
	upstream string
	taken    int
}

// pieces holds pieces that are not in use: a body that does not end leaves no
// garbage, of which the collector would let as much gather as is in use.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// ReadAll reads a body to its end. It returns ErrTooLong if the body has more than
// limit bytes, and ErrNoMemory if there is no memory for it.
func (b *Buffers) ReadAll(body io.Reader, limit int) ([]byte, error) {
	if err := b.Take(firstBufferBytes); err != nil {
		return nil, err
	}
	first := make([]byte, firstBufferBytes)
	n, err := fill(first, body)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return nil, err
	case n > limit:
		return nil, ErrTooLong
	case err == nil:
		return b.readPieces(first, body, limit)
	}
	return first[:n], nil
}

// readPieces reads the rest of a body and returns the whole body.
func (b *Buffers) readPieces(first []byte, body io.Reader, limit int) ([]byte, error) {
	var used []*[pieceBytes]byte
	defer func() {
		for _, piece := range used {
			pieces.Put(piece)
		}
		b.give(len(used) * pieceBytes)
	}()
	parts := [][]byte{first}
	for size := len(first); ; {
		if err := b.Take(pieceBytes); err != nil {
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
			return nil, ErrTooLong
		case err != nil:
			if err := b.Take(size); err != nil {
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

// Take takes n more bytes. It returns ErrNoMemory if there is no room for them.
func (b *Buffers) Take(n int) error {
	if !b.memory.take(b.upstream, n) {
		return ErrNoMemory
	}
	b.taken += n
	return nil
}

func (b *Buffers) give(n int) {
	b.memory.give(b.upstream, n)
	b.taken -= n
}

// Release gives the memory back. The bodies must not be used any more.
func (b *Buffers) Release() {
	b.give(b.taken)
}
