package server

import (
	"context"

	"connectrpc.com/connect"

	"github.com/wigeonhill/wigeonhill/internal/configversion"
	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/leadership"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/membership"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

// peerClient implements the PeerClient interfaces of the managers: calls to other
// instances, by peer address.
type peerClient struct{ clients *peerapi.Clients }

// Vote implements leadership.PeerClient.
func (p peerClient) Vote(ctx context.Context, address string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	return callUnary(ctx, p.clients.Client(address).Vote, req)
}

// Renew implements lease.PeerClient.
func (p peerClient) Renew(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	return callUnary(ctx, p.clients.Client(address).Renew, req)
}

// Probe implements membership.PeerClient.
func (p peerClient) Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return callUnary(ctx, p.clients.Client(address).Probe, req)
}

// FetchEdition implements configversion.PeerClient.
func (p peerClient) FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	return callUnary(ctx, p.clients.Client(address).FetchEdition, req)
}

func callUnary[Req, Res any](ctx context.Context, call func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), req *Req) (*Res, error) {
	resp, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// peerServer passes the calls of other instances to the managers. Forward,
// Resend and PoolStatus are methods of the embedded Receiver.
type peerServer struct {
	*dispatch.Receiver
	leadership *leadership.Manager
	leases     *lease.Manager
	members    *membership.Manager
	configs    *configversion.Manager
}

// Vote implements peerv1connect.PeerHandler.
func (s *peerServer) Vote(ctx context.Context, req *connect.Request[peerv1.VoteRequest]) (*connect.Response[peerv1.VoteResponse], error) {
	return handleUnary(ctx, s.leadership.HandleVote, req)
}

// Renew implements peerv1connect.PeerHandler.
func (s *peerServer) Renew(ctx context.Context, req *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	return handleUnary(ctx, s.leases.HandleRenew, req)
}

// Probe implements peerv1connect.PeerHandler.
func (s *peerServer) Probe(ctx context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	return handleUnary(ctx, s.members.HandleProbe, req)
}

// FetchEdition implements peerv1connect.PeerHandler.
func (s *peerServer) FetchEdition(ctx context.Context, req *connect.Request[peerv1.FetchEditionRequest]) (*connect.Response[peerv1.FetchEditionResponse], error) {
	return handleUnary(ctx, s.configs.HandleFetchEdition, req)
}

// handleUnary runs handle; an error that it returns becomes CodeInvalidArgument.
func handleUnary[Req, Res any](ctx context.Context, handle func(context.Context, *Req) (*Res, error), req *connect.Request[Req]) (*connect.Response[Res], error) {
	resp, err := handle(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(resp), nil
}
