package claim

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// claimWait bounds the wait for the log service.
const claimWait = 3 * time.Second

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
		return sh.await(ctx, func(fold *logfold.Fold[State]) bool { return fold.Complete() && fold.Next() > offset })
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
	if !sh.fold.Complete() {
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
	born, err := CreatedAt(key)
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
	s.spread(ctx, place(key), []KeyResult{{Key: key, Fingerprint: own.fingerprint, Result: result}}, false)
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
