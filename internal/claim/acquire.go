package claim

import (
	"context"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/logfold"
	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// claimTimeout bounds the time to append a claim and read it back, and that of
// a Lookup.
const claimTimeout = 3 * time.Second

// Acquire implements Claims.
func (s *Store) Acquire(ctx context.Context, key string, fingerprint uint64) (Decision, error) {
	withTicket := isTicket(key)
	for {
		own, created := s.reserve(key, fingerprint)
		if own.fingerprint != fingerprint {
			return refused(request.NotRun, request.ReasonClaimedBefore), nil
		}
		if created && withTicket {
			return s.acquireTicket(key, own, time.Now()), nil
		}
		if created {
			return s.acquireKey(ctx, key, own), nil
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

// reserve returns this process's entry for a key and reports whether it created
// the entry.
func (s *Store) reserve(key string, fingerprint uint64) (*ownEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.own[key]; own != nil {
		return own, false
	}
	own := &ownEntry{
		fingerprint: fingerprint, createdAt: time.Now(), done: make(chan struct{}),
		holder: Holder{Host: s.self.ID, Incarnation: s.self.Incarnation, Number: s.sequence.Add(1)},
	}
	s.own[key] = own
	return own, true
}

// acquireKey claims a key for which this process has just created an entry. It
// removes the entry unless the verdict is Dispatch.
func (s *Store) acquireKey(ctx context.Context, key string, own *ownEntry) Decision {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	sh := s.shardOf(key)
	decision, known := s.decide(sh, key, own)
	if !known {
		decision = s.appendClaim(ctx, sh, key, own)
	}
	if decision.Verdict == Refused && decision.Result.Outcome == request.Unknown {
		decision = s.peerResultOr(ctx, key, own, decision)
	}
	if decision.Verdict != Dispatch {
		s.drop(key, own)
	}
	return decision
}

// peerResultOr returns the result of a key if a peer has a copy of it, else the
// given decision.
func (s *Store) peerResultOr(ctx context.Context, key string, own *ownEntry, decision Decision) Decision {
	found := s.lookupAtPeers(context.WithoutCancel(ctx), key, Holder{})
	switch {
	case found == nil:
		return decision
	case found.Fingerprint != own.fingerprint:
		return refused(request.NotRun, request.ReasonClaimedBefore)
	default:
		return Decision{Verdict: Stored, Result: found.Result}
	}
}

// grant marks an entry as dispatchable and reports whether it did; it does not
// once the process has retired.
func (s *Store) grant(own *ownEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own.granted = !s.retired
	return own.granted
}

// appendClaim appends a claim, reads it back and decides by the state then. A
// claim that is not granted is withdrawn or released.
func (s *Store) appendClaim(ctx context.Context, sh *shard, key string, own *ownEntry) Decision {
	op := sh.enqueue(Op{Acquire: &AcquireOp{Key: key, Fingerprint: own.fingerprint, Holder: own.holder}})
	s.notify()
	err := s.readBack(ctx, sh, op)
	if err == nil {
		if decision, known := s.decide(sh, key, own); known {
			if decision.Verdict == Dispatch && !s.grant(own) {
				decision = refused(request.Unknown, request.ReasonLeaving)
			}
			if decision.Verdict == Refused {
				s.abandon(sh, key, own, op)
			}
			return decision
		}
		return refused(request.Unknown, request.ReasonKeyExpired)
	}
	s.abandon(sh, key, own, op)
	return refused(request.Unknown, request.ReasonLogDown)
}

// readBack waits until an operation has been appended and applied to the state.
func (s *Store) readBack(ctx context.Context, sh *shard, op *queuedOp) error {
	select {
	case offset := <-op.appended:
		return sh.await(ctx, func(fold *logfold.Fold[State]) bool { return fold.Complete() && fold.Next() > offset })
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abandon ensures that a claim which this process will not dispatch does not
// hold the key: it removes the claim from the queue or, if the append may have
// begun, appends a release, which is effective even if the claim arrives later.
func (s *Store) abandon(sh *shard, key string, own *ownEntry, op *queuedOp) {
	if sh.withdraw(op) {
		return
	}
	sh.enqueue(Op{Release: &ReleaseOp{Key: key, Holder: own.holder}})
	s.notify()
}

// decide returns the decision that follows from the shard's state; known is
// false while the state is incomplete or the key is free.
func (s *Store) decide(sh *shard, key string, own *ownEntry) (decision Decision, known bool) {
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

// covers reports whether a state includes all records of a key. For a key
// without a creation time this is the case when the state spans more than the
// retention period of such keys.
func covers(state *State, key string) bool {
	if state.Since.IsZero() {
		return true
	}
	createdAt, err := CreatedAt(key)
	if t, ticketErr := ticketIn(key); ticketErr == nil {
		createdAt, err = t.Expires.Add(-ticket.Lifetime), nil
	}
	if err != nil {
		return state.Swept.After(state.Since.Add(undatedRetention))
	}
	return createdAt.After(state.Since.Add(MaxClockSkew))
}

// drop removes an entry, so that the next call of the key claims it again.
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
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	s.sendCopies(ctx, placementKey(key), []KeyResult{{Key: key, Fingerprint: own.fingerprint, Result: result}}, false)
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
