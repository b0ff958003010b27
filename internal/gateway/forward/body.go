package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// readBody reads the whole body, so that it can be sent more than once and
// net/http detects when the caller disconnects. It reports whether the body was
// read; otherwise the request has been refused.
func (p *proxyRequest) readBody() bool {
	if p.r.ContentLength == 0 {
		return true
	}
	limit := int64(defaultMaxBodyBytes)
	if doc := p.h.Snapshots.Snapshot().View.Document; doc != nil && doc.Limits.MaxBodyBytes > 0 {
		limit = int64(doc.Limits.MaxBodyBytes)
	}
	var buf bytes.Buffer
	if p.r.ContentLength > 0 && p.r.ContentLength <= limit {
		buf.Grow(int(p.r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&buf, http.MaxBytesReader(p.w, p.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		p.refuse(http.StatusRequestEntityTooLarge, "body too large", 0)
		return false
	case err != nil:
		p.w.Header().Set("Connection", "close")
		p.refuse(http.StatusBadRequest, "body broke off: "+err.Error(), 0)
		return false
	}
	p.call.Body = buf.Bytes()
	return true
}
