// Package engine is the client of model engines, which stream generated tokens.
package engine

import (
	"context"
	"errors"
	"time"
)

// ErrStaleFence is returned if an engine refused an order because of an old
// fencing token.
var ErrStaleFence = errors.New("order refused: fencing token is old")

// GenerateRequest is a request to generate tokens.
type GenerateRequest struct {
	// ID is the request's ID; Attempt numbers its attempts from 1. The engine
	// echoes both in every chunk.
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
	// Resume holds the tokens generated so far; the engine continues after them.
	Resume    []string `json:"resume,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// Priority orders requests at the engine; larger is more urgent.
	Priority int `json:"priority"`
	// KV is the handle of an imported KV cache that covers the prompt and Resume.
	KV string `json:"kv,omitempty"`
}

// Chunk is one generated token or the end of a stream.
type Chunk struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
	// Index is the token's position in the complete answer, from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Done is set in the last chunk, which has no token.
	Done bool `json:"done,omitempty"`
	// Recomputed is set in the last chunk: the number of prompt and resumed
	// tokens that the engine had to compute because no cache covered them.
	Recomputed int `json:"recomputed,omitempty"`
}

// Stream is a running generation.
type Stream interface {
	// Next returns the next chunk. Its error is an *upstream.Failure.
	Next() (Chunk, error)
	// Close ends the generation at the engine if it still runs.
	Close() error
}

// Load is an engine's load at the time AsOf.
type Load struct {
	AsOf    time.Time `json:"asOf"`
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	// Slots is the number of requests that the engine runs in one batch.
	Slots int `json:"slots"`
	// CacheTokens and CacheCapacity are the use and size of the KV cache, in tokens.
	CacheTokens   int `json:"cacheTokens"`
	CacheCapacity int `json:"cacheCapacity"`
	// Version is the model version that the engine serves.
	Version string `json:"version"`
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence numbers an engine's events from 1; a gap means lost events.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix.
	Tokens int `json:"tokens"`
	// Evicted is set when the prefix left the cache.
	Evicted bool `json:"evicted,omitempty"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Values of OrderKind.
const (
	// OrderLoad loads a model version or an adapter.
	OrderLoad OrderKind = "load"
	// OrderRole changes the role of the engine.
	OrderRole OrderKind = "role"
)

// Order instructs an engine to load something or to change its role.
type Order struct {
	// ID identifies the order, so that a repeat has no effect.
	ID string `json:"id"`
	// Fence is the fencing token, a log offset; engines that check it refuse
	// orders with a lower one than before.
	Fence int64     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Target is the model version, adapter or role.
	Target string `json:"target"`
}

// KV identifies an exported KV cache.
type KV struct {
	Handle string `json:"handle"`
	// Tokens is the number of tokens that the cache covers.
	Tokens int `json:"tokens"`
	// Address is the address at which the exporting engine serves the cache.
	Address string `json:"address"`
}

// Engine is a client of one model engine. Errors of its methods are
// *upstream.Failure; those of Order may also wrap ErrStaleFence.
type Engine interface {
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Cancel ends a generation. Cancelling an unknown one succeeds.
	Cancel(ctx context.Context, id string) error
	// ExportKV makes the KV cache of a running request available to others.
	ExportKV(ctx context.Context, id string) (KV, error)
	// ImportKV makes the engine fetch an exported cache, whose handle is then valid
	// at this engine too.
	ImportKV(ctx context.Context, kv KV) error
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}
