package connlimit

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
)

// A request over HTTP/2 was taken for a slow head if the beginning of its connection came in parts.
func TestRequestBehindABeginningInPartsDoesNotYield(t *testing.T) {
	arrived, finish := make(chan struct{}), make(chan struct{})
	s := serve(t, NewGate(1, 1<<20), 1, func(_ http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 2 {
			close(arrived)
			<-finish
		}
	})
	conn := s.dial()
	conn.send(http2.ClientPreface[:5])
	s.awaitOpen(1, 0)
	conn.send(http2.ClientPreface[5:])
	framer := http2.NewFramer(conn, conn.reader)
	require.NoError(t, framer.WriteSettings())
	// GET, http, / and the authority a, from the static table of HPACK.
	head := []byte{0x82, 0x86, 0x84, 0x01, 0x01, 'a'}
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: head, EndStream: true, EndHeaders: true}))
	<-arrived
	s.dial().send(request)
	time.Sleep(2 * slowHeadAfter)
	close(finish)
	for {
		frame, err := framer.ReadFrame()
		require.NoError(t, err)
		if response, ok := frame.(*http2.HeadersFrame); ok {
			require.EqualValues(t, 1, response.StreamID)
			return
		}
	}
}
