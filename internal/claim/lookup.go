package claim

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// lookWait bounds the wait for a shard that was not read before.
	lookWait = 500 * time.Millisecond
	// awaitInterval is the least time between two questions to other hosts.
	awaitInterval = 100 * time.Millisecond
)

// Await implements Claims.
func (s *Store) Await(ctx context.Context, key string, holder Holder) *request.Result {
	if ended := s.ask(ctx, key, holder); ended != nil {
		return &ended.Result
	}
	if result := s.stored(key, holder.Incarnation, time.Now()); result != nil {
		return result
	}
	pause(ctx, awaitInterval)
	return nil
}

// stored returns what the log service, as far as it was read, says of a key.
func (s *Store) stored(key, incarnation string, now time.Time) *request.Result {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	state := sh.fold.State()
	if !sh.fold.Complete() {
		return nil
	}
	if e := state.Entries[key]; e != nil && e.Result != nil {
		return e.Result
	}
	if _, retired := state.Retired[incarnation]; retired && ticketOf(key, incarnation, now) && covers(state, key) {
		return &neverRan
	}
	return nil
}

// LocalResult returns the result of a key that this process has, waiting for it
// while the call runs here. Running tells that it still does.
func (s *Store) LocalResult(ctx context.Context, key, incarnation string) (ended *KeyResult, running bool) {
	s.mu.Lock()
	own := s.own[key]
	s.mu.Unlock()
	if own != nil {
		select {
		case <-own.done:
			if own.result != nil {
				return &KeyResult{Key: key, Fingerprint: own.fingerprint, Result: *own.result}, false
			}
		case <-ctx.Done():
			return nil, true
		}
	}
	return s.copies.get(key, incarnation, time.Now()), false
}

// HomeHost implements Claims.
func (s *Store) HomeHost(key string) string { return home(s.snapshot(), shardIndex(key)) }

// Lookup returns the result of a key without claiming it, or nil where neither
// this host nor its peers nor the log service have one.
func (s *Store) Lookup(ctx context.Context, key string) *request.Result {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	t, err := ticketIn(key)
	holder := Holder{}
	if err == nil {
		holder = Holder{Host: t.Host, Incarnation: t.Incarnation}
	}
	if ended, running := s.LocalResult(ctx, key, holder.Incarnation); ended != nil || running {
		return resultOf(ended)
	}
	sh := s.shardOf(key)
	readCtx, cancelRead := context.WithTimeout(ctx, lookWait)
	defer cancelRead()
	// Where the log service is out, the peers are asked.
	_ = sh.await(readCtx, func(fold *logfold.Fold[State]) bool { return fold.Next() > 0 })
	if result := s.stored(key, holder.Incarnation, time.Now()); result != nil {
		return result
	}
	if err != nil {
		holder = s.holderOf(sh, key)
	}
	return resultOf(s.ask(ctx, key, holder))
}

func resultOf(ended *KeyResult) *request.Result {
	if ended == nil {
		return nil
	}
	return &ended.Result
}

func (s *Store) holderOf(sh *shard, key string) Holder {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.fold.State().Entries[key]
	if !sh.fold.Complete() || e == nil {
		return Holder{}
	}
	return e.Holder
}
