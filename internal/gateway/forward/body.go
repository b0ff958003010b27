package forward

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/bodybuf"
	"github.com/marigoldmux/marigoldmux/internal/boottime"
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
)

// restTimeout bounds the time in which the rest of a refused request's body may come.
const restTimeout = time.Second

// readBody reads the whole body, so that it can be sent more than once and
// net/http detects when the caller disconnects. It reports whether the body was
// read; otherwise the request has been refused.
func (p *proxyRequest) readBody() bool {
	if p.r.ContentLength == 0 {
		return true
	}
	p.boundReads(p.deadline)
	limit := defaultMaxBodyBytes
	if doc := p.h.Snapshots.Snapshot().View.Document; doc != nil && doc.Limits.MaxBodyBytes > 0 {
		limit = doc.Limits.MaxBodyBytes
	}
	body, err := p.newBuffers("").ReadAll(http.MaxBytesReader(p.w, p.r.Body, int64(limit)), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bodybuf.ErrNoMemory):
		p.w.Header().Set("Connection", "close")
		p.refuse(http.StatusServiceUnavailable, err.Error(), jitter(retryOtherHost))
		return false
	case errors.As(err, &tooLarge):
		p.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.w.Header().Set("Connection", "close")
		p.refuse(http.StatusRequestTimeout, "body came too slowly", 0)
		return false
	case err != nil:
		p.w.Header().Set("Connection", "close")
		p.refuse(http.StatusBadRequest, "body broke off: "+err.Error(), 0)
		return false
	}
	p.call.Body = body
	p.bodyRead = true
	// From now on the connection is read to detect that the caller disconnects.
	_ = http.NewResponseController(p.w).SetReadDeadline(time.Time{})
	return true
}

// boundReads makes reads from the caller fail from a boot time on, so that a body that does
// not arrive holds nothing longer.
func (p *proxyRequest) boundReads(deadline time.Duration) {
	until := time.Now().Add(deadline - boottime.Now())
	// Without deadlines, as in tests, only the caller's own time limits apply.
	_ = http.NewResponseController(p.w).SetReadDeadline(until)
}

// boundRest bounds how long the server reads the rest of a body that the handler leaves.
func (p *proxyRequest) boundRest() {
	if p.r.ContentLength != 0 && !p.bodyRead {
		p.boundReads(boottime.Now() + restTimeout)
	}
}
