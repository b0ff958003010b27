package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// TestEndIsReportedBeforeOutputFinishes checks that a report requested after the
// response includes the request.
func TestEndIsReportedBeforeOutputFinishes(t *testing.T) {
	d := newTestDispatcher(t)
	defer d.Abort()
	req := &request.Request{
		ID: "a.i.1", Customer: "web-chat", Service: "advice", Route: "menu", Prompt: "p",
		MaxTokens: 30, Deadline: time.Now().Add(time.Hour),
	}
	require.True(t, d.Adopt(Transfer{Request: req}))
	call := d.Find("a.i.1")
	call.relayed = false
	counted := false
	d.opts.Ended = func(RequestEnded) {
		counted = call.Output.Result() == nil
	}
	d.end(call, request.Result{Outcome: request.Answer})
	require.True(t, counted)
}
