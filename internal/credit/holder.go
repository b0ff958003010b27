package credit

import "time"

// levelMemory is how long a holder trusts the level that a coordinator named.
const levelMemory = 10 * time.Second

// Holder is what one host may send to one upstream.
type Holder struct {
	lease       time.Duration
	coordinator string
	// heard is when the newest grant of the coordinator came; epoch is its Epoch.
	heard time.Time
	epoch int64
	// amount may be used until until.
	amount int
	until  time.Time
	// lentUntil is the end of the time in which the share, or a grant out of
	// it, may be counted elsewhere.
	lentUntil time.Time
	sent      time.Time
	level     int
	levelAt   time.Time
}

// NewHolder returns a holder without a grant, which lends its share and uses
// grants for a lease.
func NewHolder(lease time.Duration) Holder { return Holder{lease: lease} }

// ShouldRequest reports whether the host may send a want to a coordinator now; if so it turns
// to that coordinator. The host waits until its share is its own again before it
// turns to another one.
func (h *Holder) ShouldRequest(now time.Time, coordinator string) bool {
	if coordinator == h.coordinator {
		return true
	}
	if now.Before(h.lentUntil) {
		return false
	}
	h.coordinator = coordinator
	h.epoch = 0
	h.heard = time.Time{}
	return true
}

// Sent returns the want to send now and counts the share as lent if the coordinator
// will count it.
func (h *Holder) Sent(now time.Time, w Request) Request {
	w.Sent = now.UnixMilli()
	w.Lease = h.lease
	h.sent = now
	if h.epoch != 0 && now.Sub(h.heard) < h.lease {
		w.Echo = h.epoch
		h.lentUntil = h.heard.Add(2 * h.lease)
	}
	return w
}

// LastSent returns the time of the last want.
func (h *Holder) LastSent() time.Time { return h.sent }

// Coordinator returns the coordinator to which the host turned last.
func (h *Holder) Coordinator() string { return h.coordinator }

// Receive takes a grant and reports whether it is news.
func (h *Holder) Receive(now time.Time, from string, g Grant, level int) bool {
	if from != h.coordinator || g.Epoch <= h.epoch {
		return false
	}
	h.epoch, h.heard = g.Epoch, now
	h.amount = g.Amount
	h.until = time.UnixMilli(g.InReplyTo).Add(h.lease)
	h.level, h.levelAt = level, now
	return true
}

// Level returns the level that a coordinator named lately, or 0.
func (h *Holder) Level(now time.Time) int {
	if h.levelAt.IsZero() || now.Sub(h.levelAt) >= levelMemory {
		return 0
	}
	return h.level
}

// Limit returns what the host may have in flight and until when; the zero time
// sets no end. Without a grant it is the host's own share once that is lent to
// nobody.
func (h *Holder) Limit(now time.Time, members, coldLevel int) (int, time.Time) {
	if now.Before(h.until) {
		return h.amount, h.until
	}
	if now.Before(h.lentUntil) {
		return 0, time.Time{}
	}
	level := h.Level(now)
	if level == 0 {
		level = coldLevel
	}
	return level / max(1, members), time.Time{}
}
