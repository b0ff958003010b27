// Package engine reaches model engines, which stream generated tokens.
package engine

import (
	"context"
	"errors"
	"time"
)

// ErrStaleFence says that an engine refused an order with an old fencing token.
var ErrStaleFence = errors.New("order refused: fencing token is old")

// GenerateRequest asks an engine to generate tokens.
type GenerateRequest struct {
	// ID is the request's ID; Attempt numbers the tries at it from 1. The
	// engine echoes both in every chunk.
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
	// Resume holds the tokens generated so far; the engine goes on after them.
	Resume    []string `json:"resume,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// Priority orders requests at the engine; larger is more urgent.
	Priority int `json:"priority"`
	// KV names an imported KV cache that covers the prompt and Resume.
	KV string `json:"kv,omitempty"`
}

// Chunk is one generated token or the end of a stream.
type Chunk struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	// Index is the token's position in the whole answer, from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Done marks the end; no token comes with it.
	Done bool `json:"done,omitempty"`
	// Recomputed counts, at the end, the prompt and resumed tokens that the
	// engine had to compute because no cache covered them.
	Recomputed int `json:"recomputed,omitempty"`
}

// Stream is a running generation.
type Stream interface {
	// Next returns the next chunk. Its error is an *upstream.Failure.
	Next() (Chunk, error)
	// Close ends the generation at the engine if it still runs.
	Close() error
}

// Load is an engine's report of its load, as of a time in the past.
type Load struct {
	AsOf    time.Time `json:"asOf"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// Slots is the number of requests that the engine batches.
	Slots int `json:"slots"`
	// CacheTokens and CacheCapacity tell how full the KV cache is, in tokens.
	CacheTokens   int `json:"cacheTokens"`
	CacheCapacity int `json:"cacheCapacity"`
	// Version is the model version that the engine serves.
	Version string `json:"version"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence numbers an engine's events from 1; gaps are lost events.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix.
	Tokens int `json:"tokens"`
	// Evicted tells that the prefix left the cache.
	Evicted bool `json:"evicted,omitempty"`
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad asks an engine to load a model version or an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole asks an engine to change its role.
	OrderRole OrderKind = "role"
)

// Order tells an engine what to load or which role to take.
type Order struct {
	// ID makes the order idempotent.
	ID string `json:"id"`
	// Fence is a log offset; engines that check it refuse lower ones.
	Fence int64     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Target is the model version, adapter or role.
	Target string `json:"target"`
}

// KV names an exported KV cache.
type KV struct {
	Handle string `json:"handle"`
	// Tokens is the number of tokens that the cache covers.
	Tokens int `json:"tokens"`
	// Address is where the exporting engine serves the cache.
	Address string `json:"address"`
}

// Engine is one model engine. Errors of its methods are *upstream.Failure,
// and ErrStaleFence from Order.
type Engine interface {
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Cancel ends a generation; cancelling an unknown one succeeds.
	Cancel(ctx context.Context, id string) error
	// ExportKV makes the KV cache of a running request available to others.
	ExportKV(ctx context.Context, id string) (KV, error)
	// ImportKV fetches an exported cache; the handle is then valid here too.
	ImportKV(ctx context.Context, kv KV) error
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}
