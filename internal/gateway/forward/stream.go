package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// eventBufferBytes is the size of the buffer for reading events; longer lines
// are read in parts.
const eventBufferBytes = 2048

// firstEventBytes is the size of the first buffer for complete events.
const firstEventBytes = 512

// maxEventBytes bounds an event, so that streams without line ends cannot take all
// memory.
const maxEventBytes = 128 << 10

// Bounds of a whole stream: what the request allows if it states its output tokens, else
// a fixed length.
const (
	maxStreamBytes      = 64 << 20
	streamOverheadBytes = 1 << 20
	maxBytesPerToken    = 4 << 10
)

var (
	errEventTooLong  = errors.New("event is too long")
	errStreamTooLong = errors.New("stream is longer than its request allows")
)

// streamLimit returns the longest stream that may answer a request.
func streamLimit(call *exchange.Call) int {
	if call.Prompt == nil || call.Prompt.MaxOutputTokens <= 0 {
		return maxStreamBytes
	}
	return min(maxStreamBytes, streamOverheadBytes+min(call.Prompt.MaxOutputTokens, maxStreamBytes)*maxBytesPerToken)
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// flushBytes is the size from which complete events are sent to the caller even if
// more of them can be read without waiting.
const flushBytes = 16 << 10

// maxPendingBytes bounds the events of one stream that are held.
const maxPendingBytes = flushBytes + maxEventBytes

// streamRelay copies the event stream of an upstream to the caller.
type streamRelay struct {
	*attempt
	resp    *http.Response
	reader  *bufio.Reader
	buffers *bodybuf.Buffers
	// pending holds complete events that were not sent to the caller yet, and while one is
	// read also the beginning of the next.
	pending []byte
	// left is the number of bytes that the stream may still have.
	left         int
	extraLatency time.Duration
	latency      time.Duration
}

// relayStream sends the events of a stream to the caller, each when it is
// complete. It reports whether the connection can be reused.
func (a *attempt) relayStream(resp *http.Response) (bool, outcome) {
	r := &streamRelay{
		attempt: a, resp: resp, reader: bufio.NewReaderSize(resp.Body, eventBufferBytes),
		buffers: a.newBuffers(a.member.ID), left: streamLimit(a.call),
	}
	for {
		readErr := r.readNext()
		if readErr == nil && len(r.pending) < flushBytes && holdsEvent(r.reader) {
			continue
		}
		if err := r.flush(); err != nil {
			return false, outcome{disposition: callerGone, reason: err.Error()}
		}
		switch {
		case errors.Is(readErr, io.EOF) && r.endsWhole(r.resp):
			return r.finish()
		case errors.Is(readErr, io.EOF):
			return false, r.streamErrorOutcome(errEndUnproven)
		case readErr != nil:
			return false, r.streamErrorOutcome(readErr)
		}
	}
}

// readNext reads one event. A stream that ends inside an event, which is dropped, or
// before its first event has broken off, also with a regular end of its body.
func (r *streamRelay) readNext() error {
	start := len(r.pending)
	err := r.readEvent()
	event := r.pending[start:]
	// Until it is complete, the event is not to be sent.
	r.pending = r.pending[:start]
	if errors.Is(err, io.EOF) && (r.endsInside(event) || r.lacksFirstEvent()) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && r.holdsStray(r.resp, event) {
		return errStrayInBody
	}
	if err == nil || errors.Is(err, io.EOF) && len(event) > 0 {
		if r.latency == 0 {
			r.extraLatency = r.attempt.extraLatency()
			r.latency = boottime.Now() - r.sentAt
			if r.lastEventID == "" && r.call.LastEventID == "" {
				r.h.InFlight.RecordFirstEvent(r.service, uncachedTokens(r.call), r.latency, boottime.Now())
				r.recordForecastError(r.latency)
			}
		}
		r.recordEvent()
		r.recordEventID(event)
		r.pending = r.pending[:start+len(event)]
	}
	return err
}

// endsInside reports whether a body ended inside an event, given what stands behind its last
// empty line. Complete comment lines are no part of an event, and neither is a delimited body
// of another media type, such as a document.
func (r *streamRelay) endsInside(part []byte) bool {
	if delimited(r.resp) && !holdsEvents(r.resp.Header) {
		return false
	}
	for line := range bytes.Lines(part) {
		if line[0] != ':' || !bytes.HasSuffix(line, []byte("\n")) {
			return true
		}
	}
	return false
}

// lacksFirstEvent reports whether a body that has ended without an event has broken off. The
// rest of a resumed stream may be empty, if its end is explicit; so may a body that is no
// event stream.
func (r *streamRelay) lacksFirstEvent() bool {
	if r.firstEventAt != 0 {
		return false
	}
	resumed := r.lastEventID != "" || r.call.LastEventID != ""
	mayBeEmpty := resumed || r.resp.StatusCode != http.StatusOK || r.call.Method == http.MethodHead || !holdsEvents(r.resp.Header)
	return !delimited(r.resp) || !mayBeEmpty
}

// holdsEvents reports whether a body is an event stream, by its media type or for lack of
// one.
func holdsEvents(h http.Header) bool {
	kind := mediaType(h)
	return kind == "" || kind == eventStreamType
}

// delimited reports whether a response has an explicit end, so that a closed connection
// is not taken for it.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

var errStrayInBody = errors.New("another response stands in a response without a length")

// statusLine is the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9] `)

// holdsStray reports whether a part of a body without a length holds another response. On
// a connection that is in use again, an upstream may write an earlier response once more;
// only its status line distinguishes it from the body.
func (a *attempt) holdsStray(resp *http.Response, part []byte) bool {
	return !delimited(resp) && a.conn.Reused() && statusLine.Match(part)
}

var errEndUnproven = errors.New("upstream may have broken off its response without a length")

// watchLiveness makes sure that the end of a response without a length can be checked, until
// the function that it returns is called.
func (a *attempt) watchLiveness(resp *http.Response) (release func()) {
	if delimited(resp) {
		return func() {}
	}
	a.liveness = a.h.liveness.Get(a.member.ID, a.member.Address)
	return func() { a.h.liveness.Release(a.liveness) }
}

// endsWhole reports whether a response that was read to its end is whole. The connection
// of an upstream that has crashed or was taken away ends like a body without a length, so
// the upstream must still run some time later, also if it leaves. So does one that was reset
// while the request was written: the kernel reports the reset once, to the write.
func (a *attempt) endsWhole(resp *http.Response) bool {
	if delimited(resp) {
		return true
	}
	if a.writeFailed {
		return false
	}
	ctx, cancel := context.WithTimeout(a.r.Context(), a.deadline-boottime.Now())
	defer cancel()
	stop := context.AfterFunc(a.h.ending, cancel)
	defer stop()
	accepted := a.liveness.Accepted(ctx)
	switch {
	case accepted && a.liveness.Outlives(ctx):
		return true
	case accepted && !a.conn.Steady():
		// Another process may run there by now.
		return false
	}
	return upconn.Outlives(ctx, a.member.Address)
}

// readEvent appends one event to pending, up to and including the empty line that ends it.
func (r *streamRelay) readEvent() error {
	start := len(r.pending)
	lineStart := start
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(r.pending)-start+len(part) > maxEventBytes {
			return errEventTooLong
		}
		if r.left -= len(part); r.left < 0 {
			return errStreamTooLong
		}
		if err := r.reserve(len(part)); err != nil {
			return err
		}
		r.pending = append(r.pending, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return err
		case isEmptyLine(r.pending[lineStart:]):
			return nil
		}
		lineStart = len(r.pending)
	}
}

// reserve makes room for n more bytes in pending. Its memory counts as taken by the
// bodies of the request.
func (r *streamRelay) reserve(n int) error {
	size := cap(r.pending)
	if len(r.pending)+n <= size {
		return nil
	}
	grown := max(min(2*size, maxPendingBytes), len(r.pending)+n, firstEventBytes)
	if err := r.buffers.Take(grown - size); err != nil {
		return err
	}
	r.pending = append(make([]byte, 0, grown), r.pending...)
	return nil
}

// isEmptyLine reports whether a line has nothing before its end.
func isEmptyLine(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// holdsEvent reports whether the rest of an event can be read without waiting for the
// upstream.
func holdsEvent(reader *bufio.Reader) bool {
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return false
	}
	for line := range bytes.Lines(buffered) {
		if isEmptyLine(line) && bytes.HasSuffix(line, []byte("\n")) {
			return true
		}
	}
	return false
}

// recordEvent records the time of an event, and counts the request in the usage
// of its customer at the first.
func (a *attempt) recordEvent() {
	now := boottime.Now()
	if a.firstEvent == 0 {
		a.firstEvent = now - a.call.Arrived
	} else {
		a.longestPause = max(a.longestPause, now-a.lastEventAt)
	}
	a.lastReceivedAt, a.lastEventAt = now, now
	a.inFlight.Received(now)
	a.events++
	a.recordAnswering(now)
	a.countUsage(a.h.Usage.Now())
}

// recordEventID stores the ID of an event, at which another upstream may resume
// the stream, and whether there is one.
func (a *attempt) recordEventID(event []byte) {
	identified, comment := false, true
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			a.lastEventID, identified = string(bytes.TrimSpace(value)), true
		}
		comment = comment && (isEmptyLine(line) || line[0] == ':')
	}
	switch {
	case identified:
		a.behindLastID = false
	case !comment:
		a.behindLastID = true
	}
}

// continuesStream reports whether a response is of the kind of the one that the caller
// already has a part of. An upstream that fails to resume a stream may say so with a
// success and a body that is none of its events.
func (p *proxyRequest) continuesStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && mediaType(resp.Header) == mediaType(p.w.Header())
}

// mediaType returns the media type of a body without its parameters, "" if none is stated.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// flush sends the pending events to the caller.
func (r *streamRelay) flush() error {
	if len(r.pending) == 0 {
		return nil
	}
	r.sendHeader()
	if _, err := r.w.Write(r.pending); err != nil {
		return err
	}
	r.pending = r.pending[:0]
	return http.NewResponseController(r.w).Flush()
}

// sendHeader sends the header of the response, once.
func (r *streamRelay) sendHeader() {
	if r.headerSent {
		return
	}
	r.headerSent = true
	r.h.Codec.CopyResponseHeader(r.w.Header(), r.resp.Header)
	suppressDefaultHeaders(r.w.Header())
	r.writeHeader(r.resp.StatusCode)
}

// finish ends a stream whose body was read to its end.
func (r *streamRelay) finish() (bool, outcome) {
	r.sendHeader()
	r.runs++
	r.logCompleted(r.resp.StatusCode)
	return delimited(r.resp), outcome{disposition: finished, extraLatency: r.extraLatency, latency: r.latency, pace: r.pace(), success: true}
}

// pace returns the mean time between two events, 0 if there were fewer.
func (a *attempt) pace() time.Duration {
	if a.events < 2 {
		return 0
	}
	return (a.lastReceivedAt - a.firstEventAt) / time.Duration(a.events-1)
}

// streamErrorOutcome returns the outcome of an attempt whose stream broke off.
func (a *attempt) streamErrorOutcome(err error) outcome {
	result := a.errorOutcome(err)
	result.reason = "stream broke off: " + result.reason
	return result
}
