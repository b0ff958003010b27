package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// eventBufferBytes is the size of the buffer for reading events; longer lines
// are read in parts.
const eventBufferBytes = 2048

// maxEventBytes bounds an event, so that streams without line ends cannot take all
// memory.
const maxEventBytes = 128 << 10

var errEventTooLong = errors.New("event is too long")

// streamRelay copies the event stream of an upstream to the caller.
type streamRelay struct {
	*attempt
	resp   *http.Response
	reader *bufio.Reader
	// pending holds complete events that were not sent to the caller yet.
	pending      []byte
	extraLatency time.Duration
	latency      time.Duration
}

// relayStream sends the events of a stream to the caller, each when it is
// complete. It reports whether the connection can be reused.
func (a *attempt) relayStream(resp *http.Response) (bool, outcome) {
	r := &streamRelay{attempt: a, resp: resp, reader: bufio.NewReaderSize(resp.Body, eventBufferBytes)}
	for {
		readErr := r.readNext()
		if readErr == nil && r.reader.Buffered() > 0 {
			continue
		}
		if err := r.flush(); err != nil {
			return false, outcome{disposition: callerGone, reason: err.Error()}
		}
		switch {
		case errors.Is(readErr, io.EOF) && r.endsWhole(r.resp):
			return r.finish()
		case errors.Is(readErr, io.EOF):
			return false, r.streamErrorOutcome(errCrashedAtEnd)
		case readErr != nil:
			return false, r.streamErrorOutcome(readErr)
		}
	}
}

// readNext reads one event. An incomplete event is dropped, unless the body is
// delimited and ended regularly. A body that is not has broken off if it ends inside an
// event or before the first.
func (r *streamRelay) readNext() error {
	event, err := readEvent(r.reader)
	if errors.Is(err, io.EOF) && !delimited(r.resp) && (len(event) > 0 || r.firstEventAt == 0) {
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
			}
		}
		r.recordEvent()
		r.pending = append(r.pending, event...)
		r.recordEventID(event)
	}
	return err
}

// delimited reports whether the body of a response has an explicit end, so that
// a closed connection is not taken for it.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
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

var errCrashedAtEnd = errors.New("upstream refuses connections behind a response without a length")

// endsWhole reports whether a response that was read to its end is whole. The connection
// of an upstream that crashes ends like a body without a length, so it is not if the
// upstream refuses connections, unless it leaves.
func (a *attempt) endsWhole(resp *http.Response) bool {
	return delimited(resp) || a.departing(a.member) || !upconn.Refuses(a.member.Address)
}

// readEvent reads one event, up to and including the empty line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0
	for {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event) > maxEventBytes {
				return event, errEventTooLong
			}
			continue
		}
		if err != nil {
			return event, err
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		lineStart = len(event)
	}
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
// the stream.
func (a *attempt) recordEventID(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			a.lastEventID = string(bytes.TrimSpace(value))
		}
	}
}

// continuesStream reports whether a response is of the kind of the one that the caller
// already has a part of. An upstream that fails to resume a stream may say so with a
// success and a body that is none of its events.
func (a *attempt) continuesStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && mediaType(resp.Header) == mediaType(a.w.Header())
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
	r.w.WriteHeader(r.resp.StatusCode)
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
