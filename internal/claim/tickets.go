package claim

import (
	"time"

	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/ticket"
)

// IssueTicket returns a key that only this process may dispatch, or an empty
// string if the process has retired.
func (s *Store) IssueTicket(now time.Time) string {
	s.mu.Lock()
	retired := s.retired
	s.mu.Unlock()
	if retired {
		return ""
	}
	return s.tickets.Issue(now)
}

// acquireTicket decides on a ticket for which this process has just created an
// entry. It removes the entry unless the verdict is Dispatch.
func (s *Store) acquireTicket(key string, own *ownEntry, now time.Time) Decision {
	decision := s.decideTicket(key, own, now)
	if decision.Verdict != Dispatch {
		s.drop(key, own)
	}
	return decision
}

func (s *Store) decideTicket(key string, own *ownEntry, now time.Time) Decision {
	t, err := ticketIn(key)
	if err != nil {
		return refused(request.NotRun, request.ReasonInvalid)
	}
	if t.Incarnation != s.self.Incarnation {
		return s.decideForeignTicket(key, own, t, now)
	}
	if _, err := s.tickets.Check(unscoped(key)); err != nil {
		return refused(request.NotRun, request.ReasonInvalid)
	}
	switch {
	// The entry of a call that ran is retained until at least entryRetention after the
	// ticket's issue. Until then, a missing entry shows that the call did not run.
	case now.After(t.Expires.Add(entryRetention - ticket.Lifetime)):
		return refused(request.Unknown, request.ReasonKeyExpired)
	case now.After(t.Expires):
		return refused(request.NotRun, request.ReasonKeyExpired)
	case !s.grant(own):
		return refused(request.NotRun, request.ReasonLeaving)
	default:
		return Decision{Verdict: Dispatch}
	}
}

// decideForeignTicket decides on a ticket of another process.
func (s *Store) decideForeignTicket(key string, own *ownEntry, t ticket.Ticket, now time.Time) Decision {
	if found := s.copies.get(key, t.Incarnation, now); found != nil {
		if found.Fingerprint != own.fingerprint && found.Result.Outcome != request.NotRun {
			return refused(request.NotRun, request.ReasonClaimedBefore)
		}
		return Decision{Verdict: Stored, Result: found.Result}
	}
	if result := s.loggedResult(key, t.Incarnation, now); result != nil {
		return Decision{Verdict: Stored, Result: *result}
	}
	return Decision{Verdict: Elsewhere, Holder: Holder{Host: t.Host, Incarnation: t.Incarnation}}
}

// Unused implements Claims. It can report true only for this process's own
// tickets.
func (s *Store) Unused(key string) bool {
	t, err := ticketIn(key)
	if err != nil || t.Incarnation != s.self.Incarnation || time.Now().After(t.Expires) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own[key] == nil
}
