package claim

import (
	"context"

	"github.com/marigoldmux/marigoldmux/internal/request"
)

// Retire ends this process's part in the claims, after its last dispatch. It
// records that all its keys without a result never ran, in the log service
// and, for the time while that is out, at peers. Calls that were dispatched
// and have not ended get the result "unknown". It returns the context's error
// when the log service did not take the records in time.
func (s *Store) Retire(ctx context.Context) error {
	ended := s.endAll()
	waiting := []*queued{}
	for _, sh := range s.usedShards() {
		waiting = append(waiting, sh.enqueue(Op{Retire: &RetireOp{Incarnation: s.self.Incarnation}}))
	}
	s.notify()
	spreadCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	s.spread(spreadCtx, s.self.Incarnation, ended, true)
	for _, q := range waiting {
		select {
		case <-q.appended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// endAll stops the granting of rights and returns all results.
func (s *Store) endAll() []KeyResult {
	s.mu.Lock()
	s.retired = true
	open := []string{}
	for key, own := range s.own {
		if own.granted && own.result == nil {
			open = append(open, key)
		}
	}
	s.mu.Unlock()
	for _, key := range open {
		s.Complete(key, request.Result{Outcome: request.Unknown, Reason: request.ReasonLeaving})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := []KeyResult{}
	for key, own := range s.own {
		if own.result != nil {
			ended = append(ended, KeyResult{Key: key, Fingerprint: own.fingerprint, Result: *own.result})
		}
	}
	return ended
}

// usedShards returns the shards in which this process has keys or tickets.
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
