package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

var errPlainDown = errors.New("plain service down")

// PlainRun is one executed call of a plain service. It is also the response body.
type PlainRun struct {
	Upstream  string `json:"upstream"`
	Route     string `json:"route"`
	RequestID string `json:"requestId"`
	Number    int    `json:"number"`
	// Echo is the body of the call.
	Echo json.RawMessage `json:"echo"`
}

// PlainStore numbers the runs of all plain services that share it, so that
// tests can detect calls that were executed twice.
type PlainStore struct {
	mu   sync.Mutex
	runs []PlainRun
}

// NewPlainStore returns an empty store.
func NewPlainStore() *PlainStore { return &PlainStore{} }

// Runs returns the executed calls.
func (s *PlainStore) Runs() []PlainRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PlainRun(nil), s.runs...)
}

func (s *PlainStore) run(run PlainRun) PlainRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Number = len(s.runs) + 1
	s.runs = append(s.runs, run)
	return run
}

// PlainFault makes a plain service fail.
type PlainFault struct {
	// LoseBefore and LoseAfter are the shares of calls whose connection breaks
	// before or after execution.
	LoseBefore, LoseAfter float64
	// CrossShare is the share of responses that carry another request's ID.
	CrossShare float64
	// FailShare is the share of calls that fail after execution.
	FailShare float64
}

// Plain is an in-process plain service.
type Plain struct {
	id    string
	store *PlainStore
	delay time.Duration

	mu    sync.Mutex
	rand  *rand.Rand
	down  bool
	fault PlainFault
}

var _ plain.Service = (*Plain)(nil)

// NewPlain returns a plain service whose calls take the duration delay.
func NewPlain(id string, store *PlainStore, delay time.Duration, seed uint64) *Plain {
	return &Plain{id: id, store: store, delay: delay, rand: rand.New(rand.NewPCG(seed, 2))}
}

// SetDown stops or starts the service.
func (p *Plain) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetFault sets the service's fault; a zero fault clears it.
func (p *Plain) SetFault(fault PlainFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// Call implements plain.Service.
func (p *Plain) Call(ctx context.Context, call plain.Call) (plain.Response, error) {
	p.mu.Lock()
	down, fault := p.down, p.fault
	draw := p.rand.Float64()
	lateDraw := p.rand.Float64()
	p.mu.Unlock()
	switch {
	case down:
		return plain.Response{}, &upstream.Failure{Kind: upstream.NotSent, Err: errPlainDown}
	case draw < fault.LoseBefore:
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: errPlainDown}
	}
	if !sleep(ctx, p.delay) {
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: ctx.Err()}
	}
	run := p.store.run(PlainRun{Upstream: p.id, Route: call.Route, RequestID: call.RequestID, Echo: call.Body})
	switch {
	case lateDraw < fault.LoseAfter:
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: errPlainDown}
	case lateDraw < fault.LoseAfter+fault.CrossShare:
		return plain.Response{}, &upstream.Failure{Kind: upstream.Mismatched, Err: errors.New("answer to another call")}
	case lateDraw < fault.LoseAfter+fault.CrossShare+fault.FailShare:
		return plain.Response{}, &upstream.Failure{Kind: upstream.Faulted, Err: errPlainDown}
	}
	body, err := json.Marshal(run)
	if err != nil {
		return plain.Response{}, &upstream.Failure{Kind: upstream.Lost, Err: fmt.Errorf("encode: %w", err)}
	}
	return plain.Response{RequestID: call.RequestID, ContentType: "application/json", Body: body}, nil
}
