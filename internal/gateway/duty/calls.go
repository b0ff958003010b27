package duty

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
)

// reportUsage reports the finalized windows that this holder has not reported yet. It
// skips those past reportDeadline, and stops at the first failure.
func (d *Driver) reportUsage(ctx context.Context, wall time.Time) {
	for window, counts := range d.ledger.Reports {
		if d.reported[window] || wall.After(d.Usage.WindowEnd(window).Add(reportDeadline)) || !d.mayAct() {
			continue
		}
		outcome, err := d.Cloud.ReportUsage(ctx, d.grant(), Report{Window: window, Counts: counts})
		if outcome == Done {
			d.reported[window] = true
			d.Events.Emit(eventReported, zap.Int64("window", window), zap.Any("counts", counts), zap.Int64("token", d.ledger.Token))
			continue
		}
		d.handleFailedReport(outcome, err)
		return
	}
}

// handleFailedReport steps down if the call was refused, since a newer holder acts
// then, and pauses otherwise.
func (d *Driver) handleFailedReport(outcome Outcome, err error) {
	d.Events.Emit(eventCallFailed, zap.String("call", "usage"), zap.Int64("token", d.ledger.Token), event.Err(err))
	if outcome == Refused {
		d.stepDown("a call was refused", d.Clock.Now())
		return
	}
	d.pausedUntil = d.Clock.Now() + callRetryDelay
}

// orderCapacity places the orders that are due and passes their outcomes to the
// planner.
func (d *Driver) orderCapacity(ctx context.Context, s *control.Snapshot) {
	if d.Planner == nil {
		return
	}
	for _, o := range d.Planner.Orders(s, d.rolloutStarts(), d.Clock.Now()) {
		if !d.mayAct() {
			return
		}
		outcome, err := d.Cloud.OrderCapacity(ctx, d.grant(), o)
		d.Planner.Ordered(o, outcome, d.Clock.Now())
		if outcome == Done {
			d.Events.Emit(eventOrdered, zap.String("service", o.Service), zap.String("zone", o.Zone),
				zap.Int("count", o.Count), zap.Bool("spot", o.Spot), zap.Int64("token", d.ledger.Token))
			continue
		}
		d.Events.Emit(eventCallFailed, zap.String("call", "capacity"), zap.Int64("token", d.ledger.Token), event.Err(err),
			zap.String("service", o.Service), zap.String("zone", o.Zone), zap.Int("count", o.Count), zap.Bool("spot", o.Spot))
	}
}
