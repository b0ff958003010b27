package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

const (
	// Shards is the number of streams over which keys are spread.
	Shards = 32
	// claimWait bounds the wait for the log service.
	claimWait = 3 * time.Second
)

// Store keeps claims in the log service.
type Store struct {
	self     control.Self
	snapshot func() *control.Snapshot
	log      logsvc.Log
	sequence atomic.Uint64
	// wake tells Run that a shard needs a goroutine.
	wake chan struct{}

	mu     sync.Mutex
	shards map[int]*shard
	own    map[string]*ownEntry
}

// ownEntry is a key that this process claims or has claimed.
type ownEntry struct {
	fingerprint uint64
	holder      Holder
	made        time.Time
	// done is closed when the key has a result or this process gave it up.
	done   chan struct{}
	result *request.Result
}

var _ Claims = (*Store)(nil)

// NewStore returns claims over a log service. Nothing is read or written
// before Run.
func NewStore(self control.Self, snapshot func() *control.Snapshot, log logsvc.Log) *Store {
	return &Store{
		self: self, snapshot: snapshot, log: log, wake: make(chan struct{}, 1),
		shards: map[int]*shard{}, own: map[string]*ownEntry{},
	}
}

// Run does the reading and appending until the context ends.
func (s *Store) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	ticker := time.NewTicker(homeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.startWork(ctx, &work)
		case now := <-ticker.C:
			s.forgetOld(now)
			s.keepHome(ctx, &work, now)
		}
	}
}

// startWork starts what the shards need and have not.
func (s *Store) startWork(ctx context.Context, work *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sh := range s.shards {
		sh.mu.Lock()
		if !sh.tailing && (sh.pinned || time.Since(sh.lastUsed) < idleAfter) {
			sh.tailing = true
			work.Go(func() { sh.tail(ctx) })
		}
		if !sh.flushing && len(sh.queue) > 0 {
			sh.flushing = true
			work.Go(func() { sh.flush(ctx) })
		}
		sh.mu.Unlock()
	}
}

func (s *Store) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Store) forgetOld(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, own := range s.own {
		if own.result != nil && now.Sub(own.made) > keep {
			delete(s.own, key)
		}
	}
}

func (s *Store) nextID() string {
	return fmt.Sprintf("%s/%d", s.self.Incarnation, s.sequence.Add(1))
}

// shardOf returns the shard of a key, which is read from now on.
func (s *Store) shardOf(key string) *shard {
	sh := s.shardAt(int(xxhash.Sum64String(key)%Shards), true)
	sh.mu.Lock()
	sh.lastUsed = time.Now()
	sh.mu.Unlock()
	s.notify()
	return sh
}

// shardAt returns the shard of an index; where it is not known and create is
// not set, it returns nil.
func (s *Store) shardAt(index int, create bool) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh := s.shards[index]
	if sh == nil && create {
		sh = newShard(shardName(index), s.log, s.nextID)
		s.shards[index] = sh
	}
	return sh
}

// Acquire implements Claims.
func (s *Store) Acquire(ctx context.Context, key string, fingerprint uint64) (Decision, error) {
	for {
		own, mine := s.reserve(key, fingerprint)
		if own.fingerprint != fingerprint {
			return refused(request.NotRun, request.ReasonClaimedBefore), nil
		}
		if mine {
			return s.settle(ctx, key, own), nil
		}
		select {
		case <-own.done:
		case <-ctx.Done():
			return Decision{}, ctx.Err()
		}
		if own.result != nil {
			return Decision{Verdict: Stored, Result: *own.result}, nil
		}
	}
}

func refused(outcome request.Outcome, reason request.Reason) Decision {
	return Decision{Verdict: Refused, Result: request.Result{Outcome: outcome, Reason: reason}}
}

// reserve returns this process's entry of a key and whether it was made now.
func (s *Store) reserve(key string, fingerprint uint64) (*ownEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.own[key]; own != nil {
		return own, false
	}
	own := &ownEntry{
		fingerprint: fingerprint, made: time.Now(), done: make(chan struct{}),
		holder: Holder{Host: s.self.ID, Incarnation: s.self.Incarnation, Number: s.sequence.Add(1)},
	}
	s.own[key] = own
	return own, true
}

// settle claims a key for which this process has just made an entry. Unless
// the verdict is Dispatch, the entry is gone afterwards.
func (s *Store) settle(ctx context.Context, key string, own *ownEntry) Decision {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	sh := s.shardOf(key)
	decision, known := s.look(sh, key, own)
	if !known {
		decision = s.claim(ctx, sh, key, own)
	}
	if decision.Verdict != Dispatch {
		s.drop(key, own)
	}
	return decision
}

// claim appends a claim and reads it back.
func (s *Store) claim(ctx context.Context, sh *shard, key string, own *ownEntry) Decision {
	q := sh.enqueue(Op{Acquire: &AcquireOp{Key: key, Fingerprint: own.fingerprint, Holder: own.holder}})
	s.notify()
	err := s.readBack(ctx, sh, q)
	if err == nil {
		if decision, known := s.look(sh, key, own); known {
			if decision.Verdict == Refused {
				s.giveUp(sh, key, own, q)
			}
			return decision
		}
		return refused(request.Unknown, request.ReasonKeyExpired)
	}
	s.giveUp(sh, key, own, q)
	return refused(request.Unknown, request.ReasonLogDown)
}

// readBack waits until a change was appended and folded.
func (s *Store) readBack(ctx context.Context, sh *shard, q *queued) error {
	select {
	case offset := <-q.appended:
		return sh.await(ctx, func(fold *logfold.Fold[State]) bool { return fold.Known() && fold.Next() > offset })
	case <-ctx.Done():
		return ctx.Err()
	}
}

// giveUp makes sure that a claim whose fate is open is never taken for held:
// this process will not dispatch it, whenever it lands.
func (s *Store) giveUp(sh *shard, key string, own *ownEntry, q *queued) {
	if sh.withdraw(q) {
		return
	}
	sh.enqueue(Op{Release: &ReleaseOp{Key: key, Holder: own.holder}})
	s.notify()
}

// look tells what the shard's state says of a key; known is false while the
// key is free.
func (s *Store) look(sh *shard, key string, own *ownEntry) (decision Decision, known bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !sh.fold.Known() {
		return Decision{}, false
	}
	state := sh.fold.State()
	e := state.Entries[key]
	switch {
	case e == nil || (!e.Held() && e.Result == nil):
		return Decision{}, false
	case e.Fingerprint != own.fingerprint:
		return refused(request.NotRun, request.ReasonClaimedBefore), true
	case e.Result != nil:
		return Decision{Verdict: Stored, Result: *e.Result}, true
	case e.Holder != own.holder:
		return Decision{Verdict: Elsewhere, Holder: e.Holder}, true
	case !covers(state, key):
		return refused(request.Unknown, request.ReasonKeyExpired), true
	default:
		return Decision{Verdict: Dispatch}, true
	}
}

// covers reports whether a state holds all records of a key.
func covers(state *State, key string) bool {
	if state.Since.IsZero() {
		return true
	}
	born, err := Born(key)
	if err != nil {
		return state.Swept.After(state.Since.Add(keepUndated))
	}
	return born.After(state.Since.Add(Skew))
}

// drop forgets an entry, so that the next call of the key asks anew.
func (s *Store) drop(key string, own *ownEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.own, key)
	close(own.done)
}

// Await implements Claims.
func (s *Store) Await(ctx context.Context, key string) bool {
	sh := s.shardOf(key)
	err := sh.await(ctx, func(fold *logfold.Fold[State]) bool {
		e := fold.State().Entries[key]
		return fold.Known() && e != nil && (e.Result != nil || !e.Held())
	})
	return !errors.Is(err, context.DeadlineExceeded) && err == nil
}

// Complete implements Claims.
func (s *Store) Complete(key string, result request.Result) {
	s.mu.Lock()
	own := s.own[key]
	own.result = &result
	close(own.done)
	s.mu.Unlock()
	s.shardOf(key).enqueue(Op{Result: &ResultOp{
		Key: key, Fingerprint: own.fingerprint, Holder: own.holder, Result: result,
	}})
	s.notify()
}

// Release implements Claims.
func (s *Store) Release(key string) {
	s.mu.Lock()
	own := s.own[key]
	delete(s.own, key)
	s.mu.Unlock()
	s.shardOf(key).enqueue(Op{Release: &ReleaseOp{Key: key, Holder: own.holder}})
	s.notify()
	close(own.done)
}
