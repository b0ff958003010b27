package duty

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/marigoldmux/marigoldmux/internal/event"
	"github.com/marigoldmux/marigoldmux/internal/gateway/control"
)

func (d *Driver) report(ctx context.Context, wall time.Time) {
	for window, counts := range d.ledger.Reports {
		if d.sent[window] || wall.After(d.Usage.WindowEnd(window).Add(reportWithin)) || !d.mayAct() {
			continue
		}
		outcome, err := d.Cloud.ReportUsage(ctx, d.ledger.Token, Report{Window: window, Counts: counts})
		if outcome == Done {
			d.sent[window] = true
			d.Events.Emit(eventReported, zap.Int64("window", window), zap.Any("counts", counts), zap.Int64("token", d.ledger.Token))
			continue
		}
		d.failed(outcome, err)
		return
	}
}

func (d *Driver) failed(outcome Outcome, err error) {
	d.Events.Emit(eventCall, zap.String("call", "usage"), zap.Int64("token", d.ledger.Token), event.Err(err))
	if outcome == Refused {
		d.standDown("a call was refused", d.Clock.Now())
		return
	}
	d.pauseTo = d.Clock.Now() + callPause
}

func (d *Driver) order(ctx context.Context, s *control.Snapshot) {
	if d.Planner == nil {
		return
	}
	for _, o := range d.Planner.Orders(s, d.moves(), d.Clock.Now()) {
		if !d.mayAct() {
			return
		}
		outcome, err := d.Cloud.OrderCapacity(ctx, d.ledger.Token, o)
		d.Planner.Ordered(o, outcome, d.Clock.Now())
		if outcome == Done {
			d.Events.Emit(eventOrdered, zap.String("service", o.Service), zap.String("zone", o.Zone),
				zap.Int("count", o.Count), zap.Bool("spot", o.Spot), zap.Int64("token", d.ledger.Token))
			continue
		}
		d.Events.Emit(eventCall, zap.String("call", "capacity"), zap.Int64("token", d.ledger.Token), event.Err(err),
			zap.String("service", o.Service), zap.String("zone", o.Zone), zap.Int("count", o.Count), zap.Bool("spot", o.Spot))
	}
}
