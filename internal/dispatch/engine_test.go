package dispatch

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// fakeEngine generates tokens whatever the request allows.
type fakeEngine struct {
	engine.Engine
	id string
	// tokenBytes is the length of a token.
	tokenBytes int
	// tokens is the number of tokens, and next the index of the next one.
	tokens, next int
}

func (e *fakeEngine) Generate(context.Context, engine.GenerateRequest) (engine.Stream, error) {
	return e, nil
}

func (e *fakeEngine) Next() (engine.Chunk, error) {
	if e.next == e.tokens {
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: io.ErrUnexpectedEOF}
	}
	e.next++
	return engine.Chunk{ID: e.id, Index: e.next - 1, Token: strings.Repeat("x", e.tokenBytes)}, nil
}

func (e *fakeEngine) Close() error { return nil }

// fakeDialer has one engine at all addresses.
type fakeDialer struct {
	dial.Dialer
	engine engine.Engine
}

func (d fakeDialer) Engine(string) engine.Engine { return d.engine }

// TestEngineThatGeneratesWithoutEndIsCut checks that a request keeps no more tokens than
// it asked for, and none that are far too long, whatever its engine sends, and is not
// complete then.
func TestEngineThatGeneratesWithoutEndIsCut(t *testing.T) {
	const maxTokens = 30
	for name, test := range map[string]struct{ tokenBytes, kept int }{
		"tokens":      {tokenBytes: 100, kept: maxTokens},
		"long tokens": {tokenBytes: 60 << 10, kept: 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t)
			defer d.Abort()
			// The call is launched only behind the test, so nothing else works on it before.
			call, err := d.accept(Submission{
				Customer: "web-chat", Service: "advice", Route: "menu", Prompt: "p", MaxTokens: maxTokens,
			})
			require.NoError(t, err)
			defer d.launch(call)
			generating := &fakeEngine{id: call.Request.ID, tokenBytes: test.tokenBytes, tokens: 100000}
			d.opts.Dialer = fakeDialer{engine: generating}
			err = d.forwardTokens(t.Context(), &attempt{call: call, lease: &route.Lease{}, upstream: &control.Upstream{}, started: time.Now()})
			require.Equal(t, test.kept, call.Output.Len())
			require.Equal(t, upstream.Mismatched, upstream.KindOf(err), "%v", err)
			require.Less(t, generating.next, generating.tokens)
		})
	}
}
