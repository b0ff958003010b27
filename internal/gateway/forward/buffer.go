package forward

import (
	"errors"
	"io"

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

// readAll reads a body to its end. It returns errTooLong if the body has more than
// limit bytes, and errNoMemory if there is no memory for it.
func (b *bodyBuffers) readAll(body io.Reader, limit int) ([]byte, error) {
	if err := b.take(firstBufferBytes); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, firstBufferBytes)
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case len(buf) > limit:
			return nil, errTooLong
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
		if len(buf) == cap(buf) {
			if err := b.take(cap(buf)); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
	}
}

func (b *bodyBuffers) take(n int) error {
	if !b.memory.TryAcquire(int64(n)) {
		return errNoMemory
	}
	b.taken += int64(n)
	return nil
}

// release gives the memory back. The bodies must not be used any more.
func (b *bodyBuffers) release() {
	b.memory.Release(b.taken)
	b.taken = 0
}
