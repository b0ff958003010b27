package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

const (
	// Shards is the number of streams over which keys are spread.
	Shards = 64
	// claimWait bounds the wait for the log service.
	claimWait = 3 * time.Second
	// lookWait bounds the wait for a shard that was not read before.
	lookWait = 500 * time.Millisecond
	// awaitInterval is the least time between two questions to other hosts.
	awaitInterval = 100 * time.Millisecond
)

// Store keeps claims in the log service.
type Store struct {
	self     control.Self
	snapshot func() *control.Snapshot
	log      logsvc.Log
	peers    Peers
	tickets  *ticket.Issuer
	sequence atomic.Uint64
	copies   copies
	// wake tells Run that a shard needs a goroutine.
	wake chan struct{}

	mu     sync.Mutex
	shards map[int]*shard
	own    map[string]*ownEntry
	// retired tells that this process gets no further rights.
	retired bool
}

// Options are what a Store works with.
type Options struct {
	Self     control.Self
	Snapshot func() *control.Snapshot
	Log      logsvc.Log
	Peers    Peers
	Tickets  *ticket.Issuer
}

// ownEntry is a key that this process claims or has claimed.
type ownEntry struct {
	fingerprint uint64
	holder      Holder
	made        time.Time
	// granted tells that the call may have been dispatched.
	granted bool
	// done is closed when the key has a result or this process gave it up.
	done   chan struct{}
	result *request.Result
}

var _ Claims = (*Store)(nil)

// NewStore returns claims over a log service. Nothing is read or written
// before Run.
func NewStore(opts Options) *Store {
	return &Store{
		self: opts.Self, snapshot: opts.Snapshot, log: opts.Log, peers: opts.Peers, tickets: opts.Tickets,
		wake: make(chan struct{}, 1), shards: map[int]*shard{}, own: map[string]*ownEntry{},
		copies: copies{ended: map[string]kept{}, retired: map[string]time.Time{}},
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
	s.copies.forgetOld(now)
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
	sh := s.shardAt(shardIndex(key), true)
	sh.mu.Lock()
	sh.lastUsed = time.Now()
	sh.mu.Unlock()
	s.notify()
	return sh
}

// shardIndex returns the index of a key's shard. The tickets of one process
// share a shard, so that one record tells of the end of them all.
func shardIndex(key string) int { return shardIndexOf(place(key)) }

func shardIndexOf(place string) int { return int(xxhash.Sum64String(place) % Shards) }

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
	withTicket := isTicket(key)
	for {
		own, mine := s.reserve(key, fingerprint)
		if own.fingerprint != fingerprint {
			return refused(request.NotRun, request.ReasonClaimedBefore), nil
		}
		if mine && withTicket {
			return s.settleTicket(key, own, time.Now()), nil
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
	if decision.Verdict == Refused && decision.Result.Outcome == request.Unknown {
		decision = s.copyOr(ctx, key, own, decision)
	}
	if decision.Verdict != Dispatch {
		s.drop(key, own)
	}
	return decision
}

// copyOr returns the result of a key of which a peer keeps a copy, or else
// the given decision.
func (s *Store) copyOr(ctx context.Context, key string, own *ownEntry, decision Decision) Decision {
	ended := s.ask(context.WithoutCancel(ctx), key, Holder{})
	switch {
	case ended == nil:
		return decision
	case ended.Fingerprint != own.fingerprint:
		return refused(request.NotRun, request.ReasonClaimedBefore)
	default:
		return Decision{Verdict: Stored, Result: ended.Result}
	}
}

// grant gives this process's entry the right to be dispatched, unless the
// process has retired.
func (s *Store) grant(own *ownEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own.granted = !s.retired
	return own.granted
}

// claim appends a claim and reads it back.
func (s *Store) claim(ctx context.Context, sh *shard, key string, own *ownEntry) Decision {
	q := sh.enqueue(Op{Acquire: &AcquireOp{Key: key, Fingerprint: own.fingerprint, Holder: own.holder}})
	s.notify()
	err := s.readBack(ctx, sh, q)
	if err == nil {
		if decision, known := s.look(sh, key, own); known {
			if decision.Verdict == Dispatch && !s.grant(own) {
				decision = refused(request.Unknown, request.ReasonLeaving)
			}
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
	if t, ticketErr := ticketIn(key); ticketErr == nil {
		born, err = t.Expires.Add(-ticket.Lifetime), nil
	}
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
	if !sh.fold.Known() {
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

// Know returns the result of a key that this process has, waiting for it
// while the call runs here. Running tells that it still does.
func (s *Store) Know(ctx context.Context, key, incarnation string) (ended *Ended, running bool) {
	s.mu.Lock()
	own := s.own[key]
	s.mu.Unlock()
	if own != nil {
		select {
		case <-own.done:
			if own.result != nil {
				return &Ended{Key: key, Fingerprint: own.fingerprint, Result: *own.result}, false
			}
		case <-ctx.Done():
			return nil, true
		}
	}
	return s.copies.get(key, incarnation, time.Now()), false
}

// Home implements Claims.
func (s *Store) Home(key string) string { return home(s.snapshot(), shardIndex(key)) }

// Complete implements Claims.
func (s *Store) Complete(key string, result request.Result) {
	s.mu.Lock()
	own := s.own[key]
	if own.result != nil {
		s.mu.Unlock()
		return
	}
	own.result = &result
	close(own.done)
	s.mu.Unlock()
	s.shardOf(key).enqueue(Op{Result: &ResultOp{
		Key: key, Fingerprint: own.fingerprint, Holder: own.holder, Ticket: isTicket(key), Result: result,
	}})
	s.notify()
	ctx, cancel := context.WithTimeout(context.Background(), copyWait)
	defer cancel()
	s.spread(ctx, place(key), []Ended{{Key: key, Fingerprint: own.fingerprint, Result: result}}, false)
}

// Release implements Claims.
func (s *Store) Release(key string) {
	s.mu.Lock()
	own := s.own[key]
	delete(s.own, key)
	s.mu.Unlock()
	if !isTicket(key) {
		s.shardOf(key).enqueue(Op{Release: &ReleaseOp{Key: key, Holder: own.holder}})
		s.notify()
	}
	close(own.done)
}

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
	if ended, running := s.Know(ctx, key, holder.Incarnation); ended != nil || running {
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

func resultOf(ended *Ended) *request.Result {
	if ended == nil {
		return nil
	}
	return &ended.Result
}

func (s *Store) holderOf(sh *shard, key string) Holder {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.fold.State().Entries[key]
	if !sh.fold.Known() || e == nil {
		return Holder{}
	}
	return e.Holder
}
