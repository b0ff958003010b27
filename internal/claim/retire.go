package claim

import (
	"context"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// Retire ends this process's participation in the claims, after its last
// dispatch. It records that all its keys without a result never ran: in the log
// service and, in case that is not available, at peers. Calls that were
// dispatched and have not ended get the result "unknown". It returns an error if
// ctx is done before the log service has stored the records.
func (s *Store) Retire(ctx context.Context) error {
	results := s.completeAll()
	ops := []*queuedOp{}
	for _, sh := range s.usedShards() {
		ops = append(ops, sh.enqueue(Op{Retire: &RetireOp{Incarnation: s.self.Incarnation}}))
	}
	s.notify()
	spreadCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.sendCopies(spreadCtx, s.self.Incarnation, results, true)
	for _, op := range ops {
		select {
		case <-op.appended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// completeAll stops granting rights, completes the unfinished calls as "unknown"
// and returns all results.
func (s *Store) completeAll() []KeyResult {
	s.mu.Lock()
	s.retired = true
	unfinished := []string{}
	for key, own := range s.own {
		if own.granted && own.result == nil {
			unfinished = append(unfinished, key)
		}
	}
	s.mu.Unlock()
	for _, key := range unfinished {
		s.Complete(key, request.Result{Outcome: request.Unknown, Reason: request.ReasonLeaving})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	results := []KeyResult{}
	for key, own := range s.own {
		if own.result != nil {
			results = append(results, KeyResult{Key: key, Fingerprint: own.fingerprint, Result: *own.result})
		}
	}
	return results
}

// usedShards returns the shards in which this process has keys or may have
// tickets.
func (s *Store) usedShards() []*shard {
	indexes := map[int]bool{}
	s.mu.Lock()
	for key := range s.own {
		indexes[shardIndex(key)] = true
	}
	s.mu.Unlock()
	indexes[shardIndexOf(s.self.Incarnation)] = true
	shards := []*shard{}
	for index := range indexes {
		shards = append(shards, s.shardAt(index, true))
	}
	return shards
}
