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
	"github.com/wigeonhill/wigeonhill/internal/crash"
	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// forwarder sends a request to an instance of another region. A LocalDispatcher
// has none.
type forwarder interface {
	forward(ctx context.Context, c *Call, region string, exclude map[string]bool, attempt, resumed int) (*attemptResponse, error)
}

// run is the state of one call.
type run struct {
	local       *LocalDispatcher
	forwarder   forwarder
	call        *Call
	sink        Sink
	ctx         context.Context // of the whole call
	cancel      context.CancelCauseFunc
	suspects    []crash.Suspect
	exclude     map[string]bool
	fullTargets map[string]bool        // targets of the local region that had no free slot
	region      atomic.Pointer[string] // region where the request runs now; nil between attempts
	query       routing.Query          // of the last choice
	running     *crash.Attempt         // the attempt at a target of this region; nil between attempts

	ticket   admission.Ticket
	admitted bool
	// mayHaveRun is set once a target may have processed the request.
	mayHaveRun bool
	attempts   int
	// attemptsWithoutProgress counts attempts since the last output.
	attemptsWithoutProgress int
	headSent                bool
	// deliveredTokens counts the output tokens of a stream, including those
	// delivered before the hop.
	deliveredTokens int
	// finished is set if the last output came with a finish reason.
	finished bool
	usage    *usage
	// peerCharged is the number of tokens that a peer counted, if any.
	peerCharged *float64
	lastErr     error
	outcome     Outcome
}

func (r *run) runAttempts(ctx context.Context) error {
	for {
		pl, err := r.place(ctx)
		if err != nil {
			return r.preferLastError(err)
		}
		if err = r.try(ctx, pl); err == nil {
			return nil
		}
		r.local.Requests.AddStep(r.call.ID, "attempt failed", err.Error())
		if !r.mayRetry(ctx, err) {
			return r.preferLastError(err)
		}
		r.lastErr = r.preferLastError(err)
		r.releaseSlot()
		r.region.Store(nil)
	}
}

// preferLastError returns the error of the last attempt if err only says that
// there is no other target or region.
func (r *run) preferLastError(err error) error {
	switch result.FromError(err).Code {
	case result.NoTarget, result.RegionUnreachable, result.NoSlot, result.QueueFull, result.DeadlineTooNear:
		if r.lastErr != nil {
			return r.lastErr
		}
	}
	return err
}

// try makes one attempt and records what to exclude from the next one.
func (r *run) try(ctx context.Context, pl placement) error {
	r.attempts++
	r.attemptsWithoutProgress++
	r.outcome.Region, r.outcome.Target = pl.region, pl.name()
	ctx, cancel := r.attemptContext(ctx, pl)
	defer cancel()
	ended := func(error) {}
	if r.local.AttemptObserver != nil {
		target := ""
		if pl.target != nil {
			target = pl.target.Name
		}
		ended = r.local.AttemptObserver.Begin(r.query, target, pl.region, len(r.call.Body))
	}
	r.local.Requests.AddStep(r.call.ID, "attempt", pl.name())
	err := r.attempt(ctx, pl)
	ended(err)
	if err == nil {
		return nil
	}
	var attemptErr *attemptError
	if !errors.As(err, &attemptErr) {
		attemptErr = &attemptError{err: result.FromError(err), final: true}
	}
	if attemptErr.err.Ran == result.MayHaveRun {
		r.mayHaveRun = true
	}
	if exclude := attemptErr.exclude; exclude != "" {
		r.exclude[exclude] = true
	} else {
		r.exclude[pl.name()] = true
	}
	return attemptErr
}

func (r *run) attemptContext(ctx context.Context, pl placement) (context.Context, context.CancelFunc) {
	if pl.maxRun > 0 {
		return context.WithTimeout(ctx, pl.maxRun)
	}
	return context.WithCancel(ctx)
}

func (r *run) attempt(ctx context.Context, pl placement) error {
	if pl.target == nil {
		resp, err := r.forwarder.forward(ctx, r.forwardedCall(pl.permit), pl.region, r.exclude, r.attempts, r.deliveredTokens)
		if err != nil {
			return err
		}
		r.mayHaveRun = true
		defer resp.close()
		err = r.deliver(ctx, resp)
		var attemptErr *attemptError
		if errors.As(err, &attemptErr) {
			attemptErr.exclude = resp.exclude
		}
		return err
	}
	defer pl.attempt.End()
	r.running = pl.attempt
	defer func() { r.running = nil }()
	resp, err := r.local.sendAttempt(ctx, r.call, pl.target, pl.weight, r.attempts, r.deliveredTokens)
	if err == nil {
		r.mayHaveRun = true
		defer resp.close()
		err = r.deliver(ctx, resp)
	}
	var attemptErr *attemptError
	if errors.As(err, &attemptErr) && attemptErr.crash {
		r.local.Crashes.RecordLoss(pl.attempt)
		r.local.Log.Emit(event.TargetLost, zap.String("request", r.call.ID), zap.String("target", pl.target.Name),
			zap.Stringers("suspects", r.suspects), zap.Error(attemptErr.err))
	}
	if err == nil && resp.status >= 200 && resp.status < 300 {
		pl.attempt.Completed()
	}
	return err
}

// forwardedCall returns the call to forward: with the permit of the configuration
// that confirmed it, and with the end of the debit if that was not used before.
func (r *run) forwardedCall(p auth.Permit) *Call {
	c := *r.call
	c.Permit = p
	if end := r.ticket.Debit.ValidUntil; end > 0 && !r.mayHaveRun {
		c.StartDeadline = time.Now().Add(end - r.local.Clock.Now().Upper)
	}
	return &c
}

// mayRetry reports whether another attempt may be made, and consumes a retry of
// the budget if so.
func (r *run) mayRetry(ctx context.Context, err error) bool {
	var attemptErr *attemptError
	switch {
	case !errors.As(err, &attemptErr) || attemptErr.final || ctx.Err() != nil:
		return false
	case r.mayHaveRun && !r.call.Permit.Idempotent:
		return false // a target may have received a byte
	case r.headSent && !(r.call.Stream && r.call.Resumable):
		return false
	case r.attemptsWithoutProgress >= maxAttempts:
		return false
	case attemptErr.crash && r.local.Crashes.Suspected(r.suspects):
		return false
	}
	if !r.local.RetryBudget.AllowRetry() {
		r.local.Requests.AddStep(r.call.ID, "no retry", "the retry budget is used up")
		return false
	}
	return true
}

// releaseSlot releases the slot of an attempt that has ended.
func (r *run) releaseSlot() {
	if r.admitted && r.ticket.HasSlot {
		r.local.Slots.Release(r.ticket.Slot)
		r.ticket.HasSlot = false
	}
}

// releaseAdmission ends an admission under which nothing was sent.
func (r *run) releaseAdmission() {
	if r.mayHaveRun {
		r.releaseSlot()
		return
	}
	if r.admitted {
		r.local.Admitter.Done(r.ticket, 0)
		r.admitted = false
	}
}

// settle ends the admission and refunds the tokens that were not used. If the
// engine reported no usage, the prompt and the delivered output are charged.
func (r *run) settle(ok bool) {
	c := r.call
	used := c.TokenCost()
	switch {
	case !r.mayHaveRun:
		used = 0
	case r.peerCharged != nil:
		used = *r.peerCharged
	case c.Permit.Model == "":
	case r.usage != nil && ok:
		used = float64(r.usage.PromptTokens + max(r.usage.CompletionTokens, r.deliveredTokens))
	default:
		used = float64(c.PromptTokens + r.deliveredTokens)
	}
	r.outcome.Tokens = min(used, c.TokenCost())
	if r.admitted {
		r.local.Admitter.Done(r.ticket, r.outcome.Tokens)
		r.admitted = false
	}
}

// finalError converts the error of the last attempt to that of the request, which
// may have run if any attempt may have run.
func (r *run) finalError(err error) *result.Error {
	e := *result.FromError(err)
	if r.mayHaveRun {
		e.Ran = result.MayHaveRun
	}
	if r.headSent && e.Code == result.TargetFailed {
		e.Code = result.StreamInterrupted
	}
	return &e
}

// recheck ends the request if cfg forbids it or the region in which it runs.
func (r *run) recheck(cfg *config.Config) {
	p, err := auth.Recheck(cfg, r.call.Permit)
	region := r.region.Load()
	if err == nil && region != nil && !p.AllowedRegions[*region] {
		err = result.New(result.NoRegionAllowed, result.MayHaveRun, "residency no longer allows the region of the request")
	}
	if err == nil {
		return
	}
	cause := result.FromError(err)
	r.local.Trail.Add(audit.Change{At: time.Now(), Kind: audit.RequestEnded, Subject: r.call.ID, Team: r.call.Permit.Team,
		Reason: cause.Message, Revision: cfg.Revision})
	r.local.Log.Emit(event.RequestEndedByConfig, zap.String("request", r.call.ID), zap.String("team", r.call.Permit.Team),
		zap.Int("code", int(cause.Code)), zap.Int64("revision", cfg.Revision))
	r.local.Requests.AddStep(r.call.ID, "ended", cause.Message+" (revision "+strconv.FormatInt(cfg.Revision, 10)+")")
	r.cancel(cause)
}
