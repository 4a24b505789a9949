package gateway

import (
	"context"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// canRetry reports whether another attempt may be made after f. It then takes the
// retry from the budget, unless no failed attempt was counted so far.
func (g *Gateway) canRetry(ctx context.Context, c *call, d *delivery, f *failure) bool {
	switch {
	case ctx.Err() != nil || c.failedAttempts >= maxAttempts || f.err.Code == result.CallerTooSlow:
		return false
	case d.started && (!c.route.Resumable || !d.resumable):
		return false
	case c.forwarded && f.err.Ran == result.MayHaveRun:
		// The forwarding instance counts the targets that may have run the request.
		// It would not learn of a second one if this response were interrupted.
		return false
	case c.possibleRuns > 0 && (!c.route.Retryable() || c.possibleRuns >= c.route.MaxTargets):
		return false
	}
	if awaitConfirmCrash(ctx, f); ctx.Err() != nil {
		return false
	}
	if f.err.Ran == result.MayHaveRun && g.Crashes.Suspected(c.suspects()) {
		f.err.Message += "; not sent again, as a part of its prompt was lost in several crashes"
		return false
	}
	return c.failedAttempts == 0 || g.RetryBudget.AllowRetry(c.service)
}

// finishFailed ends a call that gets no further attempt. It passes on the 5xx
// response of a target if there is one. Otherwise it returns err, changed so that
// it holds for all attempts together: it does not say "not run" if an earlier
// attempt may have run.
func (g *Gateway) finishFailed(c *call, d *delivery, last *failure, err error) error {
	if b := d.fallback; b != nil && !d.started {
		d.started, d.target = true, b.target
		if err := d.sink.Head(b.status, b.header, int64(b.body.Len()), b.target); err != nil {
			return sinkError{err}
		}
		if err := b.body.Each(d.sink.Data); err != nil {
			return sinkError{err}
		}
		return nil
	}
	e := *result.FromError(err)
	if c.possibleRuns > 0 && e.Ran == result.NotRun {
		// There is no last failure if the attempt was made at the instance that
		// forwarded the request.
		if last != nil && last.err.Ran == result.MayHaveRun {
			e = *last.err
		} else {
			e = *result.New(result.TargetFailed, result.MayHaveRun, "an earlier attempt may have run: %s", e.Message)
		}
	}
	if e.Ran == result.NotRun && e.RetryAfter == 0 && e.Code == result.NoTarget {
		e.RetryAfter = notReadyRetryAfter
	}
	return &e
}
