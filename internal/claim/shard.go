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
	// flushInterval is the minimum time between two appends to one shard.
	flushInterval = 200 * time.Millisecond
	// ticketFlushDelay is how long results of tickets, of which peers have copies,
	// are queued so that they share an append with later ones.
	ticketFlushDelay = 4 * time.Second
	appendTimeout    = 2 * time.Second
	retryInterval    = 200 * time.Millisecond
	readWait         = 2 * time.Second
	readLimit        = 256
	// idleAfter is how long a shard is still read after its last use.
	idleAfter = 10 * time.Second
	// checkpointAge is the minimum age of the newest checkpoint at which the next is
	// due.
	checkpointAge = 10 * time.Minute
	// checkpointRate bounds the mean rate of checkpoints, in bytes per second.
	checkpointRate = 512
)

// queuedOp is an operation that waits for its append.
type queuedOp struct {
	op Op
	// appended receives the offset of the record that contains the operation.
	appended chan int64
}

// shard is this process's reader and writer of one stream of claims.
type shard struct {
	stream string
	log    logsvc.Log
	// nextID returns a unique record ID.
	nextID func() string

	mu   sync.Mutex
	fold *logfold.Fold[State]
	// changed is closed and replaced each time records are folded.
	changed chan struct{}
	queue   []*queuedOp
	// urgent ends the delay of a queue that held only deferrable operations.
	urgent chan struct{}
	// appending is the batch whose append is in progress or being retried.
	appending []*queuedOp
	tailing   bool
	flushing  bool
	// pinned is set when the shard is read also while it is not used.
	pinned bool
	// waiting counts the callers of await.
	waiting  int
	lastUsed time.Time
	// truncatedAt is the oldest retained offset at the last read that was truncated.
	truncatedAt int64
	// checkpointSize is the size of the last checkpoint, in bytes.
	checkpointSize int
}

func newShard(stream string, log logsvc.Log, nextID func() string) *shard {
	return &shard{
		stream: stream, log: log, nextID: nextID,
		fold: logfold.New(Apply), changed: make(chan struct{}), urgent: make(chan struct{}, 1),
	}
}

// notifyChanged wakes all callers of await. The caller holds the lock.
func (s *shard) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// await waits until a condition on the fold holds; it calls the condition with
// the lock held. It returns an error only when ctx is done.
func (s *shard) await(ctx context.Context, condition func(*logfold.Fold[State]) bool) error {
	s.addWaiters(1)
	defer s.addWaiters(-1)
	for {
		s.mu.Lock()
		done, changed := condition(s.fold), s.changed
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

func (s *shard) addWaiters(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += delta
	s.lastUsed = time.Now()
}

// enqueue adds an operation to the next batch.
func (s *shard) enqueue(op Op) *queuedOp {
	queued := &queuedOp{op: op, appended: make(chan int64, 1)}
	if !op.deferrable() {
		select {
		case s.urgent <- struct{}{}:
		default:
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, queued)
	return queued
}

// withdraw removes an operation from the queue. It reports false if the append
// may have begun.
func (s *shard) withdraw(queued *queuedOp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.queue {
		if other == queued {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// tail reads the shard until it is idle or the context ends.
func (s *shard) tail(ctx context.Context) {
	for ctx.Err() == nil && !s.stopIfIdle() {
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
			s.applyPage(page)
		}
	}
}

// stopIfIdle marks the shard as no longer read if it is not used, and reports
// whether it did.
func (s *shard) stopIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pinned || s.waiting > 0 || time.Since(s.lastUsed) < idleAfter || len(s.appending)+len(s.queue) > 0 {
		return false
	}
	s.tailing = false
	return true
}

func (s *shard) applyPage(page logsvc.Page) {
	if len(page.Records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range page.Records {
		s.fold.ApplyRecord(rec)
	}
	if !s.fold.Complete() && len(page.Records) < readLimit {
		// No retained record is a checkpoint: the state includes the retained
		// records only.
		s.fold.SetState(State{Since: page.Records[0].Time}, s.truncatedAt)
	}
	s.notifyChanged()
}

// flush appends the queued operations in batches until the queue is empty.
func (s *shard) flush(ctx context.Context) {
	for {
		s.delayFlush(ctx)
		s.mu.Lock()
		s.appending, s.queue = s.queue, nil
		batch := s.appending
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

// delayFlush waits up to ticketFlushDelay while the queue contains only
// deferrable operations.
func (s *shard) delayFlush(ctx context.Context) {
	s.mu.Lock()
	flushNow := len(s.queue) == 0
	for _, queued := range s.queue {
		flushNow = flushNow || !queued.op.deferrable()
	}
	s.mu.Unlock()
	if flushNow {
		return
	}
	timer := time.NewTimer(ticketFlushDelay)
	defer timer.Stop()
	select {
	case <-s.urgent:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// appendBatch retries the append of a batch until the log service confirms it.
// Duplicates are harmless since the fold is idempotent.
func (s *shard) appendBatch(ctx context.Context, batch []*queuedOp) {
	content := Batch{}
	for _, queued := range batch {
		content.Ops = append(content.Ops, queued.op)
	}
	data, err := logfold.EncodeEntry(content)
	if err != nil {
		return
	}
	if offset, ok := s.appendRecord(ctx, data); ok {
		for _, queued := range batch {
			queued.appended <- offset
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

// checkpoint appends a checkpoint of the state.
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
	// If the append fails, a checkpoint is due again at the next check.
	_, _ = s.log.Append(callCtx, s.stream, s.nextID(), data)
}

// checkpointDue reports whether a checkpoint should be appended; large
// checkpoints are appended less often, to keep to checkpointRate. The caller
// holds the lock.
func (s *shard) checkpointDue(now time.Time) bool {
	interval := time.Duration(s.checkpointSize/checkpointRate) * time.Second
	return s.fold.Due(now, max(checkpointAge, interval))
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
