package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

// maxForwardDataBytes bounds the part of a body in one message to the instance that
// forwarded the request.
const maxForwardDataBytes = 16 << 10

// forward sends a call to the instance of another region with the given peer address
// and waits for the head of the response.
func (g *Gateway) forward(ctx context.Context, c *call, address, lastEventID string) (*targetResponse, *failure) {
	ctx, cancel := context.WithCancel(ctx)
	var conn connTracker
	stream, err := g.Clients.Client(address).Forward(conn.trace(ctx), connect.NewRequest(g.forwardRequest(c, lastEventID)))
	if err == nil {
		var head *peerv1.Head
		respBody := &forwardBody{stream: stream, requestID: c.ID, cancel: cancel}
		if head, err = respBody.head(); err == nil {
			h := http.Header{}
			for _, p := range head.GetHeaders() {
				h.Add(p.GetName(), string(p.GetValue()))
			}
			return &targetResponse{status: int(head.GetStatus()), header: h, body: respBody, target: head.GetTarget(), framing: tailFraming}, nil
		}
		_ = respBody.Close()
	}
	defer cancel()
	if reported, ok := err.(*failure); ok {
		return nil, reported
	}
	return nil, sendFailure(ctx, &conn, err)
}

func (g *Gateway) forwardRequest(c *call, lastEventID string) *peerv1.ForwardRequest {
	req := &peerv1.ForwardRequest{
		From: g.Self, RequestId: c.ID, Hop: 1, Team: c.team, Method: c.method, Host: c.host, Path: c.path, Body: c.body,
		RemainingMs: uint32(max(time.Until(c.deadline).Milliseconds(), 1)), Route: c.route.Name, Attempt: uint32(c.possibleRuns),
		ResumeAfter: lastEventID,
	}
	for name, values := range c.header {
		for _, v := range values {
			req.Headers = append(req.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	return req
}

// forwardStream is the receiving side of the response to a forwarded request.
type forwardStream interface {
	Receive() bool
	Msg() *peerv1.ForwardResponse
	Err() error
	Close() error
}

// forwardBody reads the response to a forwarded request. Read returns io.EOF only
// after a tail that reports success.
type forwardBody struct {
	stream    forwardStream
	requestID string
	cancel    context.CancelFunc
	data      []byte
	err       error // ends the response
}

// receive returns the next message of the response.
func (f *forwardBody) receive() (*peerv1.ForwardResponse, error) {
	if !f.stream.Receive() {
		if err := f.stream.Err(); err != nil {
			return nil, err
		}
		return nil, io.ErrUnexpectedEOF
	}
	msg := f.stream.Msg()
	if msg.GetRequestId() != f.requestID {
		return nil, mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "the answer of the hop is one to request %q", msg.GetRequestId())
	}
	return msg, nil
}

func (f *forwardBody) head() (*peerv1.Head, error) {
	msg, err := f.receive()
	if err != nil {
		return nil, err
	}
	if tail := msg.GetTail(); tail != nil && tail.GetCode() != 0 {
		return nil, tailFailure(tail)
	}
	head := msg.GetHead()
	if head == nil {
		return nil, mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "the answer of the hop has no head")
	}
	return head, nil
}

// Read implements io.Reader.
func (f *forwardBody) Read(p []byte) (int, error) {
	for len(f.data) == 0 && f.err == nil {
		f.data, f.err = f.nextData()
	}
	if len(f.data) == 0 {
		return 0, f.err
	}
	n := copy(p, f.data)
	f.data = f.data[n:]
	return n, nil
}

func (f *forwardBody) nextData() ([]byte, error) {
	msg, err := f.receive()
	if err != nil {
		return nil, err
	}
	switch part := msg.GetPart().(type) {
	case *peerv1.ForwardResponse_Data:
		return part.Data, nil
	case *peerv1.ForwardResponse_Tail:
		if part.Tail.GetCode() == 0 {
			return nil, io.EOF
		}
		return nil, tailFailure(part.Tail)
	}
	return nil, mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "a message of the hop has no data")
}

// Close implements io.Closer.
func (f *forwardBody) Close() error {
	f.cancel()
	_ = f.stream.Close() // the call is over; its error was reported by Read
	return nil
}

// tailFailure converts the error in t, which ends the response to a forwarded
// request.
func tailFailure(t *peerv1.Tail) *failure {
	e := result.New(result.Code(t.GetCode()), result.NotRun, "%s", t.GetMessage())
	if t.GetMayHaveRun() {
		e.Ran = result.MayHaveRun
	}
	e.RetryAfter = time.Duration(t.GetRetryAfterMs()) * time.Millisecond
	return &failure{err: e, outcome: placement.Inconclusive, uncounted: e.Ran == result.NotRun && (e.Code == result.NoSlot || e.Code == result.ShuttingDown)}
}

// PeerServer serves the protocol between instances.
type PeerServer struct {
	peerv1connect.UnimplementedPeerHandler
	Gateway *Gateway
}

// Forward implements peerv1connect.PeerHandler.
func (p *PeerServer) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	p.Gateway.runningRequests.Add(1)
	defer p.Gateway.runningRequests.Add(-1)
	msg := req.Msg
	h := http.Header{}
	for _, x := range msg.GetHeaders() {
		h.Add(x.GetName(), string(x.GetValue()))
	}
	now := time.Now()
	c := &call{
		Request: platform.ParseRequest(h), host: msg.GetHost(), method: msg.GetMethod(), path: msg.GetPath(), header: h, body: msg.GetBody(),
		team: msg.GetTeam(), arrived: now, deadline: now.Add(time.Duration(msg.GetRemainingMs()) * time.Millisecond),
		possibleRuns: int(msg.GetAttempt()), forwarded: true,
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, stop := p.Gateway.untilCutoff(ctx)
	defer stop()
	d := &delivery{sink: &forwardSink{stream: stream, id: c.ID}}
	defer d.close()
	d.lastEventID = msg.GetResumeAfter()
	tail := &peerv1.Tail{}
	err := p.Gateway.refusal()
	if err == nil {
		err = p.Gateway.serveCall(ctx, c, d)
	}
	if err != nil {
		e := result.FromError(err)
		tail = &peerv1.Tail{Code: uint32(e.Code), MayHaveRun: e.Ran == result.MayHaveRun, Message: e.Message, RetryAfterMs: uint32(e.RetryAfter.Milliseconds())}
		p.Gateway.Log.Emit(failureEvent(e), zap.String("request", c.ID), zap.Int("code", int(e.Code)), zap.Stringer("ran", e.Ran),
			zap.String("from", msg.GetFrom().GetInstance()), zap.String("reason", e.Message), zap.String("framing", string(d.framing)))
	}
	return stream.Send(&peerv1.ForwardResponse{RequestId: c.ID, Part: &peerv1.ForwardResponse_Tail{Tail: tail}})
}

// FetchEdition implements peerv1connect.PeerHandler. The text of the response is a
// snapshot of the catalog.
func (p *PeerServer) FetchEdition(context.Context, *connect.Request[peerv1.FetchEditionRequest]) (*connect.Response[peerv1.FetchEditionResponse], error) {
	text, err := p.Gateway.Catalog.MarshalSnapshot()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.FetchEditionResponse{Text: text}), nil
}

// Probe implements peerv1connect.PeerHandler. It exchanges what is known of crashes
// of targets.
func (p *PeerServer) Probe(_ context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	return connect.NewResponse(&peerv1.ProbeResponse{From: p.Gateway.Self, CrashNews: p.Gateway.mergeCrashNews(req.Msg.GetCrashNews())}), nil
}

// forwardSink sends a response back to the instance that forwarded the request.
type forwardSink struct {
	stream *connect.ServerStream[peerv1.ForwardResponse]
	id     string
}

// Head implements sink.
func (s *forwardSink) Head(status int, header http.Header, _ int64, target string) error {
	head := &peerv1.Head{Status: uint32(status), Target: target}
	for name, values := range header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	return s.stream.Send(&peerv1.ForwardResponse{RequestId: s.id, Part: &peerv1.ForwardResponse_Head{Head: head}})
}

// Data implements sink. A message is as small as the receiver holds it in memory
// whole.
func (s *forwardSink) Data(p []byte) error {
	for part := range slices.Chunk(p, maxForwardDataBytes) {
		if err := s.stream.Send(&peerv1.ForwardResponse{RequestId: s.id, Part: &peerv1.ForwardResponse_Data{Data: part}}); err != nil {
			return err
		}
	}
	return nil
}
