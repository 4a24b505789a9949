package dispatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Bounds of a forwarded request.
const (
	maxRequestIDBytes    = 64
	maxHeaders           = 256
	maxForwardedAttempts = 16
	maxResumeTokens      = 1 << 24
	maxRemainingMs       = 24 * 60 * 60 * 1000
)

// PoolStatusSource reports the load of the local region for a model or service.
type PoolStatusSource interface {
	PoolStatus(model, service string) (capacity, running, queued int, wait time.Duration)
}

// ReceiverConfig holds the dependencies of a Receiver.
type ReceiverConfig struct {
	Local            *LocalDispatcher
	Idempotency      *idempotency.Store
	PoolStatusSource PoolStatusSource
}

// Receiver serves Forward, Resend and PoolStatus of the peer protocol. It has no
// client for other instances, so it cannot forward.
type Receiver struct {
	cfg     ReceiverConfig
	streams atomic.Int64
}

// NewReceiver returns a Receiver.
func NewReceiver(cfg ReceiverConfig) *Receiver { return &Receiver{cfg: cfg} }

// PoolStatus reports the load of the local region for a model or service.
func (r *Receiver) PoolStatus(_ context.Context, req *connect.Request[peerv1.PoolStatusRequest]) (*connect.Response[peerv1.PoolStatusResponse], error) {
	capacity, running, queued, wait := r.cfg.PoolStatusSource.PoolStatus(req.Msg.GetModel(), req.Msg.GetService())
	return connect.NewResponse(&peerv1.PoolStatusResponse{
		Capacity: uint32(capacity), Running: uint32(running), Queued: uint32(queued), WaitMs: uint32(wait.Milliseconds()),
	}), nil
}

// Forward runs a request of another region on targets of the local region.
func (r *Receiver) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	return r.serve(ctx, req.Msg, s, r.cfg.Local.Do, result.NotRun)
}

// Resend runs a request whose idempotency key names this instance, unless it has
// already run.
func (r *Receiver) Resend(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], s *connect.ServerStream[peerv1.ForwardResponse]) error {
	return r.serve(ctx, req.Msg, s, func(ctx context.Context, c *Call, sink Sink) (Outcome, error) {
		k, err := idempotency.Parse(req.Msg.GetIdempotencyKey())
		if err != nil {
			return Outcome{}, err // no request can have run under an invalid key
		}
		if c.Permit.Idempotent {
			return Outcome{}, result.New(result.HopRefused, result.MayHaveRun, "the route is idempotent here")
		}
		return r.cfg.Local.doWithKey(ctx, r.cfg.Idempotency, k, c, sink, nil)
	}, result.MayHaveRun)
}

type frameSender interface {
	Send(*peerv1.ForwardResponse) error
}

// doFunc runs a call.
type doFunc func(context.Context, *Call, Sink) (Outcome, error)

// serve checks a message and runs its call. ranIfRefused is what a refusal before
// the call reports: as long as the record of an idempotency key has not been
// read, an earlier attempt may have run.
func (r *Receiver) serve(ctx context.Context, m *peerv1.ForwardRequest, s frameSender, do doFunc, ranIfRefused result.Ran) error {
	l := r.cfg.Local
	out := &frameSink{s: s, id: m.GetRequestId()}
	refuse := func(err error) error {
		e := *result.FromError(err)
		e.Ran = ranIfRefused
		return out.tail(Outcome{}, &e)
	}
	leave, err := l.Gate.Enter()
	if err != nil {
		return refuse(err)
	}
	defer leave()
	defer r.streams.Add(-1)
	if n, limit := r.streams.Add(1), l.Bounds.MaxStreams; limit > 0 && n > int64(limit) {
		return refuse(result.New(result.MemoryLimitReached, result.NotRun, "the instance serves its largest number of forwarded requests"))
	}
	c, err := parseForward(l.ConfigSource.Current(), l.Instance.Region, l.Bounds.MaxBody, m)
	if err != nil {
		l.Log.Emit(event.HopRefused, zap.String("request", m.GetRequestId()), zap.String("from", m.GetFrom().GetInstance()), zap.Error(err))
		return refuse(err)
	}
	reservation := l.Memory.NewReservation(c.Permit.Team)
	defer reservation.Close()
	if err := reservation.Reserve(int64(len(c.Body)), result.NotRun); err != nil {
		return refuse(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.GetRemainingMs())*time.Millisecond)
	defer cancel()
	outcome, err := do(ctx, c, out)
	code := 0
	if err != nil {
		code = int(result.FromError(err).Code)
	}
	l.Requests.End(c.ID, c.Permit.Team, code, time.Since(c.Arrived))
	if err != nil {
		e := result.FromError(err)
		if e.Code == result.TargetFailed {
			out.crashes = l.Crashes.ReportsFor(c.Suspects()[0])
		}
		return out.tail(outcome, e)
	}
	return out.tail(outcome, nil)
}

// parseForward checks a message of the peer protocol against the receiver's
// configuration. Its errors always say "not run".
func parseForward(cfg *config.Config, region string, maxBody int64, m *peerv1.ForwardRequest) (*Call, error) {
	refuse := func(what string) error { return result.New(result.HopRefused, result.NotRun, "%s", what) }
	id := m.GetRequestId()
	switch {
	case cfg == nil:
		return nil, result.New(result.NotReady, result.NotRun, "the instance has no edition yet")
	case m.GetHop() != 1:
		return nil, refuse("the hop count is not 1")
	case id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }):
		return nil, refuse("the request id is not valid")
	case m.GetRemainingMs() == 0 || m.GetRemainingMs() > maxRemainingMs:
		return nil, refuse("the remaining time is not valid")
	case m.GetAttempt() > maxForwardedAttempts || len(m.GetHeaders()) > maxHeaders:
		return nil, refuse("too many attempts or headers")
	case maxBody > 0 && int64(len(m.GetBody())) > maxBody:
		return nil, result.New(result.BodyTooLarge, result.NotRun, "the body exceeds the bound of %d bytes", maxBody)
	}
	c := &Call{ID: id, Method: m.GetMethod(), Body: m.GetBody(), Prepaid: true, Attempts: int(m.GetAttempt()),
		IdempotencyKey: m.GetIdempotencyKey(), Arrived: time.Now()}
	c.Path, c.RawQuery, _ = strings.Cut(m.GetPath(), "?")
	var err error
	c.Permit, err = auth.AuthorizeForwarded(cfg, region, auth.HopClaims{Team: m.GetTeam(), Model: m.GetModel(), Route: m.GetRoute(),
		Method: c.Method, Path: c.Path, AllowedRegions: m.GetAllowedRegions()})
	if err != nil {
		return nil, err
	}
	headers := http.Header{}
	for _, h := range m.GetHeaders() {
		headers.Add(h.GetName(), string(h.GetValue()))
	}
	if resumed, err := strconv.Atoi(headers.Get(resumeHeader)); err == nil && resumed > 0 && resumed < maxResumeTokens {
		c.ResumeTokens = resumed
	}
	if start, err := strconv.Atoi(headers.Get(startWithinHeader)); err == nil {
		c.StartDeadline = c.Arrived.Add(time.Duration(min(start, maxRemainingMs)) * time.Millisecond)
	}
	if c.Header = auth.EndToEndHeaders(headers, ""); c.Permit.Model == "" {
		return c, nil
	}
	return c, c.setForwardedCompletion(cfg, m)
}

// CompletionPaths are the paths that engines serve.
var CompletionPaths = []string{"/v1/chat/completions", "/v1/completions"}

func (c *Call) setForwardedCompletion(cfg *config.Config, m *peerv1.ForwardRequest) error {
	if c.Method != http.MethodPost || !slices.Contains(CompletionPaths, c.Path) {
		return result.New(result.HopRefused, result.NotRun, "the path is not one of an engine")
	}
	p, err := ParseCompletion(c.Body)
	if err != nil {
		return err
	}
	if p.Model != m.GetModel() || p.Stream != m.GetStream() {
		return result.New(result.HopRefused, result.NotRun, "the body and the message name different models or kinds of answer")
	}
	return c.SetCompletion(p, cfg.Models[p.Model].MaxOutput)
}

// frameSink sends a response as frames. Send blocks while the receiver is slow.
type frameSink struct {
	s   frameSender
	id  string
	seq uint64
	// crashes are the crash reports to send with the tail.
	crashes *peerv1.CrashNews
}

func (f *frameSink) send(m *peerv1.ForwardResponse) error {
	f.seq++
	m.RequestId, m.Sequence = f.id, f.seq
	return f.s.Send(m)
}

func (f *frameSink) Head(h ResponseHead) error {
	head := &peerv1.Head{Status: uint32(h.Status), Target: h.Target}
	for name, values := range h.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerv1.Header{Name: name, Value: []byte(v)})
		}
	}
	if h.Size >= 0 {
		head.Headers = append(head.Headers, &peerv1.Header{Name: "Content-Length", Value: []byte(strconv.FormatInt(h.Size, 10))})
	}
	return f.send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}})
}

func (f *frameSink) Data(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), chunkBytes)
		if err := f.send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

func (f *frameSink) tail(o Outcome, e *result.Error) error {
	t := &peerv1.Tail{TokensUsed: o.Tokens, CrashNews: f.crashes}
	if e != nil {
		t.Code, t.MayHaveRun, t.Message = uint32(e.Code), e.Ran == result.MayHaveRun, e.Message
		t.RetryAfterMs = uint32(e.RetryAfter.Milliseconds())
	}
	return f.send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Tail{Tail: t}})
}
