// Package handoff moves the accepted requests of a host that is about to stop to
// other hosts, preferably in other availability zones.
package handoff

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/rendezvous"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

var eventHandedOver = event.Define(300, zapcore.InfoLevel, "requests handed over")

const (
	// forwardPeriod is how long a leaving host still accepts requests, from callers
	// that have not yet switched to other hosts, and hands them over.
	forwardPeriod = 2500 * time.Millisecond
	// roundInterval is the time between two rounds.
	roundInterval = 100 * time.Millisecond
	// maxBatch is the maximum number of requests in one call to a peer.
	maxBatch    = 32
	callTimeout = 2 * time.Second
)

// Rank returns the live hosts of this region in descending order of the rendezvous
// weight for a request's ID: the order in which they take over the request when
// its host is gone.
func Rank(snapshot *control.Snapshot, id string) []control.EntryHost {
	hosts := make([]control.EntryHost, 0, len(snapshot.Hosts))
	for _, host := range snapshot.Hosts {
		if host.Region == snapshot.Self.Region {
			hosts = append(hosts, host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return rendezvous.Weight(id, hosts[i].ID) > rendezvous.Weight(id, hosts[j].ID) })
	return hosts
}

// Receivers returns the hosts that may take over a request of this host, in order
// of preference. Hosts that are leaving or being reclaimed are left out; hosts of
// other zones come before those of this zone, each in the order of Rank.
func Receivers(snapshot *control.Snapshot, id string) []control.EntryHost {
	var otherZones, sameZone []control.EntryHost
	for _, host := range Rank(snapshot, id) {
		_, reclaimed := snapshot.Reclaims[host.ID]
		switch {
		case host.Leaving || reclaimed || host.ID == snapshot.Self.ID:
		case host.Zone != snapshot.Self.Zone:
			otherZones = append(otherZones, host)
		default:
			sameZone = append(sameZone, host)
		}
	}
	return append(otherZones, sameZone...)
}

// Mover hands over the requests of one host.
type Mover struct {
	Snapshot   func() *control.Snapshot
	Dispatcher *dispatch.Dispatcher
	Dialer     dial.Dialer
	Events     *event.Logger

	// running is a semaphore held by the HandOver in progress, which owns the fields
	// below.
	running chan struct{}
	// done is set when a HandOver has moved all requests.
	done bool
	// unresponsive holds the IDs of hosts whose last call failed.
	unresponsive map[string]bool
}

// NewMover returns a mover.
func NewMover(snapshot func() *control.Snapshot, d *dispatch.Dispatcher, dialer dial.Dialer, events *event.Logger) *Mover {
	return &Mover{Snapshot: snapshot, Dispatcher: d, Dialer: dialer, Events: events, running: make(chan struct{}, 1), unresponsive: map[string]bool{}}
}

// HandOver moves all requests that can continue at other hosts, including those
// accepted during forwardPeriod. It returns when none is left or ctx is done. It
// waits for a HandOver in progress, and does nothing once one has moved all.
func (m *Mover) HandOver(ctx context.Context) {
	select {
	case m.running <- struct{}{}:
		defer func() { <-m.running }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil || m.done {
		return
	}
	start := time.Now()
	moved := 0
	for ctx.Err() == nil {
		moved += m.round(ctx)
		if time.Since(start) >= forwardPeriod {
			m.Dispatcher.Close()
			if len(m.Dispatcher.Movable()) == 0 {
				m.done = true
				break
			}
		}
		wait(ctx, roundInterval)
	}
	m.Events.Emit(eventHandedOver, zap.Int("requests", moved), zap.Duration("took", time.Since(start)))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// round sends each movable request once to its receiver and returns the number
// of requests that receivers took over.
func (m *Mover) round(ctx context.Context) int {
	snapshot := m.Snapshot()
	groups := map[control.EntryHost][]*dispatch.Call{}
	for _, call := range m.Dispatcher.Movable() {
		if to, ok := m.receiver(snapshot, call.Request.ID); ok {
			groups[to] = append(groups[to], call)
		}
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	taken := 0
	for to, calls := range groups {
		work.Go(func() {
			for len(calls) > 0 {
				n := min(maxBatch, len(calls))
				got, err := m.send(ctx, to, calls[:n])
				calls = calls[n:]
				mu.Lock()
				taken += got
				m.unresponsive[to.ID] = m.unresponsive[to.ID] || err != nil
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return taken
}

// receiver returns the preferred host for a request, skipping unresponsive hosts.
// If all are unresponsive, it clears that set and returns the first. It reports
// false if there is no host.
func (m *Mover) receiver(snapshot *control.Snapshot, id string) (control.EntryHost, bool) {
	hosts := Receivers(snapshot, id)
	for _, host := range hosts {
		if !m.unresponsive[host.ID] {
			return host, true
		}
	}
	clear(m.unresponsive)
	if len(hosts) == 0 {
		return control.EntryHost{}, false
	}
	return hosts[0], true
}

// send suspends requests and sends them to a host. It resumes the requests that
// the host did not take over.
func (m *Mover) send(ctx context.Context, to control.EntryHost, calls []*dispatch.Call) (int, error) {
	transfers := make([]*peerv1.Transfer, len(calls))
	var work sync.WaitGroup
	for i, call := range calls {
		work.Go(func() { transfers[i] = toPeer(m.Dispatcher.Suspend(ctx, call)) })
	}
	work.Wait()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.Dialer.Peer(to.Address).Handoff(callCtx, &peerv1.HandoffRequest{
		From: m.Snapshot().Self.ID, Transfers: transfers,
	})
	taken := map[string]bool{}
	if err == nil {
		for _, id := range resp.GetTaken() {
			taken[id] = true
		}
	}
	for _, call := range calls {
		if taken[call.Request.ID] {
			m.Dispatcher.MovedTo(call, to.ID)
			continue
		}
		m.Dispatcher.Continue(call)
	}
	return len(taken), err
}

// Receive adopts the requests of a leaving host and returns the IDs of those that
// this host took over.
func Receive(d *dispatch.Dispatcher, req *peerv1.HandoffRequest) *peerv1.HandoffResponse {
	resp := &peerv1.HandoffResponse{}
	for _, transfer := range req.GetTransfers() {
		if d.Adopt(fromPeer(transfer)) {
			resp.Taken = append(resp.Taken, transfer.GetRequest().GetId())
		}
	}
	return resp
}

func toPeer(t dispatch.Transfer) *peerv1.Transfer {
	message := &peerv1.Transfer{Request: t.Request.ToPeer(), Tokens: t.Tokens}
	if t.KV != nil {
		message.KvHandle, message.KvAddress, message.KvTokens = t.KV.Handle, t.KV.Address, int64(t.KV.Tokens)
	}
	if t.Result != nil {
		message.Result = t.Result.ToPeer()
	}
	return message
}

func fromPeer(m *peerv1.Transfer) dispatch.Transfer {
	t := dispatch.Transfer{Request: request.FromPeer(m.GetRequest()), Tokens: m.GetTokens()}
	if m.GetKvHandle() != "" {
		t.KV = &engine.KV{Handle: m.GetKvHandle(), Address: m.GetKvAddress(), Tokens: int(m.GetKvTokens())}
	}
	if m.GetResult() != nil {
		result := request.ResultFromPeer(m.GetResult())
		t.Result = &result
	}
	return t
}
