// Package stream buffers the output of a request, so that any number of readers
// can follow it from any offset.
package stream

import (
	"errors"
	"sync"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// ErrGap is returned for a token that does not follow the last one.
var ErrGap = errors.New("token does not follow the last one")

// Buffer is the output of one request. It is safe for concurrent use.
//
// Invariant: tokens are only appended, and once the request has ended or moved, only
// the host to which it moved may change.
type Buffer struct {
	mu     sync.Mutex
	tokens []string
	result *request.Result
	moved  string
	// changed is closed and replaced on each change.
	changed chan struct{}
}

// View is the state of a Buffer from an offset on.
type View struct {
	Tokens []string
	// Result is set when the request has ended; Tokens then reach to the end.
	Result *request.Result
	// Moved is the ID of the host to which the request moved, or empty.
	Moved string
	// Changed is closed on the next change.
	Changed <-chan struct{}
}

// New returns a buffer that starts with a copy of tokens.
func New(tokens []string) *Buffer {
	return &Buffer{tokens: append([]string(nil), tokens...), changed: make(chan struct{})}
}

// Append adds the token with an index. It ignores tokens that the buffer already
// has, and further ones once the request has ended or moved. It returns ErrGap if
// tokens before index are missing.
func (b *Buffer) Append(index int, token string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if index > len(b.tokens) {
		return ErrGap
	}
	if index < len(b.tokens) || b.endedOrMoved() {
		return nil
	}
	b.tokens = append(b.tokens, token)
	b.notify()
	return nil
}

// Finish ends the request. It does nothing if the request has ended or moved.
func (b *Buffer) Finish(result request.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endedOrMoved() {
		return
	}
	b.result = &result
	b.notify()
}

// Move records that the request moved to another host, also after its end, and
// notifies readers. It reports whether the request had neither ended nor moved.
func (b *Buffer) Move(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	running := !b.endedOrMoved()
	b.moved = host
	b.notify()
	return running
}

func (b *Buffer) endedOrMoved() bool { return b.result != nil || b.moved != "" }

func (b *Buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// View returns the state from an offset on; there are no tokens past the end.
func (b *Buffer) View(offset int) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := min(max(offset, 0), len(b.tokens))
	return View{Tokens: b.tokens[from:len(b.tokens):len(b.tokens)], Result: b.result, Moved: b.moved, Changed: b.changed}
}

// Tokens returns the tokens so far.
func (b *Buffer) Tokens() []string { return b.View(0).Tokens }

// Len returns the number of tokens so far.
func (b *Buffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tokens)
}

// Result returns the result of the request, or nil if it has not ended here.
func (b *Buffer) Result() *request.Result { return b.View(0).Result }
