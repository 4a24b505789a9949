package dispatch

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Dispatcher runs the calls of an entry instance, in the local region or over
// one hop.
type Dispatcher struct {
	Config
	local *LocalDispatcher
	mu    struct {
		sync.Mutex
		inFlight map[string]int // by region
	}
}

// NewDispatcher returns a Dispatcher.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{Config: cfg, local: cfg.Local}
	d.mu.inFlight = map[string]int{}
	return d
}

// Do runs a call and passes its response to sink. The error is a *result.Error.
func (d *Dispatcher) Do(ctx context.Context, c *Call, sink Sink) (Outcome, error) {
	if c.Permit.Idempotent || c.IdempotencyKey == "" {
		return d.local.do(ctx, c, sink, d)
	}
	k, err := idempotency.Parse(c.IdempotencyKey)
	if err != nil {
		return Outcome{}, err
	}
	if !d.Idempotency.Owns(k) {
		return d.resend(ctx, c, k, sink)
	}
	return d.local.doWithKey(ctx, d.Idempotency, k, c, sink, d)
}

// resend forwards a call to the instance named in its idempotency key. Only that
// instance knows whether the call has run; if it cannot be reached, an earlier
// attempt may have run.
func (d *Dispatcher) resend(ctx context.Context, c *Call, k idempotency.Key, sink Sink) (Outcome, error) {
	outcomeUnknown := result.New(result.OutcomeUnknown, result.MayHaveRun, "the instance named in the idempotency key cannot be asked")
	m, ok := d.Members.ByName(k.Instance)
	if !ok || m.Incarnation != k.Incarnation {
		return Outcome{}, result.New(result.InstanceGone, result.MayHaveRun,
			"the instance named in the idempotency key is gone; this attempt was not run, an earlier one may have run")
	}
	if !c.Permit.AllowedRegions[m.Region] {
		return Outcome{}, outcomeUnknown
	}
	ctx, stop := d.local.withRequestTimeout(ctx)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{local: d.local, call: c, sink: sink, ctx: ctx, cancel: cancel, exclude: map[string]bool{}, suspects: c.Suspects()}
	r.region.Store(&m.Region)
	defer d.local.track(r)()
	err := d.resendTo(ctx, r, m)
	r.settle(err == nil)
	if err == nil {
		return r.outcome, nil
	}
	var attemptErr *attemptError
	if errors.As(err, &attemptErr) && !attemptErr.reported && !attemptErr.final {
		return r.outcome, outcomeUnknown.WithCause(err)
	}
	return r.outcome, r.finalError(err)
}

// resendTo admits the call and forwards it to m, the instance that keeps the
// record of its idempotency key. A refusal on this side is never "not run",
// because an earlier attempt may have run.
func (d *Dispatcher) resendTo(ctx context.Context, r *run, m Member) error {
	cfg, p, err := d.local.currentPermit(r.call, r.suspects)
	if err == nil {
		err = r.admit(ctx, cfg, p, nil)
	}
	var pl placement
	ok := false
	if err == nil {
		pl, ok, err = r.confirmPlacement(m.Region)
	}
	if err == nil && !ok {
		err = result.New(result.DeadlineTooNear, result.NotRun, "the request could not be sent while its admission was valid")
	}
	if err != nil {
		return &attemptError{err: AsMayHaveRun(err), final: true}
	}
	r.outcome.Region, r.outcome.Attempts = m.Region, 1
	resp, err := d.forwardTo(ctx, r.forwardedCall(pl.permit), m, 1, 0, true)
	if err != nil {
		return err
	}
	defer resp.close()
	r.mayHaveRun = true
	if err := r.deliver(ctx, resp); err != nil {
		return err
	}
	if f, ok := resp.body.(*frameReader); ok {
		r.peerCharged = &f.tokensUsed
	}
	return nil
}

// AsMayHaveRun returns a copy of an error that says the request may have run.
func AsMayHaveRun(err error) *result.Error {
	e := *result.FromError(err)
	e.Ran = result.MayHaveRun
	return &e
}

// doWithKey runs a call whose idempotency key belongs to this instance. The call
// continues if its caller disconnects: a caller that lost its connection retries
// and must then get the response instead of an unknown outcome.
func (l *LocalDispatcher) doWithKey(ctx context.Context, s *idempotency.Store, k idempotency.Key, c *Call, sink Sink, fwd forwarder) (Outcome, error) {
	claim, stored, err := s.Begin(c.Permit.Team, k, c.Digest())
	if err != nil {
		return Outcome{}, err
	}
	if stored != nil {
		l.Requests.AddStep(c.ID, "replayed", "the request with this idempotency key has run")
		return Outcome{Region: l.Instance.Region, Target: stored.Target}, replay(stored, sink)
	}
	// A claim that is neither finished nor released counts as "may have run".
	defer claim.MarkUnknown()
	rec := &responseRecorder{sink: sink, limit: s.MaxResponseBytes()}
	out, err := l.do(context.WithoutCancel(ctx), c, rec, fwd)
	switch {
	case err == nil:
		claim.Finish(rec.response())
	case result.FromError(err).Ran == result.NotRun:
		claim.Release()
	}
	if err == nil {
		err = sinkResultError(rec.sinkErr)
	}
	return out, err
}

// sinkResultError converts an error of the sink to a *result.Error. It returns an
// untyped nil for nil.
func sinkResultError(err error) error {
	if err = sinkAttemptError(err); err != nil {
		return result.FromError(err)
	}
	return nil
}

func replay(stored *idempotency.Response, sink Sink) error {
	h := stored.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if err := sink.Head(ResponseHead{Status: stored.Status, Header: h, Target: stored.Target, Size: int64(len(stored.Body))}); err != nil {
		return sinkResultError(err)
	}
	if len(stored.Body) == 0 {
		return nil
	}
	return sinkResultError(sink.Data(stored.Body))
}

// responseRecorder passes a response on and keeps a copy up to a limit. After the
// sink has failed it only keeps the copy.
type responseRecorder struct {
	sink     Sink
	limit    int64
	head     ResponseHead
	body     []byte
	tooLarge bool
	sinkErr  error
}

func (r *responseRecorder) Head(h ResponseHead) error {
	r.head = h
	r.head.Header = h.Header.Clone()
	r.sinkErr = r.sink.Head(h)
	return nil
}

func (r *responseRecorder) Data(p []byte) error {
	if int64(len(r.body)+len(p)) > r.limit {
		r.tooLarge, r.body = true, nil
	}
	if !r.tooLarge {
		r.body = append(r.body, p...)
	}
	if r.sinkErr == nil {
		r.sinkErr = r.sink.Data(p)
	}
	if r.tooLarge {
		return r.sinkErr // neither the caller nor the record can use the rest
	}
	return nil
}

// response returns the recorded response, or nil if it exceeded the limit.
func (r *responseRecorder) response() *idempotency.Response {
	if r.tooLarge {
		return nil
	}
	return &idempotency.Response{Status: r.head.Status, Header: r.head.Header, Target: r.head.Target, Body: r.body}
}
