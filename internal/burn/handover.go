package burn

import (
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
)

// Drain removes all counts from the recorder and returns them with their slots,
// to be imported by another host, which alone reports them from then on.
func (r *Recorder) Drain(now time.Time) []*peerv1.BurnAccount {
	var accounts []*peerv1.BurnAccount
	for i := range r.stripes {
		accounts = append(accounts, r.stripes[i].drain(now)...)
	}
	return accounts
}

func (s *stripe) drain(now time.Time) []*peerv1.BurnAccount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var accounts []*peerv1.BurnAccount
	add := func(account *peerv1.BurnAccount, c *counts) {
		if account.Slots = c.slots(now); len(account.Slots) > 0 {
			accounts = append(accounts, account)
		}
	}
	for key, entry := range s.series {
		requests := &peerv1.BurnAccount{
			Kind: peerv1.BurnAccount_KIND_REQUESTS, Service: key.service, Route: key.route, Customer: key.customer,
		}
		add(requests, &entry.counts)
		for reason, c := range entry.reasons {
			add(&peerv1.BurnAccount{
				Kind: peerv1.BurnAccount_KIND_REASON, Reason: reason,
				Service: key.service, Route: key.route, Customer: key.customer,
			}, c)
		}
	}
	for key, c := range s.causes {
		add(causeAccount(peerv1.BurnAccount_KIND_ATTEMPTS, key), &c.attempts)
		add(causeAccount(peerv1.BurnAccount_KIND_BURNED, key), &c.burned)
	}
	clear(s.series)
	clear(s.causes)
	return accounts
}

func causeAccount(kind peerv1.BurnAccount_Kind, key causeKey) *peerv1.BurnAccount {
	return &peerv1.BurnAccount{
		Kind: kind, Service: key.service, Route: key.route,
		Version: key.version, Zone: key.zone, Upstream: key.upstream,
	}
}

// Import adds accounts that were drained from another host.
func (r *Recorder) Import(accounts []*peerv1.BurnAccount, now time.Time) {
	for _, account := range accounts {
		s := r.stripe(account.GetService(), account.GetRoute())
		s.mu.Lock()
		if c := s.target(account, now); c != nil {
			c.merge(account.GetSlots(), now)
		}
		s.mu.Unlock()
	}
}

// target returns the counts to which an account is added, or nil if its kind is
// unknown.
func (s *stripe) target(account *peerv1.BurnAccount, now time.Time) *counts {
	cause := causeKey{
		account.GetService(), account.GetRoute(), account.GetVersion(), account.GetZone(), account.GetUpstream(),
	}
	customer := seriesKey{account.GetService(), account.GetRoute(), account.GetCustomer()}
	switch account.GetKind() {
	case peerv1.BurnAccount_KIND_REQUESTS:
		return &s.seriesFor(customer, now).counts
	case peerv1.BurnAccount_KIND_REASON:
		return s.seriesFor(customer, now).reason(account.GetReason())
	case peerv1.BurnAccount_KIND_ATTEMPTS:
		return &s.causeFor(cause, now).attempts
	case peerv1.BurnAccount_KIND_BURNED:
		return &s.causeFor(cause, now).burned
	default:
		return nil
	}
}

// slots returns the non-empty slots that are within their windows.
func (c *counts) slots(now time.Time) []*peerv1.BurnSlot {
	var slots []*peerv1.BurnSlot
	for w := range c {
		newest := slotIndex(w, now)
		for _, s := range c[w] {
			if s.total > 0 && s.index > newest-slotsPerWindow && s.index <= newest {
				slots = append(slots, &peerv1.BurnSlot{Window: int32(w), Index: s.index, Total: s.total, Bad: s.bad})
			}
		}
	}
	return slots
}

// merge adds slots. It drops those of unknown windows, those older than the slot at
// their position, and those more than one slot in the future, which clock
// differences between hosts do not explain.
func (c *counts) merge(slots []*peerv1.BurnSlot, now time.Time) {
	for _, add := range slots {
		w := int(add.GetWindow())
		if w < 0 || w >= len(c) || add.GetIndex() < 0 || add.GetIndex() > slotIndex(w, now)+1 {
			continue
		}
		s := &c[w][add.GetIndex()%slotsPerWindow]
		if s.index > add.GetIndex() {
			continue
		}
		if s.index < add.GetIndex() {
			*s = slot{index: add.GetIndex()}
		}
		s.total += add.GetTotal()
		s.bad += add.GetBad()
	}
}
