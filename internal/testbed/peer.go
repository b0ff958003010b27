package testbed

import (
	"context"

	"connectrpc.com/connect"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
)

// peerClient calls the peer service of another host of the cluster.
type peerClient struct {
	node *Node
	to   string
}

var _ peerv1connect.PeerServiceClient = (*peerClient)(nil)

// call invokes a method of the receiver. The response is lost if the receiver
// becomes unreachable during the call.
func call[Req, Resp any](ctx context.Context, c *peerClient, req *Req, method func(peerv1connect.PeerServiceHandler, context.Context, *Req) (*Resp, error)) (*Resp, error) {
	receiver, err := c.receiver(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp, err := method(receiver.Peer(), ctx, req)
	if _, lost := c.receiver(ctx); lost != nil {
		return nil, connect.NewError(connect.CodeUnavailable, lost)
	}
	return resp, err
}

func (c *peerClient) receiver(ctx context.Context) (*Node, error) {
	if err := c.node.gate(ctx); err != nil {
		return nil, err
	}
	receiver, err := c.node.cluster.reachable(c.node.Self().ID, c.to)
	if err != nil {
		return nil, err
	}
	return receiver, receiver.gate(ctx)
}

// Deliver implements peerv1connect.PeerServiceClient.
func (c *peerClient) Deliver(ctx context.Context, req *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Deliver)
}

// Follow implements peerv1connect.PeerServiceClient.
func (c *peerClient) Follow(ctx context.Context, req *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Follow)
}

// Submit implements peerv1connect.PeerServiceClient.
func (c *peerClient) Submit(ctx context.Context, req *peerv1.SubmitRequest) (*peerv1.SubmitResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Submit)
}

// Outcome implements peerv1connect.PeerServiceClient.
func (c *peerClient) Outcome(ctx context.Context, req *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Outcome)
}

// Cancel implements peerv1connect.PeerServiceClient.
func (c *peerClient) Cancel(ctx context.Context, req *peerv1.CancelRequest) (*peerv1.CancelResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Cancel)
}

// Handoff implements peerv1connect.PeerServiceClient.
func (c *peerClient) Handoff(ctx context.Context, req *peerv1.HandoffRequest) (*peerv1.HandoffResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Handoff)
}

// Keep implements peerv1connect.PeerServiceClient.
func (c *peerClient) Keep(ctx context.Context, req *peerv1.KeepRequest) (*peerv1.KeepResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Keep)
}

// Inspect implements peerv1connect.PeerServiceClient.
func (c *peerClient) Inspect(ctx context.Context, req *peerv1.InspectRequest) (*peerv1.InspectResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.Inspect)
}

// TakeBurn implements peerv1connect.PeerServiceClient.
func (c *peerClient) TakeBurn(ctx context.Context, req *peerv1.TakeBurnRequest) (*peerv1.TakeBurnResponse, error) {
	return call(ctx, c, req, peerv1connect.PeerServiceHandler.TakeBurn)
}
