package standin

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
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

func (e *Engine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
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
