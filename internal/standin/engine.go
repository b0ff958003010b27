package standin

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/prefix"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/engine"
)

// CrashMarker is a word that crashes the engine when a prompt contains it.
const CrashMarker = "crash-the-engine"

// prefixTokens is the length of the cached prompt prefix in tokens.
const prefixTokens = prefix.Words

var (
	errKilled     = errors.New("engine died")
	errCancelled  = errors.New("generation cancelled")
	errOverloaded = errors.New("engine overloaded while cold")
	errFault      = errors.New("engine fault")
)

var vocabulary = strings.Fields(`recover the charge before opening a valve and weigh every
	cylinder twice then log each gram with lemon sponge vanilla berry cream tasting on Friday`)

// Token returns the token at an index of the response to a prompt.
func Token(prompt string, index int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, index)
	return vocabulary[h.Sum64()%uint64(len(vocabulary))]
}

// Answer returns the complete response to a prompt, with a number of tokens.
func Answer(prompt string, tokens int) []string {
	answer := make([]string, tokens)
	for i := range answer {
		answer[i] = Token(prompt, i)
	}
	return answer
}

// EngineOptions describes an engine.
type EngineOptions struct {
	Version string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// ColdSlots is the maximum number of concurrent requests during a cold start;
	// one more crashes the engine.
	ColdSlots int
	// ColdStart is the duration of the cold start.
	ColdStart time.Duration
	// Prefill is the time to compute one prompt token.
	Prefill time.Duration
	// Between is the time between generated tokens.
	Between time.Duration
	// ChecksFencing makes the engine refuse orders with a stale fencing token.
	ChecksFencing bool
	// LoadLag is the minimum age of load reports; while none is that old, the
	// oldest is returned.
	LoadLag time.Duration
	Seed    uint64
}

// EngineFault makes an engine fail requests or slows it.
type EngineFault struct {
	// FailShare is the share of requests that fail.
	FailShare float64
	// Slowdown multiplies the engine's prefill and token times; 0 counts as 1.
	Slowdown float64
	// MinRunning is the smallest number of running requests at which the fault is
	// active.
	MinRunning int
}

// Engine is an in-process model engine.
type Engine struct {
	opts EngineOptions

	mu        sync.Mutex
	rand      *rand.Rand
	fault     EngineFault
	coldUntil time.Time
	dead      chan struct{}
	running   map[string]*generation
	waiting   []*waiter
	cache     map[uint64]bool
	events    []engine.CacheEvent
	imported  map[string]bool
	fence     int64
	orders    []engine.Order
	reports   []engine.Load
	peak      int
	started   int
}

var _ engine.Engine = (*Engine)(nil)

type waiter struct {
	priority int
	ready    chan struct{}
}

// NewEngine returns a running engine, in its cold start if the options have one.
func NewEngine(opts EngineOptions) *Engine {
	e := &Engine{
		opts:     opts,
		rand:     rand.New(rand.NewPCG(opts.Seed, 1)),
		dead:     make(chan struct{}),
		running:  map[string]*generation{},
		cache:    map[uint64]bool{},
		imported: map[string]bool{},
	}
	e.coldUntil = time.Now().Add(opts.ColdStart)
	return e
}

// SetFault sets the engine's fault; a zero fault clears it.
func (e *Engine) SetFault(fault EngineFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// TurnCold empties the cache and puts the engine into a cold start for a duration,
// without ending running generations.
func (e *Engine) TurnCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
	e.cache = map[uint64]bool{}
}

// Kill ends the engine and all its generations.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

func (e *Engine) kill() {
	select {
	case <-e.dead:
	default:
		close(e.dead)
	}
	e.running = map[string]*generation{}
	e.waiting = nil
}

// Restart kills the engine and starts it again with a cold start and an empty
// cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
	e.dead = make(chan struct{})
	e.cache = map[uint64]bool{}
	e.coldUntil = time.Now().Add(e.opts.ColdStart)
}

// Started returns the number of generations started.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Peak returns the largest number of concurrent generations.
func (e *Engine) Peak() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// Orders returns the orders that the engine executed.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
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

func (e *Engine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
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

func (e *Engine) activeFault() EngineFault {
	if len(e.running) < e.fault.MinRunning {
		return EngineFault{}
	}
	return e.fault
}

// scale applies the slowdown of an active fault to a duration.
func (e *Engine) scale(d time.Duration) time.Duration {
	if slowdown := e.activeFault().Slowdown; slowdown > 0 {
		return time.Duration(float64(d) * slowdown)
	}
	return d
}

func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scale(e.opts.Between)
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

// ExportKV implements engine.Engine.
func (e *Engine) ExportKV(_ context.Context, id string) (engine.KV, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.running[id]
	if g == nil || e.isDead() {
		return engine.KV{}, &upstream.Failure{Kind: upstream.Invalid, Err: fmt.Errorf("no generation %q", id)}
	}
	tokens := len(strings.Fields(g.req.Prompt)) + g.index
	return engine.KV{Handle: fmt.Sprintf("kv-%s-%d", id, g.index), Tokens: tokens}, nil
}

// ImportKV implements engine.Engine.
func (e *Engine) ImportKV(_ context.Context, kv engine.KV) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead() {
		return &upstream.Failure{Kind: upstream.NotSent, Err: errKilled}
	}
	e.imported[kv.Handle] = true
	return nil
}

// Load implements engine.Engine. Its reports lag by EngineOptions.LoadLag.
func (e *Engine) Load(context.Context) (engine.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead() {
		return engine.Load{}, &upstream.Failure{Kind: upstream.NotSent, Err: errKilled}
	}
	now := time.Now()
	e.reports = append(e.reports, engine.Load{
		AsOf: now, Running: len(e.running), Queued: len(e.waiting), Slots: e.opts.Slots,
		CacheTokens: len(e.cache) * prefixTokens, Version: e.opts.Version,
	})
	shown := 0
	for i, report := range e.reports {
		if now.Sub(report.AsOf) >= e.opts.LoadLag {
			shown = i
		}
	}
	e.reports = e.reports[shown:]
	return e.reports[0], nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(_ context.Context, after int64) ([]engine.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead() {
		return nil, &upstream.Failure{Kind: upstream.NotSent, Err: errKilled}
	}
	start := min(max(int(after), 0), len(e.events))
	return append([]engine.CacheEvent(nil), e.events[start:]...), nil
}

// Order implements engine.Engine.
func (e *Engine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead() {
		return &upstream.Failure{Kind: upstream.NotSent, Err: errKilled}
	}
	if e.opts.ChecksFencing && order.Fence < e.fence {
		return engine.ErrStaleFence
	}
	for _, done := range e.orders {
		if done.ID == order.ID {
			return nil
		}
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	if order.Kind == engine.OrderLoad {
		e.opts.Version = order.Target
	}
	return nil
}
