package forward

import (
	"fmt"
	"net/http"
	"strconv"
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
	eventCrashed  = event.Define(904, zapcore.WarnLevel, "upstream crashed under requests")
	eventHeld     = event.Define(905, zapcore.WarnLevel, "request held")
	eventPartHeld = event.Define(909, zapcore.WarnLevel, "requests with a part held")
	eventTrial    = event.Define(929, zapcore.WarnLevel, "held request tried")
	eventCleared  = event.Define(930, zapcore.InfoLevel, "suspect cleared")
	eventCutOff   = event.Define(952, zapcore.InfoLevel, "upstream out of reach of this host only")
)

// traits returns what the request may have in common with others that crash upstreams.
func (p *proxyRequest) traits() poison.Request {
	traits := poison.Request{Content: poison.Content(p.call.Method, p.call.Target, customerName(p.customer), p.call.Body)}
	if p.call.Prompt != nil {
		for _, part := range p.call.Prompt.SharedParts() {
			if part.ID != "" {
				traits.Parts = append(traits.Parts, poison.Part(p.service, part.ID))
			}
		}
	}
	return traits
}

// admitPoison reports whether the request is not held, since requests with the same
// content or a part of their prompts in common crashed upstreams. If it is, it has been
// ended.
func (p *proxyRequest) admitPoison() bool {
	if p.trial.Trial || !p.h.Poison.Any() {
		return true
	}
	hosts := p.h.Snapshots.Snapshot().SenderNames
	verdict := p.h.Poison.Judge(p.traits(), p.h.Host, hosts, boottime.Now())
	switch {
	case verdict.Trial:
		p.trial = verdict
		p.h.Stats.PoisonTrials.Add(1)
		p.h.Events.Emit(eventTrial, zap.String("request", p.call.ID), zap.String("part", verdict.Trait.Part))
	case verdict.HeldUntil > 0:
		p.refuseHeld(verdict)
		return false
	}
	return true
}

// returnTrial gives the trial back that the request is, if no upstream has run it.
func (p *proxyRequest) returnTrial() {
	if p.trial.Trial {
		p.h.Poison.ReturnTrial(p.trial)
	}
}

// refuseHeld ends a request that is held.
func (p *proxyRequest) refuseHeld(verdict poison.Verdict) {
	p.h.Stats.HeldRequests.Add(1)
	reason := fmt.Sprintf("requests with fingerprint %d crashed several upstreams", verdict.Trait.Key)
	if verdict.Trait.Part != "" {
		reason = fmt.Sprintf("requests with part %.*q crashed several upstreams", maxLoggedPartBytes, verdict.Trait.Part)
	}
	if p.headerSent || p.fallback != nil || p.runs > 0 {
		p.giveUp(reason)
		return
	}
	p.refundQuota()
	p.refuse(http.StatusServiceUnavailable, reason, verdict.HeldUntil-boottime.Now())
}

// recordCrashEvidence records a lost response, after which the upstream is
// checked for a crash, or a complete one. A trial that an upstream may have run is over.
func (p *proxyRequest) recordCrashEvidence(m *catalog.Member, result outcome) {
	if result.disposition != notSent && result.disposition != notRun {
		p.trial = poison.Verdict{}
	}
	switch {
	case result.disposition == unknown && result.responseLost && !p.departing(m):
		p.recordLostStream(m, result.sentAt)
		lost := p.traits()
		if result.answering {
			lost.Parts = nil
		}
		if p.h.Poison.RecordLoss(lost, instanceKey(m)) {
			time.AfterFunc(poison.CheckAfter, func() { p.h.checkCrashed(m) })
		}
	case result.disposition == finished && p.h.Poison.Any():
		complete := p.traits()
		if !result.success {
			// An upstream may report an error before it begins to answer.
			complete.Parts = nil
		}
		p.emitCleared(p.h.Poison.RecordResponse(complete, boottime.Now()))
	}
}

// emitCleared emits events about suspects that a response has cleared.
func (p *proxyRequest) emitCleared(traits []poison.Trait) {
	for _, trait := range traits {
		p.h.Events.Emit(eventCleared, zap.String("request", p.call.ID), zap.Uint64("fingerprint", trait.Key), zap.String("part", trait.Part))
	}
}

// recordAnswering records that the upstream has been answering for a while, once.
func (a *attempt) recordAnswering(now time.Duration) {
	if a.firstEventAt == 0 {
		a.firstEventAt = now
	}
	if a.answering || now-a.firstEventAt < poison.AnsweringFor {
		return
	}
	a.answering = true
	if a.h.Poison.Any() {
		a.emitCleared(a.h.Poison.RecordAnswering(a.traits(), now))
	}
}

// instanceKey identifies a process of an upstream: one that starts again may keep its ID.
func instanceKey(m *catalog.Member) string { return m.ID + "/" + strconv.FormatInt(m.Born, 10) }

// departing reports whether an upstream is draining, has said that it leaves, or is no
// longer listed. A response lost then is no sign of a crash: a crashed upstream stays
// listed for a while.
func (p *proxyRequest) departing(m *catalog.Member) bool {
	if p.h.Advisories.State(m, boottime.Now()).Leaving {
		return true
	}
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
	if err != nil && h.Reach.Check(h.ending) && !h.IndirectProber.Gone(h.ending, m.ID) {
		h.Events.Emit(eventCutOff, zap.String("upstream", m.ID), event.Err(err))
		err = nil
	}
	lost, held := h.Poison.FinishCheck(instanceKey(m), err != nil, boottime.Now())
	// A loss after FinishCheck starts another check, one before is counted here.
	h.countLostStreams(m.ID, err != nil)
	if err != nil {
		h.Events.Emit(eventCrashed, zap.String("upstream", m.ID), zap.Int("requests", lost), event.Err(err))
	}
	for _, trait := range held {
		if trait.Part != "" {
			h.Events.Emit(eventPartHeld, zap.String("part", trait.Part), zap.String("upstream", m.ID))
		} else {
			h.Events.Emit(eventHeld, zap.Uint64("fingerprint", trait.Key), zap.String("upstream", m.ID))
		}
	}
}
