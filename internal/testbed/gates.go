package testbed

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

// gatedLog is the log service as seen by one host.
type gatedLog struct{ n *Node }

func (l *gatedLog) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	if l.n.gate(ctx) != nil || l.n.logUnreachable() {
		return 0, logsvc.ErrUnavailable
	}
	return l.n.cluster.Log.Append(ctx, stream, id, data)
}

func (l *gatedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logsvc.Page, error) {
	if l.n.gate(ctx) != nil || l.n.logUnreachable() {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	page, err := l.n.cluster.Log.Read(ctx, stream, from, limit, wait)
	if l.n.logUnreachable() {
		return logsvc.Page{}, logsvc.ErrUnavailable
	}
	return page, err
}

// dialer creates the clients of one host.
type dialer struct{ n *Node }

// Engine implements dial.Dialer.
func (d *dialer) Engine(address string) engine.Engine {
	d.n.cluster.mu.Lock()
	defer d.n.cluster.mu.Unlock()
	return &gatedEngine{Engine: d.n.cluster.Engines[address], n: d.n}
}

// Plain implements dial.Dialer.
func (d *dialer) Plain(address string) plain.Service {
	d.n.cluster.mu.Lock()
	defer d.n.cluster.mu.Unlock()
	return &gatedPlain{Service: d.n.cluster.Plains[address], n: d.n}
}

// Peer implements dial.Dialer.
func (d *dialer) Peer(address string) peerv1connect.PeerServiceClient {
	return &peerClient{node: d.n, to: address}
}

type gatedEngine struct {
	engine.Engine
	n *Node
}

// Generate implements engine.Engine.
func (e *gatedEngine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	if err := e.n.gate(ctx); err != nil {
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	stream, err := e.Engine.Generate(ctx, req)
	if err != nil {
		return nil, err
	}
	return &gatedStream{Stream: stream, n: e.n, ctx: ctx}, nil
}

type gatedStream struct {
	engine.Stream
	n   *Node
	ctx context.Context
}

// Next implements engine.Stream.
func (s *gatedStream) Next() (engine.Chunk, error) {
	if err := s.n.gate(s.ctx); err != nil {
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: err}
	}
	return s.Stream.Next()
}

type gatedPlain struct {
	plain.Service
	n *Node
}

// Call implements plain.Service.
func (p *gatedPlain) Call(ctx context.Context, call plain.Call) (plain.Response, error) {
	if err := p.n.gate(ctx); err != nil {
		return plain.Response{}, &upstream.Failure{Kind: upstream.NotSent, Err: err}
	}
	answer, err := p.Service.Call(ctx, call)
	if gateErr := p.n.gate(ctx); gateErr != nil {
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: gateErr}
	}
	return answer, err
}
