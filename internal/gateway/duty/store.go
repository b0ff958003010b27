package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

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
	ledger := Ledger{}
	for _, entry := range entries {
		if entry.Key != ledgerKey {
			continue
		}
		if ledger, err = ParseLedger(entry.Value); err != nil {
			d.Events.Emit(eventLedgerFailed, zap.String("step", "parse"), event.Err(err))
			return false
		}
	}
	d.ledger, d.end = ledger, end
	return true
}

// writeLedger writes a ledger to the log unless another host has written since the
// last read. It reports whether the ledger in the log is the given one. After a
// conflict or an unknown outcome it reads the ledger to find out.
func (d *Driver) writeLedger(ctx context.Context, next Ledger) bool {
	requestedAt := d.Clock.Now()
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
	if d.ledger.WriteID == next.WriteID {
		d.confirm(requestedAt)
		return true
	}
	if d.held && (d.ledger.Holder != d.Host || d.ledger.Incarnation != d.Incarnation) {
		d.stepDown("the ledger names "+d.ledger.Holder, d.Clock.Now())
	}
	return false
}

// confirm records that the log held the ledger written by a request that was sent at
// the boot time requestedAt.
func (d *Driver) confirm(requestedAt time.Duration) {
	d.writtenAt = requestedAt
	d.confirmedAt.Store(int64(requestedAt))
	if d.ledger.Holder == d.Host {
		d.token.Store(d.ledger.Token)
	}
}
