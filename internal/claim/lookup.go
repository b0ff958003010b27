package claim

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// firstReadTimeout bounds the wait for the first read of a shard.
	firstReadTimeout = 500 * time.Millisecond
	// lookupInterval is the minimum time between two lookups at other hosts.
	lookupInterval = 100 * time.Millisecond
)

// Await implements Claims.
func (s *Store) Await(ctx context.Context, key string, holder Holder) *request.Result {
	if found := s.lookupAtPeers(ctx, key, holder); found != nil {
		return &found.Result
	}
	if result := s.loggedResult(key, holder.Incarnation, time.Now()); result != nil {
		return result
	}
	pause(ctx, lookupInterval)
	return nil
}

// loggedResult returns the result of a key in the records read so far from the log
// service, or nil if there is none. A ticket of a retired incarnation without a
// result was not dispatched.
func (s *Store) loggedResult(key, incarnation string, now time.Time) *request.Result {
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
	if _, retired := state.Retired[incarnation]; retired && recentTicketOf(key, incarnation, now) && covers(state, key) {
		return &notDispatched
	}
	return nil
}

// LocalResult returns the result of a key that this process has or keeps a copy
// of, or nil. While the call runs here it waits for the result; running is set
// when ctx is done before that.
func (s *Store) LocalResult(ctx context.Context, key, incarnation string) (found *KeyResult, running bool) {
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
func (s *Store) HomeHost(key string) string { return homeHost(s.snapshot(), shardIndex(key)) }

// Lookup returns the result of a key without claiming it, or nil if neither this
// host nor its peers nor the log service has one.
func (s *Store) Lookup(ctx context.Context, key string) *request.Result {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	t, err := ticketIn(key)
	holder := Holder{}
	if err == nil {
		holder = Holder{Host: t.Host, Incarnation: t.Incarnation}
	}
	if found, running := s.LocalResult(ctx, key, holder.Incarnation); found != nil || running {
		return resultOf(found)
	}
	sh := s.shardOf(key)
	readCtx, cancelRead := context.WithTimeout(ctx, firstReadTimeout)
	defer cancelRead()
	// If the log service is not available, the peers may have the result.
	_ = sh.await(readCtx, func(fold *logfold.Fold[State]) bool { return fold.Next() > 0 })
	if result := s.loggedResult(key, holder.Incarnation, time.Now()); result != nil {
		return result
	}
	if err != nil {
		holder = s.holderOf(sh, key)
	}
	return resultOf(s.lookupAtPeers(ctx, key, holder))
}

func resultOf(found *KeyResult) *request.Result {
	if found == nil {
		return nil
	}
	return &found.Result
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
