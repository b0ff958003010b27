package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/connlimit"
	"github.com/marigoldmux/marigoldmux/internal/delivery"
)

// Retry-After durations of refused requests.
const (
	// retryNoConfig covers the time in which a new process reads the
	// configuration.
	retryNoConfig = 200 * time.Millisecond
	// retryOtherHost is short, since the caller can retry at another host at
	// once.
	retryOtherHost = 100 * time.Millisecond
	// retryNoUpstream covers the time in which upstreams become available again.
	retryNoUpstream = 300 * time.Millisecond
	// retryPerRank is added for each rank of urgency, so that urgent requests are
	// retried first.
	retryPerRank = 40 * time.Millisecond
)

// jitter returns a random duration between 75% and 125% of wait, so that
// callers do not retry in step.
func jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (0.75 + rand.Float64()/2))
}

// retryAfterNoUpstream returns the Retry-After of a request for which no
// upstream is available: the remaining pause if upstreams only pause, and more at
// random, so that callers do not return all at once.
func (p *proxyRequest) retryAfterNoUpstream() time.Duration {
	if p.placed.refusedFor > 0 {
		return jitter(p.placed.refusedFor)
	}
	if p.upstreamPause > 0 {
		return p.upstreamPause + time.Duration(rand.Int64N(int64(retryNoUpstream)))
	}
	return jitter(retryNoUpstream + time.Duration(urgency(p.route, p.customer))*retryPerRank)
}

// suppressDefaultHeaders keeps net/http from adding headers that the upstream
// did not set.
func suppressDefaultHeaders(h http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := h[name]; !set {
			h[name] = nil
		}
	}
}

// writeHeader sends the header of the response. While the host stops, it says that the
// connection is closed, so that the caller sends its next request elsewhere; requests that
// it has already sent are answered first.
func (p *proxyRequest) writeHeader(status int) {
	if p.h.stopping.Load() != nil && !connlimit.More(p.r) {
		p.w.Header().Set("Connection", "close")
	}
	p.w.WriteHeader(status)
}

// writeResponse sends a buffered response of an upstream to the caller. It
// replaces a status that implies that the request did not run by 502, since the
// upstream did not say so.
func (p *proxyRequest) writeResponse(resp *bufferedResponse) {
	if impliesNotRun(resp.status) {
		p.refuse(http.StatusBadGateway, "upstream answered a refusal without saying that it did not run", 0)
		return
	}
	p.h.Codec.CopyResponseHeader(p.w.Header(), resp.header)
	suppressDefaultHeaders(p.w.Header())
	if len(resp.body) > 0 {
		// Callers of HTTP/1.0 know a whole body by its length only.
		p.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	p.writeHeader(resp.status)
	if _, err := p.w.Write(resp.body); err != nil {
		p.log(eventCallerGone, resp.status, err.Error())
		return
	}
	p.logCompleted(resp.status)
}

// impliesNotRun reports whether a status states that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse sends an error response of the gateway itself.
func (p *proxyRequest) refuse(status int, reason string, retryAfter time.Duration) {
	p.h.Codec.WriteRefusal(p.w.Header(), p.call, retryAfter)
	p.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	p.writeHeader(status)
	if _, err := p.w.Write([]byte(reason + "\n")); err != nil {
		reason += "; caller gone: " + err.Error()
	}
	p.h.Stats.Refused.Add(1)
	p.log(eventRefused, status, reason, p.partsField())
}

// abort closes the connection in the middle of a stream, so that the stream
// does not look complete to the caller.
func (p *proxyRequest) abort(reason string) {
	p.h.Stats.AbortedStreams.Add(1)
	p.log(eventStreamAborted, http.StatusOK, reason, p.partsField())
	if !p.r.ProtoAtLeast(1, 1) {
		p.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection: without chunks, its regular end is that of the
// response.
func (p *proxyRequest) reset() {
	conn, _, err := http.NewResponseController(p.w).Hijack()
	if err != nil {
		p.log(eventStreamAborted, http.StatusOK, "not reset: "+err.Error())
		return
	}
	delivery.Reset(conn)
}

// abortDisconnected ends a request whose caller closed its connection.
func (p *proxyRequest) abortDisconnected() {
	p.h.Stats.CallerDisconnects.Add(1)
	p.log(eventCallerGone, 0, "caller left")
	panic(http.ErrAbortHandler)
}

func (p *proxyRequest) logCompleted(status int) {
	took := boottime.Now() - p.call.Arrived
	p.h.Stats.Answered.Add(1)
	p.h.Stats.RecordLatency(p.routeName(), took)
	p.log(eventAnswered, status, p.failure)
}

// Bounds of the parts in a log line; parts come from callers.
const (
	maxLoggedParts     = 8
	maxLoggedPartBytes = 32
)

// partsField returns the log field with the shared parts of the prompt: requests that
// fail alike may have one in common.
func (p *proxyRequest) partsField() zap.Field {
	if p.call.Prompt == nil {
		return zap.Skip()
	}
	var ids []string
	for _, part := range p.call.Prompt.SharedParts() {
		if len(ids) < maxLoggedParts {
			ids = append(ids, part.ID[:min(len(part.ID), maxLoggedPartBytes)])
		}
	}
	return zap.Strings("parts", ids)
}

func (p *proxyRequest) routeName() string {
	if p.route == nil {
		return ""
	}
	return p.route.Name
}

// logFields returns the fields of every log line about a request.
func (p *proxyRequest) logFields(status int, reason string) []zap.Field {
	now := boottime.Now()
	fields := []zap.Field{
		zap.String("request", p.call.ID), zap.Int("status", status), zap.String("reason", reason),
		zap.String("route", p.routeName()), zap.String("customer", customerName(p.customer)),
		zap.String("upstream", p.upstream), zap.Int("sends", p.sends), zap.Int("runs", p.runs),
		zap.Duration("took", now-p.call.Arrived), zap.Int64("config", p.configVersion),
		zap.Duration("configAge", p.configAge),
	}
	if p.peer != "" {
		fields = append(fields, zap.String("peer", p.peer))
	}
	if p.forwardedBy != "" {
		fields = append(fields, zap.String("forwardedBy", p.forwardedBy))
	}
	if p.call.Prompt != nil {
		fields = append(fields, zap.Int("promptTokens", p.call.Prompt.InputTokens))
	}
	fields = append(fields, p.placementFields()...)
	if p.firstEvent > 0 {
		fields = append(fields, zap.Duration("firstEvent", p.firstEvent), zap.Duration("longestPause", p.longestPause))
	}
	return fields
}
