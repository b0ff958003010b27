package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

type waiter struct {
	priority int
	ready    chan struct{}
}

// Generate implements engine.Engine. It waits for a slot, by priority.
func (e *Engine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	e.mu.Lock()
	if e.isDead() {
		e.mu.Unlock()
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: errKilled}
	}
	dead := e.dead
	for len(e.running) >= e.opts.Slots {
		w := e.enqueue(req.Priority)
		e.mu.Unlock()
		select {
		case <-w.ready:
		case <-dead:
			return nil, &upstream.Failure{Kind: upstream.Lost, Err: errKilled}
		case <-ctx.Done():
			e.mu.Lock()
			e.dequeue(w)
			e.mu.Unlock()
			return nil, &upstream.Failure{Kind: upstream.Lost, Err: ctx.Err()}
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	return e.start(ctx, req)
}

func (e *Engine) enqueue(priority int) *waiter {
	w := &waiter{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, w)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority > e.waiting[j].priority })
	return w
}

func (e *Engine) dequeue(w *waiter) {
	for i, queued := range e.waiting {
		if queued == w {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
	e.wakeNext()
}

func (e *Engine) wakeNext() {
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = e.waiting[1:]
	}
}

// start starts a generation; the caller holds the engine's lock.
func (e *Engine) start(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
	if e.isDead() {
		return nil, &upstream.Failure{Kind: upstream.Lost, Err: errKilled}
	}
	if strings.Contains(req.Prompt, CrashMarker) {
		e.kill()
		return nil, &upstream.Failure{Kind: upstream.Lost, Err: errKilled}
	}
	cold := time.Now().Before(e.coldUntil)
	if cold && len(e.running) >= e.opts.ColdSlots {
		e.kill()
		return nil, &upstream.Failure{Kind: upstream.Lost, Err: errOverloaded}
	}
	if e.rand.Float64() < e.activeFault().FailShare {
		return nil, &upstream.Failure{Kind: upstream.Faulted, Err: errFault}
	}
	recomputed := e.admitPrompt(req)
	g := &generation{
		engine:     e,
		ctx:        ctx,
		req:        req,
		index:      len(req.Resume),
		recomputed: recomputed,
		due:        time.Now().Add(e.scale(time.Duration(recomputed) * e.opts.Prefill)),
		dead:       e.dead,
		cancelled:  make(chan struct{}),
	}
	e.running[req.ID] = g
	e.started++
	e.peak = max(e.peak, len(e.running))
	return g, nil
}

// admitPrompt adds the prompt to the cache and returns the number of tokens to
// compute, which is 0 after an import of its KV.
func (e *Engine) admitPrompt(req engine.GenerateRequest) int {
	words := strings.Fields(req.Prompt)
	tokens := len(words) + len(req.Resume)
	if req.KV != "" && e.imported[req.KV] {
		return 0
	}
	hash := prefix.Hash(req.Prompt)
	if e.cache[hash] {
		return tokens - min(prefixTokens, len(words))
	}
	e.cache[hash] = true
	e.events = append(e.events, engine.CacheEvent{
		Sequence: int64(len(e.events) + 1), Prefix: hash, Tokens: min(prefixTokens, len(words)),
	})
	return tokens
}

func (e *Engine) finish(id string, g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] == g {
		delete(e.running, id)
		e.wakeNext()
	}
}

// generation is one running request of an Engine.
type generation struct {
	engine     *Engine
	ctx        context.Context
	req        engine.GenerateRequest
	index      int
	recomputed int
	due        time.Time
	dead       chan struct{}
	cancelled  chan struct{}
	once       sync.Once
}

// Next implements engine.Stream.
func (g *generation) Next() (engine.Chunk, error) {
	chunk := engine.Chunk{ID: g.req.ID, Attempt: g.req.Attempt, Index: g.index}
	if g.index >= g.req.MaxTokens {
		chunk.Done = true
		chunk.Recomputed = g.recomputed
		_ = g.Close()
		return chunk, nil
	}
	g.due = g.due.Add(g.engine.tokenInterval())
	timer := time.NewTimer(time.Until(g.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.dead:
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: errKilled}
	case <-g.cancelled:
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: errCancelled}
	case <-g.ctx.Done():
		return engine.Chunk{}, &upstream.Failure{Kind: upstream.Lost, Err: g.ctx.Err()}
	}
	chunk.Token = Token(g.req.Prompt, g.index)
	g.index++
	return chunk, nil
}

// Close implements engine.Stream.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.cancelled) })
	g.engine.finish(g.req.ID, g)
	return nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(_ context.Context, id string) error {
	e.mu.Lock()
	g := e.running[id]
	e.mu.Unlock()
	if g != nil {
		return g.Close()
	}
	return nil
}
