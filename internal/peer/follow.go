package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/entry"
	"github.com/marigoldmux/marigoldmux/internal/handoff"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// errMovedToDeadHost is returned when a request was moved to a host that is no
// longer live; the caller has to retry.
var errMovedToDeadHost = errors.New("request moved to a host that is not live")

// maxCandidates bounds the other hosts that are searched for a request.
const maxCandidates = 12

// followWait is how long one Follow call to another host waits for output.
const followWait = 5 * time.Second

// Follower finds requests on this host and on others.
type Follower struct {
	Snapshot   func() *control.Snapshot
	Dispatcher *dispatch.Dispatcher
	Dialer     dial.Dialer
}

var _ entry.Follower = (*Follower)(nil)

// Follow implements entry.Follower. A request that is not on this host is
// looked up at the host that accepted it, if that is live, and then at the hosts
// that should have taken it over, in order of rank.
func (f *Follower) Follow(r *http.Request, id string, offset int, emit func(entry.Part) error) (bool, error) {
	ctx := r.Context()
	if call := f.Dispatcher.Find(id); call != nil {
		return true, f.followLocal(ctx, call, offset, emit)
	}
	var last error
	for _, host := range f.candidates(id) {
		found, err := f.followRemote(ctx, host, id, offset, emit)
		if found || ctx.Err() != nil {
			return found, err
		}
		last = err
	}
	return false, last
}

// candidates returns the other hosts that may have a request, the likeliest
// first.
func (f *Follower) candidates(id string) []string {
	snapshot := f.Snapshot()
	var hosts []string
	parsed, err := request.ParseID(id)
	if err != nil {
		return nil
	}
	if _, live := snapshot.Hosts[parsed.Host]; live && parsed.Host != snapshot.Self.ID {
		hosts = append(hosts, parsed.Host)
	}
	for _, host := range handoff.Rank(snapshot, id) {
		if len(hosts) < maxCandidates && host.ID != snapshot.Self.ID && host.ID != parsed.Host {
			hosts = append(hosts, host.ID)
		}
	}
	return hosts
}

func (f *Follower) followLocal(ctx context.Context, call *dispatch.Call, offset int, emit func(entry.Part) error) error {
	for {
		view := call.Output.View(offset)
		part := entry.Part{Offset: offset, Tokens: view.Tokens, Result: view.Result}
		if view.Moved != "" {
			host, live := f.Snapshot().Hosts[view.Moved]
			if !live {
				return errMovedToDeadHost
			}
			part.Moved, part.Result = &host, nil
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

// followRemote relays a request's output from another host. If the request has
// moved, the last part names the host that has it now. It reports whether the
// host knew the request.
func (f *Follower) followRemote(ctx context.Context, hostID, id string, offset int, emit func(entry.Part) error) (bool, error) {
	found := false
	for {
		if err := ctx.Err(); err != nil {
			return found, err
		}
		host, known := f.Snapshot().Hosts[hostID]
		if !known {
			return found, nil
		}
		resp, err := f.Dialer.Peer(host.Address).Follow(ctx, &peerv1.FollowRequest{
			Id: id, Offset: int64(offset), WaitMs: followWait.Milliseconds(),
		})
		if err != nil || !resp.GetFound() {
			return found, err
		}
		found = true
		part := entry.Part{Offset: offset, Tokens: resp.GetTokens()}
		if moved, live := f.Snapshot().Hosts[resp.GetMoved()]; live {
			part.Moved = &moved
		} else if resp.GetMoved() != "" {
			return true, errMovedToDeadHost
		}
		if resp.GetResult() != nil && part.Moved == nil {
			result := request.ResultFromPeer(resp.GetResult())
			part.Result = &result
		}
		if err := emit(part); err != nil || part.Result != nil || part.Moved != nil {
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
