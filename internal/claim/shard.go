package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/platform/logsvc"
)

const (
	// flushInterval is the least time between two appends to one shard.
	flushInterval = 200 * time.Millisecond
	// ticketLinger is how long results of tickets, of which peers have copies,
	// wait for others to share their append.
	ticketLinger  = 4 * time.Second
	appendTimeout = 2 * time.Second
	retryInterval = 200 * time.Millisecond
	readWait      = 2 * time.Second
	readLimit     = 256
	// idleAfter is how long a shard is read after its last use.
	idleAfter = 10 * time.Second
	// checkpointAge is the age of the newest checkpoint at which the next is due.
	checkpointAge = 10 * time.Minute
	// checkpointRate bounds the mean rate of checkpoints, in bytes a second.
	checkpointRate = 512
)

// queued is a change that waits for its append.
type queued struct {
	op Op
	// appended takes the offset of the record that holds the change.
	appended chan int64
}

// shard is one stream of claims as this process knows it.
type shard struct {
	stream string
	log    logsvc.Log
	// nextID returns unique names for records.
	nextID func() string

	mu   sync.Mutex
	fold *logfold.Fold[State]
	// changed is closed and replaced at each progress of the fold.
	changed chan struct{}
	queue   []*queued
	// hurry ends the wait of a queue of results of tickets.
	hurry chan struct{}
	// sending is the batch whose append is under way or is tried again.
	sending  []*queued
	tailing  bool
	flushing bool
	// pinned keeps the shard read while it is not used.
	pinned bool
	// waiting counts the callers of await.
	waiting  int
	lastUsed time.Time
	// truncatedAt is the oldest offset since the fold lost its start.
	truncatedAt int64
	// checkpointSize is the size of the last checkpoint, in bytes.
	checkpointSize int
}

func newShard(stream string, log logsvc.Log, nextID func() string) *shard {
	return &shard{
		stream: stream, log: log, nextID: nextID,
		fold: logfold.New(Apply), changed: make(chan struct{}), hurry: make(chan struct{}, 1),
	}
}

// progress wakes all that wait for the fold. The caller holds the lock.
func (s *shard) progress() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits until a condition holds; the condition is called with the lock
// held. It returns the context's error.
func (s *shard) await(ctx context.Context, holds func(*logfold.Fold[State]) bool) error {
	s.wait(1)
	defer s.wait(-1)
	for {
		s.mu.Lock()
		done, changed := holds(s.fold), s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *shard) wait(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
	s.lastUsed = time.Now()
}

// enqueue adds a change to the next batch.
func (s *shard) enqueue(op Op) *queued {
	q := &queued{op: op, appended: make(chan int64, 1)}
	if !op.mayLinger() {
		select {
		case s.hurry <- struct{}{}:
		default:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, q)
	return q
}

// withdraw takes a change out of the queue and reports false when its append
// may have begun.
func (s *shard) withdraw(q *queued) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queue {
		if other == q {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// tail reads the shard until it is idle or the context ends.
func (s *shard) tail(ctx context.Context) {
	for ctx.Err() == nil && !s.stopIdle() {
		s.mu.Lock()
		next := s.fold.Next()
		s.mu.Unlock()
		page, err := s.log.Read(ctx, s.stream, next, readLimit, readWait)
		var truncated *logsvc.TruncatedError
		switch {
		case errors.As(err, &truncated):
			s.mu.Lock()
			s.fold.Truncate(truncated.Oldest)
			s.truncatedAt = truncated.Oldest
			s.mu.Unlock()
		case err != nil:
			pause(ctx, retryInterval)
		default:
			s.take(page)
		}
	}
}

// stopIdle ends the reading of a shard that is not used.
func (s *shard) stopIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pinned || s.waiting > 0 || time.Since(s.lastUsed) < idleAfter || len(s.sending)+len(s.queue) > 0 {
		return false
	}
	s.tailing = false
	return true
}

func (s *shard) take(page logsvc.Page) {
	if len(page.Records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range page.Records {
		s.fold.ApplyRecord(rec)
	}
	if !s.fold.Complete() && len(page.Records) < readLimit {
		// No retained record is a checkpoint: the state covers what is retained.
		s.fold.SetState(State{Since: page.Records[0].Time}, s.truncatedAt)
	}
	s.progress()
}

// flush appends the queued changes in batches until there are none.
func (s *shard) flush(ctx context.Context) {
	for {
		s.linger(ctx)
		s.mu.Lock()
		s.sending, s.queue = s.queue, nil
		batch := s.sending
		if len(batch) == 0 || ctx.Err() != nil {
			s.flushing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.appendBatch(ctx, batch)
		pause(ctx, flushInterval)
	}
}

// linger waits while the queue holds nothing but results of tickets.
func (s *shard) linger(ctx context.Context) {
	s.mu.Lock()
	short := len(s.queue) == 0
	for _, q := range s.queue {
		short = short || !q.op.mayLinger()
	}
	s.mu.Unlock()
	if short {
		return
	}
	timer := time.NewTimer(ticketLinger)
	defer timer.Stop()
	select {
	case <-s.hurry:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// appendBatch appends a batch until the log service confirms it. Copies of a
// batch do no harm.
func (s *shard) appendBatch(ctx context.Context, batch []*queued) {
	content := Batch{}
	for _, q := range batch {
		content.Ops = append(content.Ops, q.op)
	}
	data, err := logfold.EncodeEntry(content)
	if err != nil {
		return
	}
	if offset, ok := s.appendRecord(ctx, data); ok {
		for _, q := range batch {
			q.appended <- offset
		}
	}
}

func (s *shard) appendRecord(ctx context.Context, data []byte) (int64, bool) {
	id := s.nextID()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := s.log.Append(callCtx, s.stream, id, data)
		cancel()
		if err == nil {
			return offset, true
		}
		pause(ctx, retryInterval)
	}
	return 0, false
}

// checkpoint appends the state.
func (s *shard) checkpoint(ctx context.Context) {
	s.mu.Lock()
	data, err := s.fold.Checkpoint()
	s.checkpointSize = len(data)
	s.mu.Unlock()
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// A checkpoint that is lost is due again.
	_, _ = s.log.Append(callCtx, s.stream, s.nextID(), data)
}

// checkpointDue reports whether a checkpoint should be appended; the larger they
// are, the rarer they come. The caller holds the lock.
func (s *shard) checkpointDue(now time.Time) bool {
	paid := time.Duration(s.checkpointSize/checkpointRate) * time.Second
	return s.fold.Due(now, max(checkpointAge, paid))
}

func shardName(index int) string {
	return fmt.Sprintf("%s/%02d", logsvc.StreamClaims, index)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
