package peer

import (
	"context"
	"net/http"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// followWait is how long one question to another host waits for news.
const followWait = 5 * time.Second

// Follower finds requests on this host and on others.
type Follower struct {
	Snapshot   func() *control.Snapshot
	Dispatcher *dispatch.Dispatcher
	Dialer     dial.Dialer
}

var _ entry.Follower = (*Follower)(nil)

// Follow implements entry.Follower.
func (f *Follower) Follow(r *http.Request, id string, offset int, emit func(entry.Part) error) (bool, error) {
	if call := f.Dispatcher.Find(id); call != nil {
		return true, f.followLocal(r.Context(), call, offset, emit)
	}
	parsed, err := request.ParseID(id)
	if err != nil {
		return false, nil
	}
	return f.followRemote(r.Context(), parsed.Host, id, offset, emit)
}

func (f *Follower) followLocal(ctx context.Context, call *dispatch.Call, offset int, emit func(entry.Part) error) error {
	for {
		view := call.Output.View(offset)
		part := entry.Part{Offset: offset, Tokens: view.Tokens, Result: view.Result}
		if view.Moved != "" {
			host := f.Snapshot().Hosts[view.Moved]
			part.Moved = &host
		}
		if err := emit(part); err != nil || view.Result != nil || part.Moved != nil {
			return err
		}
		offset += len(view.Tokens)
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// followRemote relays from another host, and from the host it names if the
// request has moved.
func (f *Follower) followRemote(ctx context.Context, hostID, id string, offset int, emit func(entry.Part) error) (bool, error) {
	found := false
	for {
		if err := ctx.Err(); err != nil {
			return found, err
		}
		host, known := f.Snapshot().Hosts[hostID]
		if !known || hostID == f.Snapshot().Self.ID {
			return found, nil
		}
		resp, err := f.Dialer.Peer(host.Address).Follow(ctx, &peerv1.FollowRequest{
			Id: id, Offset: int64(offset), WaitMs: followWait.Milliseconds(),
		})
		if err != nil {
			return found, err
		}
		if !resp.GetFound() {
			return found, nil
		}
		found = true
		if moved := resp.GetMoved(); moved != "" {
			hostID = moved
			continue
		}
		part := entry.Part{Offset: offset, Tokens: resp.GetTokens()}
		if resp.GetResult() != nil {
			result := request.ResultFromPeer(resp.GetResult())
			part.Result = &result
		}
		if err := emit(part); err != nil || part.Result != nil {
			return true, err
		}
		offset += len(resp.GetTokens())
	}
}

// Cancel implements entry.Follower.
func (f *Follower) Cancel(r *http.Request, id string) bool {
	if f.Dispatcher.Cancel(id) {
		return true
	}
	parsed, err := request.ParseID(id)
	if err != nil {
		return false
	}
	host, known := f.Snapshot().Hosts[parsed.Host]
	if !known {
		return false
	}
	resp, err := f.Dialer.Peer(host.Address).Cancel(r.Context(), &peerv1.CancelRequest{Id: id})
	return err == nil && resp.GetFound()
}
