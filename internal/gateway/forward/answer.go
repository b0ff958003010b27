package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
)

// When refused callers may come back.
const (
	// retryUnconfigured fits the time in which a new process reads the
	// configuration.
	retryUnconfigured = 200 * time.Millisecond
	// retryUnproven sends callers to another host.
	retryUnproven = 100 * time.Millisecond
	// retryNoUpstream fits the time in which upstreams come back.
	retryNoUpstream = 300 * time.Millisecond
	// retryRank is added for each rank of urgency, so that urgent requests
	// come back first.
	retryRank = 40 * time.Millisecond
)

// jitter spreads a wait from 75% to 125%, so that callers do not return
// together.
func jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.75 + rand.Float64()/2))
}

// comeBack returns when a refused caller may come back.
func (p *pass) comeBack() time.Duration {
	return jitter(retryNoUpstream + time.Duration(urgency(p.route, p.customer))*retryRank)
}

// quiet keeps net/http from adding headers to an upstream's answer.
func quiet(h http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := h[name]; !given {
			h[name] = nil
		}
	}
}

// deliver gives the caller an upstream's whole answer.
func (p *pass) deliver(whole *answered) {
	if promises(whole.status) {
		p.refuse(http.StatusBadGateway, "upstream answered a refusal without saying that it did not run", 0)
		return
	}
	p.g.Codec.CopyResponseHeader(p.w.Header(), whole.header)
	quiet(p.w.Header())
	p.w.WriteHeader(whole.status)
	if _, err := p.w.Write(whole.body); err != nil {
		p.log(eventCallerGone, whole.status, err.Error())
		return
	}
	p.logDone(whole.status)
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse gives the caller the gateway's own answer.
func (p *pass) refuse(status int, reason string, retryAfter time.Duration) {
	p.g.Codec.WriteRefusal(p.w.Header(), p.call, retryAfter)
	p.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	p.w.WriteHeader(status)
	if _, err := p.w.Write([]byte(reason + "\n")); err != nil {
		reason += "; caller gone: " + err.Error()
	}
	p.g.Stats.Refused.Add(1)
	p.log(eventRefused, status, reason)
}

// abort cuts a stream so that it does not look complete.
func (p *pass) abort(reason string) {
	p.g.Stats.Cut.Add(1)
	p.log(eventCut, http.StatusOK, reason)
	panic(http.ErrAbortHandler)
}

// gone ends a call whose caller left.
func (p *pass) gone() {
	p.g.Stats.Left.Add(1)
	p.log(eventCallerGone, 0, "caller left")
	panic(http.ErrAbortHandler)
}

func (p *pass) logDone(status int) {
	took := boottime.Now() - p.call.Arrived
	p.g.Stats.Answered.Add(1)
	p.g.Stats.Latency(p.routeName(), took)
	p.log(eventAnswered, status, p.failure)
}

func (p *pass) routeName() string {
	if p.route == nil {
		return ""
	}
	return p.route.Name
}

// fields are what every line about a call says.
func (p *pass) fields(status int, reason string) []zap.Field {
	now := boottime.Now()
	fields := []zap.Field{
		zap.String("request", p.call.ID), zap.Int("status", status), zap.String("reason", reason),
		zap.String("route", p.routeName()), zap.String("customer", customerName(p.customer)),
		zap.String("upstream", p.upstream), zap.Int("sends", p.sends), zap.Int("runs", p.runs),
		zap.Duration("took", now-p.call.Arrived), zap.Int64("config", p.configured),
		zap.Duration("configAge", p.configAge),
	}
	if p.call.Prompt != nil {
		fields = append(fields, zap.Int("promptTokens", p.call.Prompt.InputTokens))
	}
	if p.firstEvent > 0 {
		fields = append(fields, zap.Duration("firstEvent", p.firstEvent), zap.Duration("longestPause", p.longestPause))
	}
	return fields
}
