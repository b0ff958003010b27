package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/advisory"
	"github.com/marigoldmux/marigoldmux/internal/gateway/exchange"
)

// recordAdvisories records what an upstream says in its response about the
// requests that it wants. A response with 421 comes from another upstream at the
// same address.
func (a *attempt) recordAdvisories(resp *http.Response, head exchange.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	now := boottime.Now()
	instance := advisory.InstanceOf(a.member)
	if head.Leaving && a.h.Advisories.Leave(instance, now) {
		a.h.Stats.LeavingUpstreams.Add(1)
		a.h.Events.Emit(eventUpstreamLeaves, zap.String("subject", a.member.ID), zap.String("request", a.call.ID))
	}
	switch {
	case head.RetryAfterErr != nil:
		a.h.Events.Emit(eventAdvisoryIgnored, zap.String("subject", a.member.ID), zap.String("request", a.call.ID), event.Err(head.RetryAfterErr))
	case head.RetryAfter > 0:
		pause := a.h.Advisories.Pause(instance, head.RetryAfter, now)
		a.h.Stats.UpstreamPauses.Add(1)
		a.h.Events.Emit(eventUpstreamPauses, zap.String("subject", a.member.ID), zap.String("request", a.call.ID), zap.Duration("pause", pause))
	}
}

// shortestPause returns the shorter of two pauses, of which 0 stands for none.
func shortestPause(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
