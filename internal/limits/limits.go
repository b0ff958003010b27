// Package limits sets deadlines for reading the body of a request and for each
// write of the response, so that slow callers cannot hold resources. The duration
// of a whole response is not bounded, since a stream may last long.
package limits

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Timeouts bounds the steps of a request.
type Timeouts struct {
	// Body is the time limit for reading a request's body.
	Body time.Duration
	// Write is the time limit for each write of a response.
	Write time.Duration
}

// Handler returns a handler that applies the timeouts and calls next.
func Handler(next http.Handler, timeouts Timeouts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			_ = controller.SetReadDeadline(time.Now().Add(timeouts.Body)) // fails if the connection supports no deadlines
			r.Body = &body{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(&writer{ResponseWriter: w, controller: controller, timeout: timeouts.Write}, r)
	})
}

// body clears the read deadline at its end: after that the connection is only
// read to detect that the caller disconnects.
type body struct {
	io.ReadCloser
	controller *http.ResponseController
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

type writer struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

func (w *writer) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError is the flush method that http.ResponseController uses.
func (w *writer) FlushError() error {
	w.extendDeadline()
	return w.controller.Flush()
}

// Flush implements http.Flusher.
func (w *writer) Flush() { _ = w.FlushError() }

// Unwrap gives http.ResponseController access to the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}
