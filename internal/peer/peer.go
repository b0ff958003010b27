// Package peer implements the calls between entry hosts: it serves the calls of
// other hosts and finds requests that other hosts run.
package peer

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	peerv1 "github.com/marigoldmux/marigoldmux/internal/api/peer/v1"
	"github.com/marigoldmux/marigoldmux/internal/api/peer/v1/peerv1connect"
	"github.com/marigoldmux/marigoldmux/internal/claim"
	"github.com/marigoldmux/marigoldmux/internal/control"
	"github.com/marigoldmux/marigoldmux/internal/dispatch"
	"github.com/marigoldmux/marigoldmux/internal/handoff"
	"github.com/marigoldmux/marigoldmux/internal/kernel"
	"github.com/marigoldmux/marigoldmux/internal/peerauth"
	"github.com/marigoldmux/marigoldmux/internal/standby"
	"github.com/marigoldmux/marigoldmux/internal/stream"
	"github.com/marigoldmux/marigoldmux/internal/survey"
)

const (
	// maxMessage bounds a message between peers, in bytes.
	maxMessage = 32 << 20
	// maxFollowWait bounds how long one Follow call waits for output.
	maxFollowWait = 10 * time.Second
)

func init() { kernel.Register(&Server{}) }

// Server serves the calls of other entry hosts.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler

	loop          *control.Loop
	dispatcher    *dispatch.Dispatcher
	surveyor      *survey.Surveyor
	authenticator *peerauth.Authenticator
	claims        *claim.Store
	standby       *standby.Standby
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// ModuleInfo implements kernel.Module.
func (*Server) ModuleInfo() kernel.Info {
	return kernel.Info{ID: "http.peer", New: func() kernel.Module { return new(Server) }}
}

// Provision implements kernel.Provisioner.
func (s *Server) Provision(ctx *kernel.Context) (err error) {
	if s.loop, err = kernel.Lookup[*control.Loop](ctx); err != nil {
		return err
	}
	if s.dispatcher, err = kernel.Lookup[*dispatch.Dispatcher](ctx); err != nil {
		return err
	}
	if s.surveyor, err = kernel.Lookup[*survey.Surveyor](ctx); err != nil {
		return err
	}
	if s.claims, err = kernel.Lookup[*claim.Store](ctx); err != nil {
		return err
	}
	if s.standby, err = kernel.Lookup[*standby.Standby](ctx); err != nil {
		return err
	}
	certificates := ctx.Settings.TLS != nil && ctx.Settings.TLS.PeerCAFile != ""
	s.authenticator = peerauth.New(ctx.Settings.Secret, certificates, ctx.Events)
	kernel.Provide[peerv1connect.PeerServiceHandler](ctx, s)
	return nil
}

// Routes implements kernel.Router.
func (s *Server) Routes(e *echo.Echo) {
	path, handler := peerv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessage))
	e.POST(strings.TrimSuffix(path, "/")+"/*", echo.WrapHandler(s.authenticator.Handler(handler)))
}

// Deliver implements peerv1connect.PeerServiceHandler.
func (s *Server) Deliver(ctx context.Context, req *peerv1.DeliverRequest) (*peerv1.DeliverResponse, error) {
	for _, message := range req.GetMessages() {
		input := control.MessageReceived{From: req.GetFrom(), Incarnation: req.GetIncarnation(), Message: message}
		if !s.loop.Put(ctx, input) {
			return nil, connect.NewError(connect.CodeUnavailable, ctx.Err())
		}
	}
	return &peerv1.DeliverResponse{}, nil
}

// Follow implements peerv1connect.PeerServiceHandler.
func (s *Server) Follow(ctx context.Context, req *peerv1.FollowRequest) (*peerv1.FollowResponse, error) {
	call := s.dispatcher.Find(req.GetId())
	if call == nil {
		return &peerv1.FollowResponse{}, nil
	}
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, maxFollowWait)
	view := awaitView(ctx, call.Output, int(req.GetOffset()), wait)
	resp := &peerv1.FollowResponse{Found: true, Moved: view.Moved, Tokens: view.Tokens}
	if view.Result != nil {
		resp.Result = view.Result.ToPeer()
	}
	return resp, nil
}

// awaitView returns the buffer's output from offset as soon as it has tokens, a
// result or a new host, or unchanged when the wait or the context ends.
func awaitView(ctx context.Context, buffer *stream.Buffer, offset int, wait time.Duration) stream.View {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		view := buffer.View(offset)
		if len(view.Tokens) > 0 || view.Result != nil || view.Moved != "" {
			return view
		}
		select {
		case <-view.Changed:
		case <-timer.C:
			return view
		case <-ctx.Done():
			return view
		}
	}
}

// Handoff implements peerv1connect.PeerServiceHandler.
func (s *Server) Handoff(_ context.Context, req *peerv1.HandoffRequest) (*peerv1.HandoffResponse, error) {
	return handoff.Receive(s.dispatcher, req), nil
}

// Cancel implements peerv1connect.PeerServiceHandler.
func (s *Server) Cancel(_ context.Context, req *peerv1.CancelRequest) (*peerv1.CancelResponse, error) {
	return &peerv1.CancelResponse{Found: s.dispatcher.Cancel(req.GetId())}, nil
}

// TakeBurn implements peerv1connect.PeerServiceHandler.
func (s *Server) TakeBurn(_ context.Context, req *peerv1.TakeBurnRequest) (*peerv1.TakeBurnResponse, error) {
	s.surveyor.ImportBurn(req.GetAccounts())
	return &peerv1.TakeBurnResponse{}, nil
}

// Inspect implements peerv1connect.PeerServiceHandler.
func (s *Server) Inspect(ctx context.Context, req *peerv1.InspectRequest) (*peerv1.InspectResponse, error) {
	return s.surveyor.Inspect(ctx, survey.Query{Scope: req.GetScope(), Burn: req.GetBurn()}), nil
}

// Keep implements peerv1connect.PeerServiceHandler.
func (s *Server) Keep(_ context.Context, req *peerv1.KeepRequest) (*peerv1.KeepResponse, error) {
	s.storeResults(req)
	s.standby.Receive(req)
	return &peerv1.KeepResponse{}, nil
}
