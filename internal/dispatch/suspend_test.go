package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/marigoldmux/marigoldmux/deploy"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/document"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/standin"
)

// newTestDispatcher returns a dispatcher without upstreams, so that its calls wait.
func newTestDispatcher(t testing.TB) *Dispatcher {
	text, err := deploy.Config("chomkaew")
	require.NoError(t, err)
	doc, err := document.Parse(text)
	require.NoError(t, err)
	snapshot := func() *control.Snapshot { return &control.Snapshot{Document: doc} }
	return New(Options{
		Self: control.Self{ID: "b", Incarnation: "i"}, Snapshot: snapshot, Report: func(control.Input) {},
		Router: route.NewLeastLoaded(snapshot, 1), Events: event.Discard(),
	})
}

// TestAdoptKeepsLongestOutput checks that a host that receives copies of a
// request in any number and order keeps one call, with the longest output.
func TestAdoptKeepsLongestOutput(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newTestDispatcher(t)
		defer d.Abort()
		longest := 0
		for range rapid.IntRange(1, 6).Draw(r, "copies") {
			n := rapid.IntRange(0, 20).Draw(r, "tokens")
			longest = max(longest, n)
			req := &request.Request{
				ID: "a.i.1", Customer: "web-chat", Service: "advice", Route: "menu", Prompt: "p",
				MaxTokens: 30, Deadline: time.Now().Add(time.Hour),
			}
			require.True(r, d.Adopt(Transfer{Request: req, Tokens: standin.Answer("p", n)}))
		}
		call := d.Find("a.i.1")
		require.Equal(r, standin.Answer("p", longest), append([]string{}, call.Output.Tokens()...))
		require.Len(r, d.filter((*Call).open), 1)
	})
}

// TestDrainWaitsForRequestsAcceptedBeforeClose checks that a request that was accepted just
// before its host refuses further ones is not left behind when the host ends.
func TestDrainWaitsForRequestsAcceptedBeforeClose(t *testing.T) {
	d := newTestDispatcher(t)
	defer d.Abort()
	call, err := d.accept(Submission{Customer: "web-chat", Service: "advice", Route: "menu", Prompt: "p"})
	require.NoError(t, err)
	defer d.launch(call)
	d.Close()
	require.Equal(t, []*Call{call}, d.Movable())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, d.Drain(ctx), context.DeadlineExceeded)
	_, err = d.accept(Submission{Customer: "web-chat", Service: "advice", Route: "menu", Prompt: "p"})
	var refused *RefusalError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, request.ReasonLeaving, refused.Reason)
}
