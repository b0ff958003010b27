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

// Decisions on requests that crash upstreams.
var (
	eventCrashed  = event.Define(904, zapcore.WarnLevel, "upstream crashed under requests")
	eventHeldBack = event.Define(905, zapcore.WarnLevel, "request held back from now on")
)

// fingerprint identifies the content of the call.
func (p *pass) fingerprint() uint64 {
	return poison.Fingerprint(p.call.Method, p.call.Target, customerName(p.customer), p.call.Body)
}

// heldUntil returns until when the call is held back since calls like it crashed
// upstreams, or 0.
func (p *pass) heldUntil() time.Duration {
	if !p.g.Poison.Any() {
		return 0
	}
	return p.g.Poison.HeldUntil(p.fingerprint(), boottime.Now())
}

// holdBack ends a call that is held back.
func (p *pass) holdBack(until time.Duration) {
	p.g.Stats.Held.Add(1)
	reason := fmt.Sprintf("requests with fingerprint %d crashed several upstreams", p.fingerprint())
	if p.committed || p.best != nil || p.runs > 0 {
		p.giveUp(reason)
		return
	}
	p.returnQuota()
	p.refuse(http.StatusServiceUnavailable, reason, until-boottime.Now())
}

// blame notes what an attempt says of whether the call crashes upstreams.
func (p *pass) blame(m *catalog.Member, result outcome) {
	switch {
	case result.fate == unknown && result.lost && !p.leaves(m):
		if p.g.Poison.RecordLoss(p.fingerprint(), m.ID) {
			time.AfterFunc(poison.CheckAfter, func() { p.g.check(m) })
		}
	case result.fate == finished && p.g.Poison.Any():
		p.g.Poison.RecordAnswer(p.fingerprint(), boottime.Now())
	}
}

// leaves reports whether an upstream is leaving or has left, which is no crash: a
// crashed one stays in the list for a while.
func (p *pass) leaves(m *catalog.Member) bool {
	for _, listed := range p.g.Snapshots.Snapshot().View.Members[p.service] {
		if listed.ID == m.ID {
			return listed.Draining
		}
	}
	return true
}

// check finds out whether an upstream that lost calls has crashed.
func (g *Handler) check(m *catalog.Member) {
	err := upconn.Check(m.Address)
	lost, held := g.Poison.FinishCheck(m.ID, err != nil, boottime.Now())
	if err != nil {
		g.Events.Emit(eventCrashed, zap.String("upstream", m.ID), zap.Int("requests", lost), event.Err(err))
	}
	for _, request := range held {
		g.Events.Emit(eventHeldBack, zap.Uint64("fingerprint", request), zap.String("upstream", m.ID))
	}
}
