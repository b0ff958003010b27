// Package limits bounds the time that a connection may take for the body of a
// request and for each piece of an answer, so that slow callers hold no
// resources. Answers as a whole are not bounded: a stream may last long.
package limits

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Timeouts bound the steps of a request.
type Timeouts struct {
	// Body bounds the reading of a request's body.
	Body time.Duration
	// Write bounds each write of an answer.
	Write time.Duration
}

// Handler serves requests within the timeouts.
func Handler(next http.Handler, timeouts Timeouts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.Body != nil && r.Body != http.NoBody {
			_ = controller.SetReadDeadline(time.Now().Add(timeouts.Body)) // no deadline where the connection has none
			r.Body = &body{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(&writer{ResponseWriter: w, controller: controller, timeout: timeouts.Write}, r)
	})
}

// body takes the deadline away once it is read to its end: the connection is
// then only read to notice that the caller leaves.
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
	w.extend()
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *writer) FlushError() error {
	w.extend()
	return w.controller.Flush()
}

// Flush implements http.Flusher.
func (w *writer) Flush() { _ = w.FlushError() }

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) extend() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.timeout))
}
