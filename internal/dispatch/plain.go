package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/marigoldmux/marigoldmux/internal/request"
	"github.com/marigoldmux/marigoldmux/internal/route"
	"github.com/marigoldmux/marigoldmux/internal/upstream"
	"github.com/marigoldmux/marigoldmux/internal/upstream/plain"
)

// runPlain runs an idempotent call of a plain service.
func (d *Dispatcher) runPlain(ctx context.Context, call *Call) request.Result {
	failed := map[string]bool{}
	for {
		lease, end := d.acquire(ctx, call, failed)
		if end != nil {
			return *end
		}
		resp, err := d.callPlain(ctx, call, lease)
		if err == nil {
			return plainResult(resp)
		}
		if end := d.afterFailure(ctx, call, lease, err, failed); end != nil {
			return *end
		}
	}
}

func plainResult(resp plain.Response) request.Result {
	return request.Result{Outcome: request.Answer, ContentType: resp.ContentType, Body: resp.Body}
}

func (d *Dispatcher) callPlain(ctx context.Context, call *Call, lease *route.Lease) (plain.Response, error) {
	defer lease.Release()
	call.Request.Attempts++
	a := &attempt{call: call, upstream: lease.Upstream, started: time.Now()}
	resp, err := d.opts.Dialer.Plain(lease.Upstream.Address).Call(ctx, plain.Call{
		RequestID: fmt.Sprintf("%s/%d", call.Request.ID, call.Request.Attempts),
		Route:     call.Request.Route,
		Body:      call.Request.Body,
		Once:      !call.route.Idempotent,
	})
	d.reportAttempt(a, err)
	if upstream.KindOf(err) == upstream.Mismatched && err != nil {
		d.counters.Mismatched.Add(1)
	}
	return resp, err
}
