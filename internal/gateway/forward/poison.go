package forward

import (
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/poison"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// Events about requests that crash upstreams.
var (
	eventCrashed = event.Define(904, zapcore.WarnLevel, "upstream crashed under requests")
	eventHeld    = event.Define(905, zapcore.WarnLevel, "request held")
)

// fingerprint identifies the content of the request.
func (p *proxyRequest) fingerprint() uint64 {
	return poison.Fingerprint(p.call.Method, p.call.Target, customerName(p.customer), p.call.Body)
}

// heldUntil returns the boot time up to which the request is held since
// requests like it crashed upstreams, or 0.
func (p *proxyRequest) heldUntil() time.Duration {
	if !p.h.Poison.Any() {
		return 0
	}
	return p.h.Poison.HeldUntil(p.fingerprint(), boottime.Now())
}

// refuseHeld ends a request that is held.
func (p *proxyRequest) refuseHeld(until time.Duration) {
	p.h.Stats.HeldRequests.Add(1)
	reason := fmt.Sprintf("requests with fingerprint %d crashed several upstreams", p.fingerprint())
	if p.headerSent || p.fallback != nil || p.runs > 0 {
		p.giveUp(reason)
		return
	}
	p.refundQuota()
	p.refuse(http.StatusServiceUnavailable, reason, until-boottime.Now())
}

// recordCrashEvidence records a lost response, after which the upstream is
// checked for a crash, or a complete one.
func (p *proxyRequest) recordCrashEvidence(m *catalog.Member, result outcome) {
	switch {
	case result.disposition == unknown && result.responseLost && !p.departing(m):
		p.recordLostStream(m, result.sentAt)
		if p.h.Poison.RecordLoss(p.fingerprint(), m.ID) {
			time.AfterFunc(poison.CheckAfter, func() { p.h.checkCrashed(m) })
		}
	case result.disposition == finished && p.h.Poison.Any():
		p.h.Poison.RecordResponse(p.fingerprint(), boottime.Now())
	}
}

// departing reports whether an upstream is draining or no longer listed. A
// response lost then is no sign of a crash: a crashed upstream stays listed for
// a while.
func (p *proxyRequest) departing(m *catalog.Member) bool {
	for _, current := range p.h.Snapshots.Snapshot().View.Members[p.service] {
		if current.ID == m.ID {
			return current.Draining
		}
	}
	return true
}

// checkCrashed checks whether an upstream that lost responses has crashed, and
// emits events about the crash and the requests held from then on.
func (h *Handler) checkCrashed(m *catalog.Member) {
	err := upconn.Check(m.Address)
	lost, held := h.Poison.FinishCheck(m.ID, err != nil, boottime.Now())
	// A loss after FinishCheck starts another check, one before is counted here.
	h.countLostStreams(m.ID, err != nil)
	if err != nil {
		h.Events.Emit(eventCrashed, zap.String("upstream", m.ID), zap.Int("requests", lost), event.Err(err))
	}
	for _, fingerprint := range held {
		h.Events.Emit(eventHeld, zap.Uint64("fingerprint", fingerprint), zap.String("upstream", m.ID))
	}
}
