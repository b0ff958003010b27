package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/topic"
)

// readLedger reads the ledger and its position from the log. It reports whether it
// succeeded.
func (d *Driver) readLedger(ctx context.Context) bool {
	entries, end, err := d.Log.Newest(ctx, ledgerTopic)
	if err != nil {
		d.Events.Emit(eventLedgerFailed, zap.String("step", "read"), event.Err(err))
		return false
	}
	if end.Epoch < d.end.Epoch {
		err = eris.Wrapf(topic.ErrUnavailable, "response of epoch %d, behind epoch %d", end.Epoch, d.end.Epoch)
		d.Events.Emit(eventLedgerFailed, zap.String("step", "read"), event.Err(err))
		return false
	}
	ledger, _, err := newestLedger(entries)
	if err != nil {
		d.Events.Emit(eventLedgerFailed, zap.String("step", "parse"), event.Err(err))
		return false
	}
	d.ledger, d.end = ledger, end
	return true
}

// newestLedger returns the ledger among the entries of its topic. It reports whether there is
// one; otherwise the ledger is empty.
func newestLedger(entries []topic.Entry) (ledger Ledger, known bool, err error) {
	for _, entry := range entries {
		if entry.Key == ledgerKey {
			ledger, err = ParseLedger(entry.Value)
			return ledger, true, err
		}
	}
	return Ledger{}, false, nil
}

// writeLedger writes a ledger to the log unless another host has written since the
// last read. It reports whether the ledger in the log is the given one. After a
// conflict or an unknown outcome it reads the ledger to find out.
func (d *Driver) writeLedger(ctx context.Context, next Ledger) bool {
	requestedAt := d.Clock.Now()
	if d.ProvenVersion != nil {
		next.ConfigVersion = max(next.ConfigVersion, d.ProvenVersion(d.end.Epoch))
	}
	next.WriteID = rand.Uint64() >> 12 // 52 bits, which JSON readers can hold exactly
	data, err := next.Encode()
	if err != nil {
		d.Events.Emit(eventLedgerFailed, zap.String("step", "encode"), event.Err(err))
		return false
	}
	end, err := d.Log.Put(ctx, ledgerTopic, ledgerKey, data, d.end)
	if err == nil {
		d.ledger, d.end = next, end
		d.confirm(requestedAt)
		return true
	}
	d.Events.Emit(eventLedgerFailed, zap.String("step", "write"), zap.Int64("token", next.Token), event.Err(err))
	if errors.Is(err, topic.ErrUnavailable) {
		return false
	}
	previous := d.ledger
	if !d.readLedger(ctx) {
		d.ledger = previous
		return false
	}
	if d.ledger.WriteID == next.WriteID && d.ledger.OfEpoch(d.end.Epoch) {
		d.confirm(requestedAt)
		return true
	}
	if d.held {
		d.handleForeignLedger(previous)
	}
	return false
}

// handleForeignLedger is called when the holder has read a ledger that it did not write
// last. It steps down if the ledger names another holder.
//
// A ledger of an earlier epoch comes from a copy of the log or was written late, and the
// holder goes on from its own. It does so only while no other host can have claimed the
// duties: such a claim may be lost with what else the copy lacks.
func (d *Driver) handleForeignLedger(previous Ledger) {
	now := d.Clock.Now()
	switch {
	case !d.ledger.OfEpoch(d.end.Epoch) && now-d.writtenAt < ledgerIdleAfter:
		d.ledger = previous
	case !d.ledger.OfEpoch(d.end.Epoch):
		d.stepDown("the ledger is of an earlier epoch", now)
	case d.ledger.Holder != d.Host || d.ledger.Incarnation != d.Incarnation:
		d.stepDown("the ledger names "+d.ledger.Holder, now)
	}
}

// confirm records that the log held the ledger written by a request that was sent at
// the boot time requestedAt.
func (d *Driver) confirm(requestedAt time.Duration) {
	d.writtenAt = requestedAt
	d.confirmedAt.Store(int64(requestedAt))
	d.written = d.ledger
	if d.ledger.Holder == d.Host {
		d.token.Store(d.ledger.Token)
	}
}
