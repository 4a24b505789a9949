package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/httpframing"
	"github.com/wigeonhill/wigeonhill/internal/peerapi"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1/peerv1connect"
	"github.com/wigeonhill/wigeonhill/internal/placement"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/platform"
)

// maxForwardDataBytes bounds the part of a body in one message to the instance that
// forwarded the request.
const maxForwardDataBytes = 16 << 10

// Names of headers that carry, to another instance, what need not be UTF-8 and
// therefore does not always fit into the string field for it. No header of a caller
// has such a name.
const (
	pathField        = ":path"
	resumeAfterField = ":resume-after"
	// publishedChangeField is a header of a response for instances of earlier versions,
	// which do not read Head.published: its revision. A response with any other name that
	// is not valid in HTTP is refused.
	publishedChangeField = ":published-change"
)

// maxHopInstances bounds the instances of a region that are asked to run a request in
// one attempt; each refusal costs a round trip.
const maxHopInstances = 2

// forward sends a call to an instance of another region and waits for the head of
// the response. If the instance refuses it, another one of the region is tried.
func (g *Gateway) forward(ctx context.Context, v *catalog.View, c *call, region, lastEventID string) (*targetResponse, *failure) {
	refusedBy := ""
	var refusal *failure
	for range maxHopInstances {
		address, ok := g.pickInstance(region, refusedBy)
		if !ok {
			break
		}
		resp, f := g.forwardTo(ctx, address, v, c, lastEventID)
		if f == nil || !refusedByInstance(f) {
			return resp, f
		}
		refusedBy, refusal = address, f
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, notRunFailure(placement.Inconclusive, true, "no instance of region %s is reachable", region)
}

// hopRefusals are the codes with which an instance refuses a forwarded request before
// it was sent to a target. The value is set if the reason is the instance's own, so that
// another one of its region may run the request.
var hopRefusals = map[result.Code]bool{result.HopRefused: true, result.NotReady: true, result.ShuttingDown: true, result.NoSlot: false}

// refusedByInstance reports whether f is the refusal of another instance for a reason
// of its own.
func refusedByInstance(f *failure) bool { return f.err.Ran == result.NotRun && hopRefusals[f.err.Code] }

// forwardTo sends a call to the instance at address.
func (g *Gateway) forwardTo(ctx context.Context, address string, v *catalog.View, c *call, lastEventID string) (*targetResponse, *failure) {
	ctx, cancel := context.WithCancel(ctx)
	var conn connTracker
	stream, err := g.Clients.Client(address).Forward(conn.trace(ctx), connect.NewRequest(g.forwardRequest(c, v, lastEventID)))
	if err == nil {
		respBody := &forwardBody{stream: stream, requestID: hopID(c), cancel: cancel}
		var resp *targetResponse
		var known catalog.Known
		if resp, known, err = respBody.head(); err == nil {
			g.followInstance(address, known)
			return resp, nil
		}
		_ = respBody.Close()
	}
	defer cancel()
	if reported, ok := err.(*failure); ok {
		return nil, reported
	}
	if peerapi.NotRead(err) {
		return nil, notRunFailure(placement.Inconclusive, true, "the instance at %s has no memory for the request", address)
	}
	return nil, sendFailure(ctx, &conn, err)
}

// followInstance fetches the published state of the instance at address in the
// background if it has decided a forwarded request by a later one than is known here.
// Otherwise the next request of the same caller could be decided by the older version.
func (g *Gateway) followInstance(address string, decidedBy catalog.Known) {
	if g.Catalog.HasPublished(decidedBy) {
		return
	}
	go g.ensurePublished(context.Background(), decidedBy, &peerv1.Identity{PeerAddress: address, Instance: address}, "")
}

// ensurePublished waits until the published state that another instance knows is known
// here, and reports whether it is.
func (g *Gateway) ensurePublished(ctx context.Context, needed catalog.Known, from *peerv1.Identity, request string) bool {
	if g.Catalog.HasPublished(needed) {
		return true
	}
	had, began := g.Catalog.Current(), time.Now()
	ok := g.Catalog.EnsurePublished(ctx, needed, func(ctx context.Context) ([]byte, string, error) {
		res, err := g.Clients.Client(from.GetPeerAddress()).FetchEdition(ctx, connect.NewRequest(&peerv1.FetchEditionRequest{}))
		if err != nil {
			return nil, from.GetInstance(), err
		}
		return res.Msg.GetText(), from.GetInstance(), nil
	})
	g.Log.Emit(event.HopNeededNewerState, zap.String("request", request), zap.String("from", from.GetInstance()),
		zap.Int64("change", needed.Published.Number), zap.Int64("era", needed.Published.Era), zap.Int64("version", needed.ConfigVersion),
		zap.Int64("had", had.PublishedRevision.Number), zap.Int64("had_era", had.PublishedRevision.Era), zap.Int64("had_version", had.Known().ConfigVersion), zap.Duration("took", time.Since(began)), zap.Bool("received", ok))
	return ok
}

func (g *Gateway) forwardRequest(c *call, v *catalog.View, lastEventID string) *peerv1.ForwardRequest {
	decidedBy := v.Known()
	req := &peerv1.ForwardRequest{
		From: g.Self, RequestId: hopID(c), Hop: 1, Team: c.team, Method: c.method, Host: c.host, Body: c.body,
		RemainingMs: uint32(max(time.Until(c.deadline).Milliseconds(), 1)), Route: c.route.Name, Attempt: uint32(c.possibleRuns),
		PublishedEra: decidedBy.Published.Era, PublishedChange: decidedBy.Published.Number, ConfigVersion: decidedBy.ConfigVersion,
	}
	// An instance of an earlier version finds no route for a path that is not UTF-8.
	setText(req, &req.Path, pathField, c.path)
	setText(req, &req.ResumeAfter, resumeAfterField, lastEventID)
	for name, values := range c.header {
		for _, v := range values {
			req.Headers = append(req.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	return req
}

// hopID returns the id by which the messages of the hop refer to a call.
func hopID(c *call) string { return strings.ToValidUTF8(c.ID, "?") }

// setText sets a field of req to value, or adds a header if value is not UTF-8.
func setText(req *peerv1.ForwardRequest, field *string, header, value string) {
	if utf8.ValidString(value) {
		*field = value
		return
	}
	req.Headers = append(req.Headers, &peerv1.Header{Name: header, Value: []byte(value)})
}

// takeText returns what setText has set, and removes the header from h.
func takeText(h http.Header, field, header string) string {
	if values := h[header]; len(values) > 0 {
		field = values[0]
		delete(h, header)
	}
	return field
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

// head reads the head of the response, of which f is the body, and what the other
// instance knows of the published state, if it says so.
func (f *forwardBody) head() (resp *targetResponse, known catalog.Known, err error) {
	msg, err := f.receive()
	if err != nil {
		return nil, known, err
	}
	if tail := msg.GetTail(); tail != nil && tail.GetCode() != 0 {
		return nil, known, tailFailure(tail)
	}
	head := msg.GetHead()
	if head == nil {
		return nil, known, mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "the answer of the hop has no head")
	}
	h := http.Header{}
	for _, p := range head.GetHeaders() {
		h.Add(p.GetName(), string(p.GetValue()))
	}
	if revision, err := strconv.ParseInt(takeText(h, "", publishedChangeField), 10, 64); err == nil {
		known.Published.Number = revision
	}
	if p := head.GetPublished(); p != nil {
		known = catalog.Known{Published: deployment.Revision{Era: p.GetEra(), Number: p.GetRevision()}, ConfigVersion: p.GetConfigVersion()}
	}
	if err := httpframing.CheckHead(int(head.GetStatus()), h); err != nil {
		return nil, known, mayHaveRunFailure(placement.Inconclusive, result.TargetFailed, "the answer of the hop: %v", err)
	}
	return &targetResponse{status: int(head.GetStatus()), header: h, body: f, target: head.GetTarget(), framing: tailFraming}, known, nil
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
	_, refused := hopRefusals[e.Code]
	return &failure{err: e, outcome: placement.Inconclusive, uncounted: e.Ran == result.NotRun && refused}
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
	path, lastEventID := takeText(h, msg.GetPath(), pathField), takeText(h, msg.GetResumeAfter(), resumeAfterField)
	now := time.Now()
	c := &call{
		Request: platform.ParseRequest(h), host: msg.GetHost(), method: msg.GetMethod(), path: path, header: h, body: msg.GetBody(),
		team: msg.GetTeam(), arrived: now, deadline: now.Add(time.Duration(msg.GetRemainingMs()) * time.Millisecond),
		possibleRuns: int(msg.GetAttempt()), forwarded: true,
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, stop := p.Gateway.untilCutoff(ctx)
	defer stop()
	decidedBy := decidedBy(msg)
	d := &delivery{sink: &forwardSink{stream: stream, id: msg.GetRequestId(), catalog: p.Gateway.Catalog, decidedBy: decidedBy}}
	defer d.close()
	d.lastEventID = lastEventID
	tail := &peerv1.Tail{}
	err := p.Gateway.refusal()
	if err == nil && !p.Gateway.ensurePublished(ctx, decidedBy, msg.GetFrom(), c.ID) {
		v := p.Gateway.Catalog.Current()
		err = result.New(result.HopRefused, result.NotRun, "the sender decided by version %d and revision %d of era %d, known here are version %d and revision %d of era %d",
			decidedBy.ConfigVersion, decidedBy.Published.Number, decidedBy.Published.Era, v.Known().ConfigVersion, v.PublishedRevision.Number, v.PublishedRevision.Era).WithRetryAfter(notReadyRetryAfter)
	}
	if err == nil {
		err = p.Gateway.serveCall(ctx, c, d)
	}
	if err != nil {
		e := result.FromError(err)
		tail = &peerv1.Tail{Code: uint32(e.Code), MayHaveRun: e.Ran == result.MayHaveRun, Message: strings.ToValidUTF8(e.Message, "?"), RetryAfterMs: uint32(e.RetryAfter.Milliseconds())}
		p.Gateway.Log.Emit(failureEvent(e), zap.String("request", c.ID), zap.Int("code", int(e.Code)), zap.Stringer("ran", e.Ran),
			zap.String("from", msg.GetFrom().GetInstance()), zap.String("reason", e.Message), zap.String("framing", string(d.framing)))
	}
	return stream.Send(&peerv1.ForwardResponse{RequestId: msg.GetRequestId(), Part: &peerv1.ForwardResponse_Tail{Tail: tail}})
}

// decidedBy returns what the sender of a forwarded request knew of the published state.
// Senders of an earlier version do not tell all of it, or none.
func decidedBy(msg *peerv1.ForwardRequest) catalog.Known {
	return catalog.Known{Published: deployment.Revision{Era: msg.GetPublishedEra(), Number: msg.GetPublishedChange()}, ConfigVersion: msg.GetConfigVersion()}
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
	stream  *connect.ServerStream[peerv1.ForwardResponse]
	id      string
	catalog *catalog.Manager
	// decidedBy is what the sender knew of the published state; zero if it does not say.
	decidedBy catalog.Known
}

// Head implements sink.
func (s *forwardSink) Head(status int, header http.Header, _ int64, target string) error {
	head := &peerv1.Head{Status: uint32(status), Target: target}
	for name, values := range header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	known := s.catalog.Current().Known()
	known.Targets = deployment.Revision{}
	if s.decidedBy != (catalog.Known{}) && known.LaterThan(s.decidedBy) {
		head.Headers = append(head.Headers, &peerv1.Header{Name: publishedChangeField, Value: strconv.AppendInt(nil, known.Published.Number, 10)})
		head.Published = &peerv1.PublishedChange{Era: known.Published.Era, Revision: known.Published.Number, ConfigVersion: known.ConfigVersion}
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
