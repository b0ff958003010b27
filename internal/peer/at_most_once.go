package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dial"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/request"
)

// errNotLive is returned when this host's view does not list a host as live.
var errNotLive = errors.New("host is not live")

// maxOutcomeWait bounds how long one Outcome call waits for a result.
const maxOutcomeWait = 2 * time.Second

// AtMostOnceClient calls the claim stores and dispatchers of other hosts for
// requests that must run at most once.
type AtMostOnceClient struct {
	Snapshot func() *control.Snapshot
	Dialer   dial.Dialer
}

var (
	_ claim.Peers    = (*AtMostOnceClient)(nil)
	_ dispatch.Relay = (*AtMostOnceClient)(nil)
)

// Keep implements claim.Peers.
func (c *AtMostOnceClient) Keep(ctx context.Context, host string, ended []claim.KeyResult, retired bool) error {
	snapshot := c.Snapshot()
	to, live := snapshot.Hosts[host]
	if !live {
		return errNotLive
	}
	req := &peerv1.KeepRequest{From: snapshot.Self.ID, Incarnation: snapshot.Self.Incarnation, Retired: retired}
	for _, result := range ended {
		req.Ended = append(req.Ended, &peerv1.Transfer{
			Request: &peerv1.Accepted{Key: result.Key, Fingerprint: result.Fingerprint},
			Result:  result.Result.ToPeer(),
		})
	}
	_, err := c.Dialer.Peer(to.Address).Keep(ctx, req)
	return err
}

// Outcome implements claim.Peers.
func (c *AtMostOnceClient) Outcome(ctx context.Context, host, key, incarnation string, wait time.Duration) (*claim.KeyResult, error) {
	to, live := c.Snapshot().Hosts[host]
	if !live {
		return nil, errNotLive
	}
	resp, err := c.Dialer.Peer(to.Address).Outcome(ctx, &peerv1.OutcomeRequest{
		Key: key, Incarnation: incarnation, WaitMs: wait.Milliseconds(),
	})
	if err != nil || resp.GetResult() == nil {
		return nil, err
	}
	return &claim.KeyResult{Key: key, Fingerprint: resp.GetFingerprint(), Result: request.ResultFromPeer(resp.GetResult())}, nil
}

// Submit implements dispatch.Relay.
func (c *AtMostOnceClient) Submit(ctx context.Context, host string, r *request.Request) (request.Result, error) {
	to, live := c.Snapshot().Hosts[host]
	if !live {
		return request.Result{}, errNotLive
	}
	resp, err := c.Dialer.Peer(to.Address).Submit(ctx, &peerv1.SubmitRequest{Request: r.ToPeer()})
	if err != nil {
		return request.Result{}, err
	}
	return request.ResultFromPeer(resp.GetResult()), nil
}

// storeResults stores the copies of results from a Keep call.
func (s *Server) storeResults(req *peerv1.KeepRequest) {
	results := make([]claim.KeyResult, 0, len(req.GetEnded()))
	for _, transfer := range req.GetEnded() {
		results = append(results, claim.KeyResult{
			Key:         transfer.GetRequest().GetKey(),
			Fingerprint: transfer.GetRequest().GetFingerprint(),
			Result:      request.ResultFromPeer(transfer.GetResult()),
		})
	}
	s.claims.Keep(req.GetIncarnation(), results, req.GetRetired(), time.Now())
}

// Outcome implements peerv1connect.PeerServiceHandler.
func (s *Server) Outcome(ctx context.Context, req *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxOutcomeWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ended, running := s.claims.LocalResult(ctx, req.GetKey(), req.GetIncarnation())
	if ended == nil {
		return &peerv1.OutcomeResponse{Found: running}, nil
	}
	return &peerv1.OutcomeResponse{Found: true, Result: ended.Result.ToPeer(), Fingerprint: ended.Fingerprint}, nil
}

// Submit implements peerv1connect.PeerServiceHandler. It returns when the
// request has ended or the context is done.
func (s *Server) Submit(ctx context.Context, req *peerv1.SubmitRequest) (*peerv1.SubmitResponse, error) {
	call, err := s.dispatcher.SubmitRelayed(request.FromPeer(req.GetRequest()))
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	for {
		view := call.Output.View(0)
		if view.Result != nil {
			return &peerv1.SubmitResponse{Id: call.Request.ID, Result: view.Result.ToPeer()}, nil
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}
