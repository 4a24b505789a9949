package dispatch

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/idempotency"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

// Dispatcher runs the calls of an entry instance, in the own region or over
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

// Do runs a call and passes its answer to sink. The error is a *result.Error.
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
	return d.local.keyed(ctx, d.Idempotency, k, c, sink, d)
}

// resend hands a call to the instance named in its idempotency key. That
// instance alone knows whether the call has run; if it cannot be asked, an
// earlier attempt may have run.
func (d *Dispatcher) resend(ctx context.Context, c *Call, k idempotency.Key, sink Sink) (Outcome, error) {
	unknown := result.New(result.OutcomeUnknown, result.MayHaveRun, "the instance named in the idempotency key cannot be asked")
	m, ok := d.Members.ByName(k.Instance)
	if !ok || m.Incarnation != k.Incarnation {
		return Outcome{}, result.New(result.InstanceGone, result.MayHaveRun,
			"the instance named in the idempotency key is gone; this attempt was not run, an earlier one may have run")
	}
	if !c.Permit.Allowed[m.Region] {
		return Outcome{}, unknown
	}
	ctx, stop := d.local.bounded(ctx)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r := &run{l: d.local, c: c, sink: sink, ctx: ctx, cancel: cancel, exclude: map[string]bool{}, fingerprint: c.Fingerprint()}
	r.region.Store(&m.Region)
	defer d.local.enlist(r)()
	err := d.ask(ctx, r, m)
	r.settle(err == nil)
	if err == nil {
		return r.out, nil
	}
	var f *attemptError
	if errors.As(err, &f) && !f.told && !f.final {
		return r.out, unknown.WithCause(err)
	}
	return r.out, r.conclude(err)
}

// ask admits the call and exchanges it with the instance that decides about it.
// A refusal on this side is never "not run": an earlier attempt may have run.
func (d *Dispatcher) ask(ctx context.Context, r *run, m Member) error {
	e, p, err := d.local.current(r.c, r.fingerprint)
	if err == nil {
		err = r.admit(ctx, e, p, nil)
	}
	var pl place
	ok := false
	if err == nil {
		pl, ok, err = r.confirm(m.Region)
	}
	if err == nil && !ok {
		err = result.New(result.DeadlineTooNear, result.NotRun, "the request could not be sent while its admission was valid")
	}
	if err != nil {
		return &attemptError{err: AsMayHaveRun(err), final: true}
	}
	r.out.Region, r.out.Attempts = m.Region, 1
	a, err := d.send(ctx, r.hopCall(pl.permit), m, 1, 0, true)
	if err != nil {
		return err
	}
	defer a.close()
	r.spent = true
	if err := r.deliver(ctx, a); err != nil {
		return err
	}
	if f, ok := a.body.(*frameReader); ok {
		r.charged = &f.used
	}
	return nil
}

// AsMayHaveRun turns a refusal into one that may have run.
func AsMayHaveRun(err error) *result.Error {
	e := *result.From(err)
	e.Ran = result.MayHaveRun
	return &e
}

// keyed runs a call whose idempotency key this instance decides about. It goes
// on without its caller: a caller that lost its connection sends again and must
// then get the answer instead of an unknown outcome.
func (l *LocalDispatcher) keyed(ctx context.Context, s *idempotency.Store, k idempotency.Key, c *Call, sink Sink, h hop) (Outcome, error) {
	claim, stored, err := s.Begin(c.Permit.Team, k, c.Digest())
	if err != nil {
		return Outcome{}, err
	}
	if stored != nil {
		l.Requests.Note(c.ID, "replayed", "the request with this idempotency key has run")
		return Outcome{Region: l.Instance.Region, Target: stored.Target}, replay(stored, sink)
	}
	// A claim that is neither finished nor released may have run.
	defer claim.MarkUnknown()
	rec := &recorder{sink: sink, limit: s.MaxResponseBytes()}
	out, err := l.do(context.WithoutCancel(ctx), c, rec, h)
	switch {
	case err == nil:
		claim.Finish(rec.answer())
	case result.From(err).Ran == result.NotRun:
		claim.Release()
	}
	if err == nil {
		err = sinkError(rec.failed)
	}
	return out, err
}

// sinkError keeps a nil error free of a type.
func sinkError(err error) error {
	if err = sinkFault(err); err != nil {
		return result.From(err)
	}
	return nil
}

func replay(a *idempotency.Response, sink Sink) error {
	h := a.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	if err := sink.Head(ResponseHead{Status: a.Status, Header: h, Target: a.Target, Size: int64(len(a.Body))}); err != nil {
		return sinkError(err)
	}
	if len(a.Body) == 0 {
		return nil
	}
	return sinkError(sink.Data(a.Body))
}

// recorder passes an answer on and keeps a copy up to a limit. After the caller
// has failed it only keeps the copy.
type recorder struct {
	sink   Sink
	limit  int64
	head   ResponseHead
	body   []byte
	large  bool
	failed error
}

func (r *recorder) Head(h ResponseHead) error {
	r.head = h
	r.head.Header = h.Header.Clone()
	r.failed = r.sink.Head(h)
	return nil
}

func (r *recorder) Data(p []byte) error {
	if int64(len(r.body)+len(p)) > r.limit {
		r.large, r.body = true, nil
	}
	if !r.large {
		r.body = append(r.body, p...)
	}
	if r.failed == nil {
		r.failed = r.sink.Data(p)
	}
	if r.large {
		return r.failed // neither the caller nor the record can use the rest
	}
	return nil
}

// answer returns nil if the answer exceeded the limit.
func (r *recorder) answer() *idempotency.Response {
	if r.large {
		return nil
	}
	return &idempotency.Response{Status: r.head.Status, Header: r.head.Header, Target: r.head.Target, Body: r.body}
}
