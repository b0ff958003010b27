package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
)

// eventBuffer is the size of the buffer for events in bytes; longer lines are
// read in parts.
const eventBuffer = 2048

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

var errLongEvent = errors.New("event is too long")

// relayed is a stream on its way to the caller.
type relayed struct {
	*attempt
	resp   *http.Response
	reader *bufio.Reader
	// pending are whole events that were not sent to the caller yet.
	pending []byte
	lag     time.Duration
	waited  time.Duration
}

// relay passes the events of a stream on, each when it is whole. It reports
// whether the connection can be used again.
func (a *attempt) relay(resp *http.Response) (bool, outcome) {
	r := &relayed{attempt: a, resp: resp, reader: bufio.NewReaderSize(resp.Body, eventBuffer)}
	for {
		readErr := r.next()
		if readErr == nil && r.reader.Buffered() > 0 {
			continue
		}
		if err := r.flush(); err != nil {
			return false, outcome{fate: callerGone, reason: err.Error()}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return r.ended()
		case readErr != nil:
			return false, r.torn(readErr)
		}
	}
}

// next reads one event. An event that is not whole is dropped, except at the
// certain end of the body.
func (r *relayed) next() error {
	event, err := readEvent(r.reader)
	if err == nil || errors.Is(err, io.EOF) && len(event) > 0 && whole(r.resp) {
		if r.waited == 0 {
			r.lag = r.attempt.lag()
			r.waited = boottime.Now() - r.sentAt
		}
		r.began()
		r.pending = append(r.pending, event...)
		r.noteEvent(event)
	}
	return err
}

// whole reports whether the end of an answer's body is certain.
func whole(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readEvent reads one event, up to and including the empty line that ends it.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0
	for {
		part, err := reader.ReadSlice('\n')
		event = append(event, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event) > maxEvent {
				return event, errLongEvent
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

// began notes an event; the first one begins the run.
func (a *attempt) began() {
	now := boottime.Now()
	if a.firstEvent == 0 {
		a.firstEvent = now - a.call.Arrived
	} else {
		a.longestPause = max(a.longestPause, now-a.previousEvent)
	}
	a.heardAt, a.previousEvent = now, now
	a.work.Received(now)
	a.count(a.g.Usage.Now())
}

// noteEvent remembers the ID of an event.
func (a *attempt) noteEvent(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if found {
			a.lastEvent = string(bytes.TrimSpace(value))
		}
	}
}

// flush sends what is pending to the caller.
func (r *relayed) flush() error {
	if len(r.pending) == 0 {
		return nil
	}
	r.commit()
	if _, err := r.w.Write(r.pending); err != nil {
		return err
	}
	r.pending = r.pending[:0]
	return http.NewResponseController(r.w).Flush()
}

// commit sends the head of the answer, once.
func (r *relayed) commit() {
	if r.committed {
		return
	}
	r.committed = true
	r.g.Codec.CopyResponseHeader(r.w.Header(), r.resp.Header)
	quiet(r.w.Header())
	r.w.WriteHeader(r.resp.StatusCode)
}

// ended finishes a stream whose body came to its end.
func (r *relayed) ended() (bool, outcome) {
	r.commit()
	r.runs++
	r.logDone(r.resp.StatusCode)
	return whole(r.resp), outcome{fate: finished, lag: r.lag, waited: r.waited}
}

// torn tells how a stream ended that broke off.
func (a *attempt) torn(err error) outcome {
	result := a.broken(err)
	result.reason = "stream broke off: " + result.reason
	return result
}
