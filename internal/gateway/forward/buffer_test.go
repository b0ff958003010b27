package forward

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// TestBodiesAreReadWhole reads bodies of lengths around the sizes of buffers, in
// pieces of the sender's choice.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, n := range []int{
		0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1,
		firstBufferBytes + pieceBytes, firstBufferBytes + 3*pieceBytes + 7,
	} {
		body := bytes.Repeat([]byte("0123456789abc"), n/13+1)[:n]
		for _, reader := range []io.Reader{bytes.NewReader(body), iotest.HalfReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
			b := bodyBuffers{memory: newBufferMemory(), upstream: "w"}
			got, err := b.readAll(reader, max(n, 1))
			require.NoError(t, err)
			require.Equal(t, string(body), string(got))
			require.LessOrEqual(t, n, b.taken)
			b.release()
			require.Equal(t, newBufferMemory(), b.memory, "all memory is given back")
		}
		if n > 0 {
			b := bodyBuffers{memory: newBufferMemory()}
			_, err := b.readAll(bytes.NewReader(body), n-1)
			require.ErrorIs(t, err, errTooLong)
		}
	}
}

// TestBodyThatIsCutOffIsNotWhole checks that a body that was cut off, at whatever
// byte, is not taken for one that has ended.
func TestBodyThatIsCutOffIsNotWhole(t *testing.T) {
	for _, n := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, firstBufferBytes + pieceBytes, firstBufferBytes + pieceBytes + 1} {
		cut := io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(io.ErrUnexpectedEOF))
		b := bodyBuffers{memory: newBufferMemory()}
		_, err := b.readAll(cut, maxResponseBytes)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes", n)
	}
}

// TestBodyWithoutEndLeavesLittleGarbage checks that bodies that do not end take the
// same memory again: of what they leave behind, the collector lets as much gather as
// is in use.
func TestBodyWithoutEndLeavesLittleGarbage(t *testing.T) {
	const count = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range count {
		b := bodyBuffers{memory: newBufferMemory()}
		_, err := b.readAll(endlessBody{}, maxResponseBytes)
		require.ErrorIs(t, err, errTooLong)
		b.release()
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(count*maxResponseBytes/2))
}

type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) { return len(b), nil }

// Load pattern: upstreams whose responses do not end take all memory that they get, one
// after the other, while short responses of another one come.
func TestUpstreamsThatTakeMemoryLeaveRoomForOthers(t *testing.T) {
	for _, endless := range []int{1, 2, 10, 100} {
		memory := newBufferMemory()
		for i := range endless {
			b := bodyBuffers{memory: memory, upstream: fmt.Sprint("endless-", i)}
			for n := pieceBytes; n > 0; {
				if b.take(n) != nil {
					n /= 2
				}
			}
		}
		sound := bodyBuffers{memory: memory, upstream: "sound"}
		require.NoError(t, sound.take(reservedShareBytes), "%d endless", endless)
		if endless == 1 {
			require.NoError(t, sound.take(maxResponseBytes), "a long response")
		}
	}
}

// Load pattern: callers send as many bodies as are accepted, while responses are due.
func TestBodiesOfRequestsLeaveRoomForResponses(t *testing.T) {
	memory := newBufferMemory()
	requests := bodyBuffers{memory: memory}
	for requests.take(pieceBytes) == nil {
	}
	for i := range reservedBytes / reservedShareBytes {
		response := bodyBuffers{memory: memory, upstream: fmt.Sprint("w-", i)}
		require.NoError(t, response.take(reservedShareBytes))
	}
}
