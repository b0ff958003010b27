package credit

import "time"

// levelTTL is how long a holder uses the level received with a grant.
const levelTTL = 10 * time.Second

// Holder tracks what one host may send to one upstream.
type Holder struct {
	lease       time.Duration
	coordinator string
	// receivedAt is when the newest grant was received from the coordinator;
	// epoch is its Epoch.
	receivedAt time.Time
	epoch      int64
	// amount is the number of requests granted until the time until.
	amount int
	until  time.Time
	// lentUntil is when the coordinator has stopped counting this host's share
	// and every grant made out of it has ended.
	lentUntil time.Time
	sentAt    time.Time
	level     int
	levelAt   time.Time
}

// NewHolder returns a holder without a grant. Shares are lent and grants used
// for the duration lease.
func NewHolder(lease time.Duration) Holder { return Holder{lease: lease} }

// ShouldRequest reports whether the host may send a request to the given
// coordinator now, and if so switches to it. The host does not switch to
// another coordinator while its share is lent to the previous one.
func (h *Holder) ShouldRequest(now time.Time, coordinator string) bool {
	if coordinator == h.coordinator {
		return true
	}
	if now.Before(h.lentUntil) {
		return false
	}
	h.coordinator = coordinator
	h.epoch = 0
	h.receivedAt = time.Time{}
	return true
}

// NewRequest returns r with the fields set that the holder determines, to be sent
// at now. If it echoes a grant, it lends the share to the coordinator.
func (h *Holder) NewRequest(now time.Time, r Request) Request {
	r.Sent = now.UnixMilli()
	r.Lease = h.lease
	h.sentAt = now
	if h.epoch != 0 && now.Sub(h.receivedAt) < h.lease {
		r.Echo = h.epoch
		h.lentUntil = h.receivedAt.Add(2 * h.lease)
	}
	return r
}

// LastSent returns when the last request was sent.
func (h *Holder) LastSent() time.Time { return h.sentAt }

// Coordinator returns the current coordinator.
func (h *Holder) Coordinator() string { return h.coordinator }

// Receive applies a grant and reports whether it was new: from the current
// coordinator and newer than the last one.
func (h *Holder) Receive(now time.Time, from string, g Grant, level int) bool {
	if from != h.coordinator || g.Epoch <= h.epoch {
		return false
	}
	h.epoch, h.receivedAt = g.Epoch, now
	h.amount = g.Amount
	h.until = time.UnixMilli(g.InReplyTo).Add(h.lease)
	h.level, h.levelAt = level, now
	return true
}

// Level returns the level received with the newest grant, or 0 if that is
// older than levelTTL.
func (h *Holder) Level(now time.Time) int {
	if h.levelAt.IsZero() || now.Sub(h.levelAt) >= levelTTL {
		return 0
	}
	return h.level
}

// Limit returns the number of requests that the host may have in flight and
// when that limit ends; the zero time means that it does not expire. Without a
// valid grant the limit is 0 while the share is lent, and the host's own share
// after that, computed from coldLevel if no recent level is known.
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
