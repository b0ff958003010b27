package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// ShardCount is the number of streams over which keys are distributed.
const ShardCount = 64

// Store implements Claims with records in the log service.
type Store struct {
	self     control.Self
	snapshot func() *control.Snapshot
	log      logsvc.Log
	peers    Peers
	tickets  *ticket.Issuer
	sequence atomic.Uint64
	copies   copies
	// wake signals Run that a shard needs a goroutine.
	wake chan struct{}

	mu     sync.Mutex
	shards map[int]*shard
	// own holds the keys that this process claims or has claimed.
	own map[string]*ownEntry
	// retired is set when this process grants no further rights.
	retired bool
}

// Options are the dependencies of a Store.
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
	createdAt   time.Time
	// granted is set when the call may have been dispatched.
	granted bool
	// done is closed when the key has a result or this process has given it up.
	done   chan struct{}
	result *request.Result
}

var _ Claims = (*Store)(nil)

// NewStore returns a store. It reads and writes nothing before Run.
func NewStore(opts Options) *Store {
	return &Store{
		self: opts.Self, snapshot: opts.Snapshot, log: opts.Log, peers: opts.Peers, tickets: opts.Tickets,
		wake: make(chan struct{}, 1), shards: map[int]*shard{}, own: map[string]*ownEntry{},
		copies: copies{results: map[string]storedCopy{}, retired: map[string]time.Time{}},
	}
}

// Run reads and appends until ctx is done.
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
			s.maintainHomeShards(ctx, &work, now)
		}
	}
}

// startWork starts the read and append goroutines that shards need and that are
// not running.
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
		if own.result != nil && now.Sub(own.createdAt) > entryRetention {
			delete(s.own, key)
		}
	}
}

func (s *Store) nextID() string {
	return fmt.Sprintf("%s/%d", s.self.Incarnation, s.sequence.Add(1))
}

// shardOf returns the shard of a key and marks it as used, which starts its
// reading.
func (s *Store) shardOf(key string) *shard {
	sh := s.shardAt(shardIndex(key), true)
	sh.mu.Lock()
	sh.lastUsed = time.Now()
	sh.mu.Unlock()
	s.notify()
	return sh
}

// shardIndex returns the index of a key's shard. The tickets of one process share
// a shard, so that one record retires them all.
func shardIndex(key string) int { return shardIndexOf(placementKey(key)) }

func shardIndexOf(placement string) int { return int(xxhash.Sum64String(placement) % ShardCount) }

// shardAt returns the shard of an index. If it does not exist, shardAt creates it
// when create is set and returns nil otherwise.
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
