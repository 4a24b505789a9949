package node

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

// peerCalls gives the packages their calls to other instances.
type peerCalls struct{ clients *peerapi.Clients }

// Vote implements term.Peers.
func (p peerCalls) Vote(ctx context.Context, address string, req *peerv1.VoteRequest) (*peerv1.VoteResponse, error) {
	return unary(ctx, p.clients.Client(address).Vote, req)
}

// Renew implements lease.Peers.
func (p peerCalls) Renew(ctx context.Context, address string, req *peerv1.RenewRequest) (*peerv1.RenewResponse, error) {
	return unary(ctx, p.clients.Client(address).Renew, req)
}

// Probe implements member.Peers.
func (p peerCalls) Probe(ctx context.Context, address string, req *peerv1.ProbeRequest) (*peerv1.ProbeResponse, error) {
	return unary(ctx, p.clients.Client(address).Probe, req)
}

// FetchEdition implements edition.Peers.
func (p peerCalls) FetchEdition(ctx context.Context, address string, req *peerv1.FetchEditionRequest) (*peerv1.FetchEditionResponse, error) {
	return unary(ctx, p.clients.Client(address).FetchEdition, req)
}

func unary[Req, Res any](ctx context.Context, call func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error), req *Req) (*Res, error) {
	resp, err := call(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// peerServer routes the calls of other instances to the packages. Forward,
// Resend and PoolStatus come from the embedded Receiver.
type peerServer struct {
	*dispatch.Receiver
	terms    *leadership.Manager
	grants   *lease.Manager
	members  *membership.Manager
	editions *configversion.Manager
}

// Vote implements peerv1connect.PeerHandler.
func (s *peerServer) Vote(ctx context.Context, req *connect.Request[peerv1.VoteRequest]) (*connect.Response[peerv1.VoteResponse], error) {
	return answer(ctx, s.terms.HandleVote, req)
}

// Renew implements peerv1connect.PeerHandler.
func (s *peerServer) Renew(ctx context.Context, req *connect.Request[peerv1.RenewRequest]) (*connect.Response[peerv1.RenewResponse], error) {
	return answer(ctx, s.grants.HandleRenew, req)
}

// Probe implements peerv1connect.PeerHandler.
func (s *peerServer) Probe(ctx context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	return answer(ctx, s.members.HandleProbe, req)
}

// FetchEdition implements peerv1connect.PeerHandler.
func (s *peerServer) FetchEdition(ctx context.Context, req *connect.Request[peerv1.FetchEditionRequest]) (*connect.Response[peerv1.FetchEditionResponse], error) {
	return answer(ctx, s.editions.HandleFetchEdition, req)
}

func answer[Req, Res any](ctx context.Context, handle func(context.Context, *Req) (*Res, error), req *connect.Request[Req]) (*connect.Response[Res], error) {
	resp, err := handle(ctx, req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(resp), nil
}
