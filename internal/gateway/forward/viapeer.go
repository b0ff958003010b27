package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/boottime"
	"github.com/marigoldmux/marigoldmux/internal/gateway/catalog"
	"github.com/marigoldmux/marigoldmux/internal/gateway/members"
	"github.com/marigoldmux/marigoldmux/internal/gateway/upconn"
)

// forwardedByHeader holds the name of the host that forwarded a request to a peer. It is
// accepted only from the listener of peers.
const forwardedByHeader = "Marigoldmux-Forwarded-By"

// usageCountedHeader is set when the request is already counted in the usage of its customer.
const usageCountedHeader = "Marigoldmux-Usage-Counted"

// Limits of forwarding to peers.
const (
	// maxPeersTried bounds the peers to which one request is forwarded.
	maxPeersTried = 2
	// maxForwardedPerPeer bounds the requests that one peer has of this host at a time.
	maxForwardedPerPeer = 256
	// peerMargin is how much earlier than the caller's deadline a peer's own one ends, so
	// that the peer's answer still comes in time.
	peerMargin = 10 * time.Millisecond
)

var (
	errPeerMismatch = errors.New("answer of the peer belongs to another request")
	errPeerCut      = errors.New("answer of the peer broke off")
)

// PeerHandler serves the requests that other hosts forward to this one, and passes others to
// next. It belongs on the listener of peers.
func (h *Handler) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.Header.Get(forwardedByHeader)
		if from == "" {
			next.ServeHTTP(w, r)
			return
		}
		origin := origin{host: from, usageCounted: r.Header.Get(usageCountedHeader) != ""}
		deletePeerHeaders(r.Header)
		// The listener's own bound is that of shorter requests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		h.handle(w, r, origin)
	})
}

// origin says how a request came to this host: from its caller if it is empty.
type origin struct {
	// host is the host that forwarded the request.
	host         string
	usageCounted bool
}

// deletePeerHeaders deletes the headers that only hosts may set.
func deletePeerHeaders(h http.Header) {
	h.Del(forwardedByHeader)
	h.Del(usageCountedHeader)
}

// peerPool holds connections to peers for forwarded requests. It is safe for concurrent use.
type peerPool struct {
	*upconn.Pool
	mu sync.Mutex
	// inFlight counts the forwarded requests by the incarnation of the peer.
	inFlight map[uint64]int
}

func newPeerPool() *peerPool {
	return &peerPool{Pool: upconn.NewPool(), inFlight: map[uint64]int{}}
}

// take returns the peer among candidates with the fewest forwarded requests and counts one
// more, or returns nil if each has as many as it may get.
func (pool *peerPool) take(candidates []*members.Peer) *members.Peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	var best *members.Peer
	for _, i := range rand.Perm(len(candidates)) {
		peer := candidates[i]
		if best == nil || pool.inFlight[peer.Incarnation] < pool.inFlight[best.Incarnation] {
			best = peer
		}
	}
	if best == nil || pool.inFlight[best.Incarnation] >= maxForwardedPerPeer {
		return nil
	}
	pool.inFlight[best.Incarnation]++
	return best
}

func (pool *peerPool) release(peer *members.Peer) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.inFlight[peer.Incarnation]--
	if pool.inFlight[peer.Incarnation] == 0 {
		delete(pool.inFlight, peer.Incarnation)
	}
}

// serveByPeer forwards the request to peers until one has answered or may have run it. It
// reports whether the request has ended. A request that was forwarded to this host is not
// forwarded again.
func (p *proxyRequest) serveByPeer() bool {
	var refusal *bufferedResponse
	for p.mayForward() {
		peer := p.h.peers.take(p.usablePeers())
		if peer == nil {
			break
		}
		f := &peerForward{proxyRequest: p, peer: peer}
		result := f.forward()
		p.failure = result.reason
		switch result.disposition {
		case finished:
			return true
		case callerGone:
			p.abortDisconnected()
			return true
		case notRun:
			refusal = f.refusal
		case unknown, failed:
			p.runs++
			p.retryReserved = false
			if !p.mayRunAgain() {
				p.giveUp(result.reason)
				return true
			}
		case notSent:
		}
	}
	if refusal == nil || p.runs > 0 {
		return false
	}
	p.writePeerResponse(refusal)
	return true
}

// mayForward reports whether the request may be forwarded to a further peer. One that may have
// run takes a retry from the budget.
func (p *proxyRequest) mayForward() bool {
	now := boottime.Now()
	if p.forwardedBy != "" || len(p.peersTried) >= maxPeersTried || now >= p.deadline {
		return false
	}
	return p.runs == 0 || p.mayRunAgain() && p.reserveRetry(now)
}

// mayRunAgain reports whether a request that may have run may be sent again.
func (p *proxyRequest) mayRunAgain() bool { return p.repeatable() && p.runs < p.maxRuns() }

// maxRuns returns the number of upstreams that may run the request. One that was forwarded to
// this host runs once: the host that forwarded it counts its runs.
func (p *proxyRequest) maxRuns() int {
	if p.forwardedBy != "" {
		return 1
	}
	return p.route.MaxAttempts
}

// usablePeers returns the peers that can take the request.
func (p *proxyRequest) usablePeers() []*members.Peer {
	peers := p.h.Snapshots.Snapshot().Peers
	return slices.DeleteFunc(slices.Clone(peers), func(peer *members.Peer) bool {
		e := peer.Extension
		return !e.TakesForwarded || e.Isolated || peer.Stopping || !peer.Ready || p.peersTried[peer.Incarnation]
	})
}

// peerForward is one try of a request through a peer.
type peerForward struct {
	*proxyRequest
	peer *members.Peer
	conn *upconn.Conn
	// refusal is the peer's answer if it has not run the request.
	refusal *bufferedResponse
}

// forward sends the request to the peer, which the pool counts, and the peer's answer to the
// caller.
func (f *peerForward) forward() outcome {
	defer f.h.peers.release(f.peer)
	if f.peersTried == nil {
		f.peersTried = map[uint64]bool{}
	}
	f.peersTried[f.peer.Incarnation] = true
	f.proxyRequest.peer = f.peer.Host
	ctx, cancel := context.WithDeadline(f.r.Context(), time.Now().Add(f.deadline-boottime.Now()))
	defer cancel()
	conn, err := f.h.peers.Get(ctx, f.peer.PeerAddress, f.peer.PeerAddress, f.maxPeerIdle())
	if err != nil {
		return f.notSentOutcome(err)
	}
	f.conn = conn
	f.sends++
	stop := context.AfterFunc(f.r.Context(), conn.Abort)
	stopEnding := context.AfterFunc(f.h.ending, func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stopEnding()
	keep, result := f.roundTrip()
	if stop() && keep {
		f.h.peers.Put(f.peer.PeerAddress, conn, 0)
	} else {
		// The peer gives up what it still does for the request.
		conn.Abort()
	}
	if result.disposition != finished && f.r.Context().Err() != nil {
		result.disposition = callerGone
	}
	return result
}

// maxPeerIdle returns the longest idle time of a connection for the request; see maxIdle.
func (f *peerForward) maxPeerIdle() time.Duration {
	if f.route.Repeatable() {
		return upconn.AnyIdle
	}
	return atMostOnceMaxIdle
}

// roundTrip sends the request and handles the response. It reports whether the connection can
// be reused.
func (f *peerForward) roundTrip() (bool, outcome) {
	remaining := f.deadline - boottime.Now()
	if err := f.conn.SetDeadline(time.Now().Add(remaining)); err != nil {
		return false, outcome{disposition: notSent, reason: err.Error()}
	}
	header := f.h.Codec.PeerHeader(f.r, remaining-peerMargin, f.lastEventID)
	header.Set(forwardedByHeader, f.h.Host)
	if f.usageCounted {
		header.Set(usageCountedHeader, "1")
	}
	n, err := f.conn.Write(f.call.Method, f.call.Target, f.call.Host, header, f.call.Body)
	if err != nil && n == 0 {
		return false, outcome{disposition: notSent, reason: err.Error()}
	}
	if f.runs == 0 {
		// The peer takes it.
		f.refundQuota()
	}
	resp, err := f.readHead()
	if err != nil {
		return false, lostOutcome(err)
	}
	return f.handle(resp)
}

// lostOutcome returns the outcome of a try without a complete answer of the peer.
func lostOutcome(err error) outcome { return outcome{disposition: unknown, reason: err.Error()} }

// readHead reads the head of the peer's answer.
func (f *peerForward) readHead() (*http.Response, error) {
	f.conn.BoundHead()
	defer f.conn.UnboundHead()
	for {
		resp, err := http.ReadResponse(f.conn.Reader, &http.Request{Method: f.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if f.h.Codec.DecodeResponse(resp).ID != f.call.ID {
			return nil, errPeerMismatch
		}
		return resp, nil
	}
}

// handle sends the peer's answer to the caller, unless the peer has not run the request.
func (f *peerForward) handle(resp *http.Response) (bool, outcome) {
	success := resp.StatusCode < http.StatusMultipleChoices
	if f.headerSent && (!success || !f.continuesStream(resp)) {
		return false, outcome{disposition: failed, reason: "peer did not resume the stream: " + resp.Status}
	}
	if success && f.route.Kind == catalog.Stream {
		return f.relay(resp)
	}
	body, err := f.newBuffers(f.peer.PeerAddress).ReadAll(resp.Body, maxResponseBytes)
	if err == nil && !delimited(resp) {
		err = errPeerCut
	}
	if err != nil {
		return false, lostOutcome(err)
	}
	answer := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode == http.StatusServiceUnavailable || f.runs > 0 && promisesNotRun(resp.StatusCode) {
		f.refusal = answer
		return !resp.Close, outcome{disposition: notRun, reason: "refused by peer: " + resp.Status}
	}
	f.writePeerResponse(answer)
	return !resp.Close, outcome{disposition: finished}
}

// promisesNotRun reports whether a status of a refusal promises that the request has not run,
// which holds for the peer alone.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendHeader sends the head of a stream to the caller, once.
func (f *peerForward) sendHeader(resp *http.Response) {
	if f.headerSent {
		return
	}
	f.h.Codec.CopyResponseHeader(f.w.Header(), resp.Header)
	suppressDefaultHeaders(f.w.Header())
	f.headerSent = true
	f.writeHeader(resp.StatusCode)
}

// relay sends a stream to the caller as it arrives. A stream that breaks off is broken off for
// the caller too; before its first byte it is as if the peer had not answered.
func (f *peerForward) relay(resp *http.Response) (bool, outcome) {
	controller := http.NewResponseController(f.w)
	buf := make([]byte, eventBufferBytes)
	for {
		n, readErr := resp.Body.Read(buf)
		if n > 0 {
			f.sendHeader(resp)
			if _, err := f.w.Write(buf[:n]); err != nil {
				return false, outcome{disposition: callerGone, reason: err.Error()}
			}
			if err := controller.Flush(); err != nil {
				return false, outcome{disposition: callerGone, reason: err.Error()}
			}
		}
		switch {
		case errors.Is(readErr, io.EOF) && delimited(resp):
			f.sendHeader(resp)
			f.logForwarded(resp.StatusCode)
			return !resp.Close, outcome{disposition: finished}
		case readErr != nil && !f.headerSent:
			return false, lostOutcome(readErr)
		case readErr != nil:
			f.conn.Abort()
			f.abort("through peer: " + readErr.Error())
			return false, outcome{disposition: finished}
		}
	}
}

// writePeerResponse sends a buffered answer of a peer, which may also be a refusal, to the
// caller.
func (p *proxyRequest) writePeerResponse(answer *bufferedResponse) {
	p.h.Codec.CopyResponseHeader(p.w.Header(), answer.header)
	suppressDefaultHeaders(p.w.Header())
	if len(answer.body) > 0 {
		p.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	p.writeHeader(answer.status)
	if _, err := p.w.Write(answer.body); err != nil {
		p.log(eventCallerGone, answer.status, err.Error())
		return
	}
	p.logForwarded(answer.status)
}

// logForwarded records an answer of a peer.
func (p *proxyRequest) logForwarded(status int) {
	p.h.Stats.ForwardedToPeers.Add(1)
	p.logCompleted(status)
}
