// Package handoff moves the accepted requests of a host that is to stop to
// hosts in other availability zones.
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
	// linger is how long a leaving host takes requests of callers who learnt of
	// it before, and hands them on.
	linger = 2500 * time.Millisecond
	// interval is the time between two rounds.
	interval = 100 * time.Millisecond
	// batch bounds the requests of one call.
	batch       = 32
	callTimeout = 2 * time.Second
)

// Rank orders the live hosts by which should have a request whose host is
// gone: the highest rendezvous weight of the request's ID first.
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

// Receivers returns the hosts that may take a request of this host, the best
// first: those that stay, in other zones and then in this one, each by rank.
func Receivers(snapshot *control.Snapshot, id string) []control.EntryHost {
	var far, near []control.EntryHost
	for _, host := range Rank(snapshot, id) {
		_, reclaimed := snapshot.Reclaims[host.ID]
		switch {
		case host.Leaving || reclaimed || host.ID == snapshot.Self.ID:
		case host.Zone != snapshot.Self.Zone:
			far = append(far, host)
		default:
			near = append(near, host)
		}
	}
	return append(far, near...)
}

// Mover hands over the requests of one host.
type Mover struct {
	Snapshot   func() *control.Snapshot
	Dispatcher *dispatch.Dispatcher
	Dialer     dial.Dialer
	Events     *event.Logger

	// turn is held by the one HandOver that runs, which owns the fields below.
	turn chan struct{}
	done bool
	// failed holds the hosts that did not answer.
	failed map[string]bool
}

// NewMover returns a mover.
func NewMover(snapshot func() *control.Snapshot, d *dispatch.Dispatcher, dialer dial.Dialer, events *event.Logger) *Mover {
	return &Mover{Snapshot: snapshot, Dispatcher: d, Dialer: dialer, Events: events, turn: make(chan struct{}, 1), failed: map[string]bool{}}
}

// HandOver moves all requests that may go on elsewhere, also those that callers
// still send for a while. It returns when none is left or the context ends.
func (m *Mover) HandOver(ctx context.Context) {
	select {
	case m.turn <- struct{}{}:
		defer func() { <-m.turn }()
	case <-ctx.Done():
	}
	if ctx.Err() != nil || m.done {
		return
	}
	began := time.Now()
	moved := 0
	for ctx.Err() == nil {
		moved += m.round(ctx)
		if time.Since(began) >= linger {
			m.Dispatcher.Close()
			if len(m.Dispatcher.Movable()) == 0 {
				m.done = true
				break
			}
		}
		wait(ctx, interval)
	}
	m.Events.Emit(eventHandedOver, zap.Int("requests", moved), zap.Duration("took", time.Since(began)))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// round offers each request once to its receiver and returns how many were taken.
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
				n := min(batch, len(calls))
				got, err := m.send(ctx, to, calls[:n])
				calls = calls[n:]
				mu.Lock()
				taken += got
				m.failed[to.ID] = m.failed[to.ID] || err != nil
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return taken
}

// receiver returns the best host for a request that has not failed to answer;
// when all have, they are tried anew.
func (m *Mover) receiver(snapshot *control.Snapshot, id string) (control.EntryHost, bool) {
	hosts := Receivers(snapshot, id)
	for _, host := range hosts {
		if !m.failed[host.ID] {
			return host, true
		}
	}
	clear(m.failed)
	if len(hosts) == 0 {
		return control.EntryHost{}, false
	}
	return hosts[0], true
}

// send suspends requests and offers them to a host. What is not taken goes on here.
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

// Receive adopts the requests of a host that leaves and returns those taken.
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
