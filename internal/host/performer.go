package host

import (
	"context"
	"errors"
	"sync"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/cloud"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/platform/weightstore"
)

const (
	callTimeout        = 2 * time.Second
	readLimit          = 256
	readBackoff        = 200 * time.Millisecond
	hostsPoll          = 500 * time.Millisecond
	noticesPoll        = time.Second
	maxOutbox          = 1024
	maxConcurrentCalls = 256
)

// performer does the control loop's I/O.
type performer struct {
	ctx  context.Context
	self control.Self
	loop *control.Loop
	deps Dependencies
	work *sync.WaitGroup
	// slots limits concurrent calls to maxConcurrentCalls.
	slots chan struct{}

	mu sync.Mutex
	// outbox holds the messages to send, by receiver's host ID.
	outbox map[string]*batch
	// sending holds the receivers for which a send goroutine runs.
	sending map[string]bool
	// logUp is the last reported health of the log service, valid if logKnown.
	logUp    bool
	logKnown bool
}

// batch holds the messages that wait to be sent to one receiver.
type batch struct {
	// address is empty if the snapshot's address is to be used.
	address  string
	messages []*peerv1.Message
}

var _ control.Performer = (*performer)(nil)

func newPerformer(ctx context.Context, self control.Self, loop *control.Loop, deps Dependencies, work *sync.WaitGroup) *performer {
	return &performer{
		ctx: ctx, self: self, loop: loop, deps: deps, work: work,
		slots:   make(chan struct{}, maxConcurrentCalls),
		outbox:  map[string]*batch{},
		sending: map[string]bool{},
	}
}

// Perform implements control.Performer.
func (p *performer) Perform(out control.Output) {
	switch out := out.(type) {
	case control.SendMessage:
		p.enqueue(out)
	case control.Append:
		p.startCall(func(ctx context.Context) control.Input { return p.append(ctx, out) })
	case control.PollUpstream:
		p.startCall(func(ctx context.Context) control.Input { return p.pollUpstream(ctx, out) })
	case control.ReadHosts:
		p.startCall(func(ctx context.Context) control.Input {
			list, err := p.deps.Platform.Hosts.Hosts(ctx)
			return control.HostsRead{List: list, Err: err}
		})
	case control.ReadNotices:
		p.startCall(func(ctx context.Context) control.Input {
			notices, err := p.deps.Platform.Cloud.Notices(ctx)
			return control.NoticesRead{Notices: notices, Err: err}
		})
	case control.StartHost:
		p.startCall(func(ctx context.Context) control.Input {
			err := p.deps.Platform.Cloud.Start(ctx, out.StartRequest)
			return control.HostStarted{ID: out.ID, Refused: errors.Is(err, cloud.ErrRefused), Err: err}
		})
	case control.StopHost:
		p.startCall(func(ctx context.Context) control.Input {
			return control.HostStopped{ID: out.ID, Err: p.deps.Platform.Cloud.Stop(ctx, out.ID)}
		})
	case control.OrderEngine:
		p.startCall(func(ctx context.Context) control.Input {
			err := p.deps.Dialer.Engine(out.Address).Order(ctx, out.Order)
			return control.OrderDone{Upstream: out.Upstream, OrderID: out.Order.ID, Err: err}
		})
	case control.ReserveWeights:
		p.startCall(func(ctx context.Context) control.Input { return p.reserveWeights(ctx, out) })
	}
}

// startCall runs a call in a goroutine and puts its result into the loop.
func (p *performer) startCall(call func(ctx context.Context) control.Input) {
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		select {
		case p.slots <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		defer func() { <-p.slots }()
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		if in := call(ctx); in != nil {
			p.loop.Put(p.ctx, in)
		}
	}()
}

func (p *performer) append(ctx context.Context, out control.Append) control.Input {
	offset, err := p.deps.Platform.Log.Append(ctx, out.Stream, out.ID, out.Data)
	if err != nil {
		unknown := !errors.Is(err, logsvc.ErrUnavailable)
		return control.AppendFailed{Stream: out.Stream, ID: out.ID, Unknown: unknown}
	}
	return control.Appended{Stream: out.Stream, ID: out.ID, Offset: offset}
}

func (p *performer) pollUpstream(ctx context.Context, out control.PollUpstream) control.Input {
	engine := p.deps.Dialer.Engine(out.Address)
	load, err := engine.Load(ctx)
	if err == nil && out.CacheAfter >= 0 {
		events, cacheErr := engine.CacheEvents(ctx, out.CacheAfter)
		if cacheErr == nil && len(events) > 0 {
			p.loop.Put(p.ctx, control.CacheChanged{Upstream: out.Upstream, Events: events})
		}
	}
	return control.LoadReported{Upstream: out.Upstream, Load: load, Err: err}
}

func (p *performer) reserveWeights(ctx context.Context, out control.ReserveWeights) control.Input {
	err := p.deps.Platform.Weights.Reserve(ctx, weightstore.Reservation{HostID: out.HostID, Artifact: out.Artifact})
	result := control.WeightsReserved{HostID: out.HostID, Artifact: out.Artifact, Err: err}
	var limited *weightstore.RateLimitedError
	if errors.As(err, &limited) {
		result.RetryAfter = limited.RetryAfter
	}
	return result
}

func (p *performer) enqueue(out control.SendMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending := p.outbox[out.To]
	if pending == nil {
		pending = &batch{}
		p.outbox[out.To] = pending
	}
	if out.Address != "" {
		pending.address = out.Address
	}
	if len(pending.messages) < maxOutbox {
		pending.messages = append(pending.messages, out.Message)
	}
}

// Flush implements control.Performer.
func (p *performer) Flush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to := range p.outbox {
		if !p.sending[to] {
			p.sending[to] = true
			p.work.Add(1)
			go p.send(to)
		}
	}
}

// send delivers the messages in the outbox for a receiver until there are none.
func (p *performer) send(to string) {
	defer p.work.Done()
	for {
		p.mu.Lock()
		pending := p.outbox[to]
		delete(p.outbox, to)
		if pending == nil || p.ctx.Err() != nil {
			delete(p.sending, to)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err := p.deliver(to, pending); err != nil {
			p.loop.Put(p.ctx, control.DeliverFailed{To: to})
		} else {
			p.loop.Put(p.ctx, control.Delivered{To: to})
		}
	}
}

// errNotListed is returned when the address of a receiver is unknown.
var errNotListed = errors.New("host is not listed")

func (p *performer) deliver(to string, pending *batch) error {
	address := pending.address
	if host, known := p.loop.Snapshot().Hosts[to]; address == "" && known {
		address = host.Address
	}
	if address == "" {
		return errNotListed
	}
	ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
	defer cancel()
	_, err := p.deps.Dialer.Peer(address).Deliver(ctx, &peerv1.DeliverRequest{
		From: p.self.ID, Incarnation: p.self.Incarnation, Messages: pending.messages,
	})
	return err
}

// readStream puts a stream's records into the loop until the host stops.
func (p *performer) readStream(stream string) {
	var next int64
	for p.ctx.Err() == nil {
		page, err := p.deps.Platform.Log.Read(p.ctx, stream, next, readLimit, p.readWait())
		var truncated *logsvc.TruncatedError
		switch {
		case errors.As(err, &truncated):
			next = truncated.Oldest
			p.loop.Put(p.ctx, control.Truncated{Stream: stream, Oldest: next})
		case err != nil:
			p.reportLogHealth(false)
			p.sleep(readBackoff)
		default:
			p.reportLogHealth(true)
			for _, rec := range page.Records {
				p.loop.Put(p.ctx, control.Record{Stream: stream, Record: rec})
			}
			next = page.Next
		}
	}
}

func (p *performer) readWait() time.Duration {
	return logsvc.ReadWait(len(p.loop.Snapshot().Hosts))
}

// reportLogHealth reports a change of the log service's health to the loop.
func (p *performer) reportLogHealth(up bool) {
	p.mu.Lock()
	changed := !p.logKnown || p.logUp != up
	p.logUp, p.logKnown = up, true
	p.mu.Unlock()
	if changed {
		p.loop.Put(p.ctx, control.LogHealth{Up: up})
	}
}

func (p *performer) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}
