package bodybuf

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

const longestBody = 8 << 20

func newMemory() *Memory { return NewMemory(48 << 20) }

// TestBodiesAreReadWhole reads bodies of lengths around the sizes of buffers, in
// pieces of the sender's choice.
func TestBodiesAreReadWhole(t *testing.T) {
	for _, n := range []int{
		0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1,
		firstBufferBytes + pieceBytes, firstBufferBytes + 3*pieceBytes + 7,
	} {
		body := bytes.Repeat([]byte("0123456789abc"), n/13+1)[:n]
		for _, reader := range []io.Reader{bytes.NewReader(body), iotest.HalfReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
			b := newMemory().Buffers("w")
			got, err := b.ReadAll(reader, max(n, 1))
			require.NoError(t, err)
			require.Equal(t, string(body), string(got))
			require.LessOrEqual(t, n, b.taken)
			b.Release()
			require.Equal(t, newMemory(), b.memory, "all memory is given back")
		}
		if n > 0 {
			b := newMemory().Buffers("")
			_, err := b.ReadAll(bytes.NewReader(body), n-1)
			require.ErrorIs(t, err, ErrTooLong)
		}
	}
}

// TestBodyThatIsCutOffIsNotWhole checks that a body that was cut off, at whatever
// byte, is not taken for one that has ended.
func TestBodyThatIsCutOffIsNotWhole(t *testing.T) {
	for _, n := range []int{0, 1, firstBufferBytes, firstBufferBytes + 1, firstBufferBytes + pieceBytes, firstBufferBytes + pieceBytes + 1} {
		cut := io.MultiReader(strings.NewReader(strings.Repeat("x", n)), iotest.ErrReader(io.ErrUnexpectedEOF))
		b := newMemory().Buffers("")
		_, err := b.ReadAll(cut, longestBody)
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
		b := newMemory().Buffers("")
		_, err := b.ReadAll(endlessBody{}, longestBody)
		require.ErrorIs(t, err, ErrTooLong)
		b.Release()
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(count*longestBody/2))
}

type endlessBody struct{}

func (endlessBody) Read(b []byte) (int, error) { return len(b), nil }

// Load pattern: upstreams whose responses do not end take all memory that they get, one
// after the other, while short responses of another one come.
func TestUpstreamsThatTakeMemoryLeaveRoomForOthers(t *testing.T) {
	for _, endless := range []int{1, 2, 10, 100} {
		memory := newMemory()
		for i := range endless {
			b := memory.Buffers(fmt.Sprint("endless-", i))
			for n := pieceBytes; n > 0; {
				if b.Take(n) != nil {
					n /= 2
				}
			}
		}
		sound := memory.Buffers("sound")
		require.NoError(t, sound.Take(reservedShareBytes), "%d endless", endless)
		if endless == 1 {
			require.NoError(t, sound.Take(longestBody), "a long response")
		}
	}
}

// Load pattern: callers send as many bodies as are accepted, while responses are due.
func TestBodiesOfRequestsLeaveRoomForResponses(t *testing.T) {
	memory := newMemory()
	requests := memory.Buffers("")
	for requests.Take(pieceBytes) == nil {
	}
	for i := range reservedBytes / reservedShareBytes {
		response := memory.Buffers(fmt.Sprint("w-", i))
		require.NoError(t, response.Take(reservedShareBytes))
	}
}
