package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// hop sends a request to an instance of another region. Local has none.
type hop interface {
	open(ctx context.Context, c *Call, region string, exclude map[string]bool, attempt, resumed int) (*answer, error)
}

// run is the state of one call.
type run struct {
	l           *LocalDispatcher
	hop         hop
	c           *Call
	sink        Sink
	ctx         context.Context // of the whole call
	cancel      context.CancelCauseFunc
	fingerprint Fingerprint
	exclude     map[string]bool
	full        map[string]bool        // targets of the own region that gave no slot
	region      atomic.Pointer[string] // where the request runs now
	query       routing.Query          // of the last choice

	ticket   admission.Ticket
	admitted bool
	// spent is set once a target may have worked under the admission.
	spent    bool
	attempts int
	// fruitless counts attempts since the last progress.
	fruitless int
	headSent  bool
	// delivered counts output tokens of a stream, with those before the hop.
	delivered int
	// finished is set if a finish reason came with the last output.
	finished bool
	usage    *usage
	// charged is set where a peer has counted the tokens.
	charged *float64
	last    error
	out     Outcome
}

func (r *run) loop(ctx context.Context) error {
	for {
		pl, err := r.place(ctx)
		if err != nil {
			return r.preferLast(err)
		}
		if err = r.try(ctx, pl); err == nil {
			return nil
		}
		r.l.Requests.Note(r.c.ID, "attempt failed", err.Error())
		if !r.again(ctx, err) {
			return r.preferLast(err)
		}
		r.last = r.preferLast(err)
		r.dropSlot()
		r.region.Store(nil)
	}
}

// preferLast returns the failure of the last attempt if the only news is that
// there is no other place.
func (r *run) preferLast(err error) error {
	switch result.From(err).Code {
	case result.NoTarget, result.RegionUnreachable, result.NoSlot, result.QueueFull, result.DeadlineTooNear:
		if r.last != nil {
			return r.last
		}
	}
	return err
}

// try makes one attempt.
func (r *run) try(ctx context.Context, pl place) error {
	r.attempts++
	r.fruitless++
	r.out.Region, r.out.Target = pl.region, pl.name()
	ctx, cancel := r.attemptContext(ctx, pl)
	defer cancel()
	ended := func(error) {}
	if r.l.AttemptObserver != nil {
		target := ""
		if pl.target != nil {
			target = pl.target.Name
		}
		ended = r.l.AttemptObserver.Begin(r.query, target, pl.region, len(r.c.Body))
	}
	r.l.Requests.Note(r.c.ID, "attempt", pl.name())
	err := r.attempt(ctx, pl)
	ended(err)
	if err == nil {
		return nil
	}
	var f *attemptError
	if !errors.As(err, &f) {
		f = &attemptError{err: result.From(err), final: true}
	}
	if f.err.Ran == result.MayHaveRun {
		r.spent = true
	}
	if exclude := f.exclude; exclude != "" {
		r.exclude[exclude] = true
	} else {
		r.exclude[pl.name()] = true
	}
	return f
}

func (r *run) attemptContext(ctx context.Context, pl place) (context.Context, context.CancelFunc) {
	if pl.maxRun > 0 {
		return context.WithTimeout(ctx, pl.maxRun)
	}
	return context.WithCancel(ctx)
}

func (r *run) attempt(ctx context.Context, pl place) error {
	if pl.target == nil {
		a, err := r.hop.open(ctx, r.hopCall(pl.permit), pl.region, r.exclude, r.attempts, r.delivered)
		if err != nil {
			return err
		}
		r.spent = true
		defer a.close()
		err = r.deliver(ctx, a)
		var f *attemptError
		if errors.As(err, &f) {
			f.exclude = a.exclude
		}
		return err
	}
	defer pl.end()
	a, err := r.l.open(ctx, r.c, pl.target, pl.weight, r.attempts, r.delivered)
	if err == nil {
		r.spent = true
		defer a.close()
		err = r.deliver(ctx, a)
	}
	var f *attemptError
	if errors.As(err, &f) && f.crash {
		r.l.CrashSuspects.RecordCrash(pl.target.Name, pl.attempt, r.fingerprint)
		r.l.Log.Emit(event.TargetLost, zap.String("request", r.c.ID), zap.String("target", pl.target.Name),
			zap.Stringer("fingerprint", r.fingerprint), zap.Error(f.err))
	}
	return err
}

// hopCall is the call as it goes over the hop: by the edition that confirmed
// it, and with the end of the admission if that was not used before.
func (r *run) hopCall(p auth.Permit) *Call {
	c := *r.c
	c.Permit = p
	if end := r.ticket.Debit.ValidUntil; end > 0 && !r.spent {
		c.StartDeadline = time.Now().Add(end - r.l.Clock.Now().Upper)
	}
	return &c
}

// again reports whether another attempt may be made.
func (r *run) again(ctx context.Context, err error) bool {
	var f *attemptError
	switch {
	case !errors.As(err, &f) || f.final || ctx.Err() != nil:
		return false
	case r.spent && !r.c.Permit.Idempotent:
		return false // a byte may have reached a target
	case r.headSent && !(r.c.Stream && r.c.Resumable):
		return false
	case r.fruitless >= maxAttempts:
		return false
	}
	if !r.l.RetryBudget.AllowRetry() {
		r.l.Requests.Note(r.c.ID, "no retry", "the retry budget is used up")
		return false
	}
	return true
}

// dropSlot frees the slot of an attempt that has ended.
func (r *run) dropSlot() {
	if r.admitted && r.ticket.HasSlot {
		r.l.Slots.Release(r.ticket.Slot)
		r.ticket.HasSlot = false
	}
}

// giveBack ends an admission under which nothing was sent.
func (r *run) giveBack() {
	if r.spent {
		r.dropSlot()
		return
	}
	if r.admitted {
		r.l.Admitter.Done(r.ticket, 0)
		r.admitted = false
	}
}

// settle ends the admission and refunds what was not used. Where the engine
// reported no usage, the prompt and the delivered output are charged.
func (r *run) settle(ok bool) {
	c := r.c
	used := c.TokenCost()
	switch {
	case !r.spent:
		used = 0
	case r.charged != nil:
		used = *r.charged
	case c.Permit.Model == "":
	case r.usage != nil && ok:
		used = float64(r.usage.PromptTokens + max(r.usage.CompletionTokens, r.delivered))
	default:
		used = float64(c.PromptTokens + r.delivered)
	}
	r.out.Tokens = min(used, c.TokenCost())
	if r.admitted {
		r.l.Admitter.Done(r.ticket, r.out.Tokens)
		r.admitted = false
	}
}

// conclude turns the error of the last attempt into that of the request: it
// may have run if any attempt may have.
func (r *run) conclude(err error) *result.Error {
	e := *result.From(err)
	if r.spent {
		e.Ran = result.MayHaveRun
	}
	if r.headSent && e.Code == result.TargetFailed {
		e.Code = result.StreamInterrupted
	}
	return &e
}

// recheck ends the request if edition e forbids it or its region.
func (r *run) recheck(e *config.Config) {
	p, err := auth.Recheck(e, r.c.Permit)
	region := r.region.Load()
	if err == nil && region != nil && !p.Allowed[*region] {
		err = result.New(result.NoRegionAllowed, result.MayHaveRun, "residency no longer allows the region of the request")
	}
	if err == nil {
		return
	}
	why := result.From(err)
	r.l.Trail.Add(audit.Change{At: time.Now(), Kind: audit.StreamEnded, Subject: r.c.ID, Team: r.c.Permit.Team,
		Reason: why.Message, Revision: e.Revision})
	r.l.Log.Emit(event.RequestEnded, zap.String("request", r.c.ID), zap.String("team", r.c.Permit.Team),
		zap.Int("code", int(why.Code)), zap.Int64("revision", e.Revision))
	r.l.Requests.Note(r.c.ID, "ended", why.Message+" (revision "+strconv.FormatInt(e.Revision, 10)+")")
	r.cancel(why)
}
